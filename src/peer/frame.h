#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "peer/peer.pb.h"

namespace ibisfork::peer {

/// Version of the protocol between nodes; frames of another are refused.
inline constexpr std::uint32_t protocolVersion = 1;

enum class FrameFault { Malformed, OtherProtocol };

/// Reads a frame, or says why it is refused.
std::variant<wire::Frame, FrameFault> parseFrame(const std::string &bytes);

std::string frameBytes(const wire::Frame &frame);

} // namespace ibisfork::peer
