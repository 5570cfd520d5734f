#include "load/loadgenerator.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace ibisfork::bench {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr std::chrono::seconds silence{30};

std::string bodyOf(const Scenario &scenario)
{
    Json body{{"messages", {{{"role", "user"}, {"content", "Is the bond pattern sound?"}}}},
              {"stream", true},
              {"max_tokens", scenario.tokens}};
    if (!scenario.model.empty()) {
        body["model"] = scenario.model;
    }
    return body.dump();
}

std::string refusalName(int status, const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object() || !json.contains("error") || !json.at("error").is_object()) {
        return fmt::format("{}", status);
    }
    const auto &error = json.at("error");
    return fmt::format("{} {}", error.value("code", std::string()), error.value("run", std::string()));
}

/// The end of a router's stream, and that of an engine's own.
bool isEnd(const upstream::ServerSentEvent &event)
{
    return event.data == "[DONE]" || event.event == "end";
}

bool isToken(const upstream::ServerSentEvent &event)
{
    return event.data.find("\"content\"") != std::string::npos;
}

} // namespace

LoadGenerator::Call::Call(PhaseResult &phase, LoadGenerator &owner)
    : result(phase)
    , generator(owner)
    , parser([this](const upstream::ServerSentEvent &event) { onEvent(event); })
{ }

void LoadGenerator::Call::onEvent(const upstream::ServerSentEvent &event)
{
    if (isEnd(event)) {
        ended = true;
        return;
    }
    if (!isToken(event)) {
        return;
    }
    const auto now = base::monotonicNow();
    if (lastTokenAt == base::TimePoint{}) {
        result.firstToken.add(now - sentAt);
    } else {
        result.betweenTokens.add(now - lastTokenAt);
    }
    lastTokenAt = now;
}

void LoadGenerator::Call::onDone(const net::HttpOutcome &outcome)
{
    const auto took = base::monotonicNow() - sentAt;
    if (std::holds_alternative<net::HttpHead>(outcome) && status != statusOk) {
        ++result.refused[refusalName(status, errorBody)];
        result.refusal.add(took);
    } else if (ended) {
        ++result.whole;
        result.answer.add(took);
    } else {
        ++result.cut;
    }
    generator.finished(number);
}

LoadGenerator::LoadGenerator(event_base *base, const Scenario &scenario)
    : m_base(base)
    , m_scenario(scenario)
    , m_random(scenario.seed)
    , m_body(bodyOf(scenario))
    , m_results(scenario.phases.size())
    , m_timer(base, [this] { sendNext(); })
{ }

std::vector<PhaseResult> LoadGenerator::run()
{
    startPhase();
    event_base_dispatch(m_base);
    return std::move(m_results);
}

void LoadGenerator::startPhase()
{
    const auto now = base::monotonicNow();
    m_results[m_phase].name = m_scenario.phases[m_phase].name;
    m_phaseEnd = now + m_scenario.phases[m_phase].length;
    m_nextAt = now;
    sendNext();
}

void LoadGenerator::sendNext()
{
    std::exponential_distribution<double> gap(m_scenario.phases[m_phase].requestsPerSecond);
    const auto now = base::monotonicNow();
    while (m_nextAt <= now && m_nextAt < m_phaseEnd) {
        send();
        m_nextAt += std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(gap(m_random)));
    }
    if (m_nextAt < m_phaseEnd) {
        m_timer.startOnce(std::max(base::Duration::zero(), m_nextAt - base::monotonicNow()));
    } else if (++m_phase < m_scenario.phases.size()) {
        startPhase();
    }
}

void LoadGenerator::send()
{
    auto &result = m_results[m_phase];
    ++result.sent;
    auto call = std::make_unique<Call>(result, *this);
    auto *raw = call.get();
    raw->number = m_nextNumber++;
    raw->sentAt = base::monotonicNow();
    net::HttpCallHandlers handlers;
    handlers.head = [raw](const net::HttpHead &head) {
        raw->status = head.status;
    };
    handlers.chunk = [raw](std::string_view bytes) {
        if (raw->status == statusOk) {
            raw->parser.feed(bytes);
        } else {
            raw->errorBody += bytes;
        }
    };
    handlers.done = [raw](const net::HttpOutcome &outcome) {
        raw->onDone(outcome);
    };
    const auto &target = m_scenario.targets[raw->number % m_scenario.targets.size()];
    raw->http = std::make_unique<net::HttpCall>(m_base, target, request(), silence, std::move(handlers));
    m_calls[raw->number] = std::move(call);
}

void LoadGenerator::finished(std::uint64_t number)
{
    // The call is still on the stack, so it goes with the next one that ends.
    m_last = std::move(m_calls[number]);
    m_calls.erase(number);
}

net::HttpRequest LoadGenerator::request() const
{
    net::HttpRequest request;
    request.method = net::HttpMethod::Post;
    request.path = "/v1/chat/completions";
    request.headers.add("Content-Type", "application/json");
    request.headers.add("Authorization", "Bearer " + m_scenario.key);
    request.headers.add("X-Deadline-Ms", std::to_string(m_scenario.deadline.count()));
    request.body = m_body;
    return request;
}

} // namespace ibisfork::bench
