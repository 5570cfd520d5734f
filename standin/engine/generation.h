#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/httpserver.h"
#include "net/timer.h"

namespace ibisfork::standin {

/// How fast an engine is and what it bears.
struct EngineProfile
{
    std::chrono::milliseconds firstToken{20};
    std::chrono::milliseconds betweenTokens{10};
    unsigned tokens = 16;
    unsigned limit = 16;
    unsigned cold = 2;
    std::chrono::milliseconds ramp{0};
};

/// One generation: makes tokens whether somebody reads them or not, until it is cancelled.
class Generation
{
public:
    Generation(event_base *base, std::string id, std::string incarnation, unsigned tokens, std::function<void()> ended);

    /// Makes a token after @p first, then one each @p between.
    void start(base::Duration first, base::Duration between);
    /// Sends what was made from @p offset, and what follows, to @p reply.
    void attach(std::shared_ptr<net::HttpReply> reply, unsigned offset);
    /// How sure of itself the answer says it is.
    void setConfidence(double confidence) { m_confidence = confidence; }
    void detach() { m_reply.reset(); }
    bool ended() const { return m_made == m_tokens; }

private:
    void makeToken();
    void sendToken(unsigned index);
    void sendEnd();

    std::string m_id;
    std::string m_incarnation;
    unsigned m_tokens;
    unsigned m_made = 0;
    base::Duration m_between{};
    std::optional<double> m_confidence;
    std::function<void()> m_ended;
    std::shared_ptr<net::HttpReply> m_reply;
    net::Timer m_timer;
};

} // namespace ibisfork::standin
