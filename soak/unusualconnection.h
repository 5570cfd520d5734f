#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include <ibisfork/base/clock.h>

#include "net/libevent.h"
#include "net/timer.h"

namespace ibisfork::soak {

class UnusualEngine;

/// One connection to a UnusualEngine. It reads requests by itself, not by the product's parser.
class UnusualConnection
{
public:
    UnusualConnection(event_base *base, evutil_socket_t socket, UnusualEngine &engine, std::uint64_t seed);
    ~UnusualConnection();
    UnusualConnection(const UnusualConnection &) = delete;
    UnusualConnection &operator=(const UnusualConnection &) = delete;

private:
    /// The request that is being read or answered.
    struct Request
    {
        std::string target;
        std::string id;
        std::string expected;
        std::size_t length = 0;
        std::size_t read = 0;
        bool running = false;
        bool answered = false;
    };

    /// An answer of which the node has not taken a byte yet.
    struct Untaken
    {
        std::string id;
        base::TimePoint sentAt{};
        /// Bytes that had been taken on the connection before.
        std::uint64_t takenBefore = 0;
    };

    static void onRead(bufferevent *, void *self);
    static void onEvent(bufferevent *, short what, void *self);

    void readMore();
    /// Both give false if there is nothing more to be read for now.
    bool readHead();
    bool readBody();
    void takeHead(const std::string &head);
    void bodyRead();
    void run();
    void answer();
    void finish();
    /// Reports the last answer once the node has taken some of it: one that has left takes nothing.
    void checkTaken();
    std::uint64_t takenBytes() const;
    void closeIfIdle();
    void close();
    void write(const std::string &text);
    /// One time in @p count, while the engine does so.
    bool sometimes(unsigned count);
    std::string answerHead(int status) const;

    UnusualEngine &m_engine;
    std::mt19937_64 m_random;
    net::BufferEventPtr m_bufferEvent;
    std::unique_ptr<Request> m_request;
    std::optional<Untaken> m_untaken;
    bool m_closed = false;
    net::Timer m_work;
    net::Timer m_close;
    net::Timer m_taken;
};

} // namespace ibisfork::soak
