#include "enginefleet.h"

#include <nlohmann/json.hpp>

#include "net/deletelater.h"

namespace ibisfork::gateway::test {

EngineFleet::EngineFleet(event_base *base, FakeStore &store, std::size_t engines, Predicate crashes)
    : m_base(base)
    , m_store(store)
    , m_isCrashing(std::move(crashes))
{
    for (std::size_t i = 0; i < engines; ++i) {
        start();
    }
}

void EngineFleet::after(std::chrono::milliseconds delay, std::function<void()> action)
{
    m_timers.push_back(std::make_unique<net::Timer>(m_base, std::move(action)));
    m_timers.back()->startOnce(delay);
}

void EngineFleet::start()
{
    const auto id = "e" + std::to_string(++m_started);
    auto &engine = m_engines[id];
    engine = std::make_unique<FakeEngine>(m_base);
    engine->willDecide([this, id](const http::Request &request) { return answer(id, request); });
    m_store.put("servers", id, engineEntry(engine->address()).dump());
}

EngineReply EngineFleet::answer(const std::string &id, const http::Request &request)
{
    if (m_isCrashing(request)) {
        ++m_crashingRequests;
        return answerThatCrashes(id, request);
    }
    auto reply = streamReply(1, 3);
    reply.delay = runTime;
    return reply;
}

EngineReply EngineFleet::answerThatCrashes(const std::string &id, const http::Request &request)
{
    if (!m_crashTimes) {
        after(runTime, [this, id] { crash(id); });
        return {};
    }
    after(runTime + m_crashTimes->end, [this, id] { crash(id); });
    const auto last = request.head.headers.find("Last-Event-Id");
    const int event = last ? std::stoi(std::string(*last)) + 1 : 1;
    auto reply = pausingStream(event, event, event + 1, m_crashTimes->secondEvent);
    reply.delay = runTime;
    // Its end never comes.
    reply.rest.resize(reply.rest.rfind("0\r\n\r\n"));
    return reply;
}

void EngineFleet::crash(const std::string &id)
{
    const auto found = m_engines.find(id);
    if (found == m_engines.end()) {
        return;
    }
    ++m_crashes;
    net::deleteLater(m_base, std::move(found->second));
    m_engines.erase(found);
    after(restartTime, [this, id] {
        m_store.remove("servers", id);
        start();
    });
}

void EngineFleet::crashAll()
{
    std::vector<std::string> ids;
    for (const auto &item : m_engines) {
        ids.push_back(item.first);
    }
    for (const auto &id : ids) {
        crash(id);
    }
}

} // namespace ibisfork::gateway::test
