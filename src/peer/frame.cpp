#include "peer/frame.h"

namespace ibisfork::peer {

std::variant<wire::Frame, FrameFault> parseFrame(const std::string &bytes)
{
    wire::Frame frame;
    if (!frame.ParseFromString(bytes)) {
        return FrameFault::Malformed;
    }
    if (frame.protocol() != protocolVersion) {
        return FrameFault::OtherProtocol;
    }
    if (frame.sender().empty() || frame.body_case() == wire::Frame::BODY_NOT_SET) {
        return FrameFault::Malformed;
    }
    return frame;
}

std::string frameBytes(const wire::Frame &frame)
{
    return frame.SerializeAsString();
}

} // namespace ibisfork::peer
