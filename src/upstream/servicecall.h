#pragma once

#include <functional>
#include <memory>
#include <variant>

#include <ibisfork/base/clock.h>

#include "net/address.h"
#include "net/httpcall.h"

namespace ibisfork::upstream {

/// The complete response of a plain service, or the reason why there is none.
using ServiceOutcome = std::variant<net::HttpResponse, net::HttpFailure>;

struct ServiceCallLimits
{
    /// Timeout for connecting and for each wait for further bytes.
    base::Duration timeout{};
    std::size_t maxResponseBytes = 1024UL * 1024;
};

/// One call of a plain service, sent exactly once on a dedicated connection. Destroying the object cancels the call.
class ServiceCall
{
public:
    /// @p done is called once; the handler may destroy the call.
    ServiceCall(event_base *base,
                const net::Address &address,
                net::HttpRequest request,
                const ServiceCallLimits &limits,
                std::function<void(const ServiceOutcome &)> done);

    /// Whether any byte of the request may have been sent.
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

/// Returns the end-to-end headers of @p headers, without the hop-by-hop headers of this connection.
net::HttpHeaders endToEndHeaders(const net::HttpHeaders &headers);

} // namespace ibisfork::upstream
