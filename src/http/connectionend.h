#pragma once

#include <cstddef>

namespace ibisfork::http {

/// Why a connection was closed.
enum class CloseCause {
    CallerLeft, ///< The caller closed it, or it broke.
    Answered, ///< The last answer said that it would be closed.
    Refused, ///< What the caller sent was refused: malformed, too long or too slow.
    Idle, ///< It was unused for longer than the idle bound.
    NotTaken, ///< The caller took no byte of an answer for longer than the idle bound.
    NodeStops, ///< It was idle, and the node stops.
    RoomNeeded, ///< It was idle, and others need its descriptor.
    BrokenOff, ///< abort()
};

/// What was under way on a connection.
enum class ConnectionStage {
    Unused, ///< No byte of the next request has come.
    Head, ///< The head of a request is not complete.
    Body, ///< The body of a request is not complete.
    Answering, ///< A whole request has not been answered.
    Sending, ///< Bytes of the last answer are not sent.
};

/// How a connection ended.
struct ConnectionEnd
{
    CloseCause cause = CloseCause::CallerLeft;
    ConnectionStage stage = ConnectionStage::Unused;
    /// Status with which the connection itself refused what the caller sent, 0 for none.
    int refusedWith = 0;
    /// Bytes of answers that were not sent.
    std::size_t unsent = 0;
};

} // namespace ibisfork::http
