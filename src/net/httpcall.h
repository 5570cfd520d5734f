#pragma once

#include <functional>
#include <memory>
#include <string_view>
#include <variant>

#include <ibisfork/base/clock.h>

#include "net/address.h"
#include "net/httpmessage.h"
#include "net/libevent.h"

namespace ibisfork::net {

/// How a call ended: the head of a complete answer, or a failure.
using HttpOutcome = std::variant<HttpHead, HttpFailure>;

/// Bounds on the connect and on each wait for bytes after it.
struct HttpTimeouts
{
    base::Duration connect{};
    base::Duration silence{};

    HttpTimeouts(base::Duration connectWithin, base::Duration silenceWithin)
        : connect(connectWithin)
        , silence(silenceWithin)
    { }
    /// The same bound for both.
    template<typename Rep, typename Period>
    HttpTimeouts(std::chrono::duration<Rep, Period> both)
        : HttpTimeouts(both, both)
    { }
};

struct HttpCallHandlers
{
    std::function<void(const HttpHead &)> head;
    std::function<void(std::string_view)> chunk;
    /// Called once, last; not called after the call was destroyed.
    std::function<void(const HttpOutcome &)> done;
};

/// One request on a connection of its own. Destroying it cancels it; that may be done from its handlers.
class HttpCall
{
public:
    HttpCall(event_base *base,
             const Address &address,
             HttpRequest request,
             const HttpTimeouts &timeouts,
             HttpCallHandlers handlers);
    ~HttpCall();
    HttpCall(const HttpCall &) = delete;
    HttpCall &operator=(const HttpCall &) = delete;

    /// Whether a byte of the request may have left this process.
    bool bytesLeft() const;
    /// Stops and restarts reading, so that a slow reader holds back the sender.
    void pauseReading();
    void resumeReading();

private:
    struct State;
    State *m_state;
};

/// Collects a whole answer of at most @p maxBody bytes and hands it over.
std::unique_ptr<HttpCall> fetch(event_base *base,
                                const Address &address,
                                HttpRequest request,
                                const HttpTimeouts &timeouts,
                                std::function<void(const std::variant<HttpResponse, HttpFailure> &)> done);

} // namespace ibisfork::net
