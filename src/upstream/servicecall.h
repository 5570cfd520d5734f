#pragma once

#include <functional>
#include <memory>
#include <variant>

#include <ibisfork/base/clock.h>

#include "net/address.h"
#include "net/httpcall.h"

namespace ibisfork::upstream {

/// The whole answer of a plain service, or why there is none.
using ServiceOutcome = std::variant<net::HttpResponse, net::HttpFailure>;

struct ServiceCallLimits
{
    /// Longest wait for the connection and between two bytes.
    base::Duration silence{};
    std::size_t maxAnswerBytes = 1024UL * 1024;
};

/// One call of a plain service, sent once on a connection of its own. Destroying it cancels it.
class ServiceCall
{
public:
    /// @p done is called once; the call may be destroyed from it.
    ServiceCall(event_base *base,
                const net::Address &address,
                net::HttpRequest request,
                const ServiceCallLimits &limits,
                std::function<void(const ServiceOutcome &)> done);

    /// Whether a byte of the call may have left this process.
    bool bytesLeft() const { return m_call->bytesLeft(); }

private:
    void onChunk(std::string_view bytes);
    void onDone(const net::HttpOutcome &outcome);
    void finish(const ServiceOutcome &outcome);

    std::size_t m_maxAnswerBytes;
    std::function<void(const ServiceOutcome &)> m_done;
    std::string m_body;
    std::unique_ptr<net::HttpCall> m_call;
};

/// The headers of @p headers that are meant for the other end and not for this connection.
net::HttpHeaders endToEndHeaders(const net::HttpHeaders &headers);

} // namespace ibisfork::upstream
