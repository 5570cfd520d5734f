#pragma once

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

#include "http/upstreamconnection.h"
#include "net/address.h"

namespace ibisfork::http {

/// The answer to a call.
struct CallAnswer
{
    /// Status noAnswer if the call was not answered.
    ResponseHead head;
    std::string body;
    /// The call was given up because its answer was longer than CallClient::maxAnswerBytes.
    bool isTooLong = false;
};

/// Makes calls whose answers are short, over kept connections. A call that is not answered in time gives up its
/// connection, since nothing more may be expected on it.
class CallClient
{
public:
    /// Status of a call that was not answered.
    static constexpr int noAnswer = 0;

    /// Longest body of an answer. Of the answers that are read, those of the store are the longest, up to 1 MB a page.
    static constexpr std::size_t maxAnswerBytes = 4UL * 1024 * 1024;

    using Answered = std::function<void(const CallAnswer &)>;

    explicit CallClient(event_base *base);
    ~CallClient();
    CallClient(const CallClient &) = delete;
    CallClient &operator=(const CallClient &) = delete;

    /// Sends @p bytes, a whole request. @p answered is called once, from the loop.
    void send(const net::Address &address, std::string bytes, base::Duration timeout, Answered answered);

private:
    class Call;

    void finished(Call *call);
    std::unique_ptr<UpstreamConnection> takeConnection(const net::Address &address);

    event_base *m_base;
    std::list<std::unique_ptr<Call>> m_calls;
    std::map<std::string, std::vector<std::unique_ptr<UpstreamConnection>>> m_idle;
};

} // namespace ibisfork::http
