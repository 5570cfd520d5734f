#pragma once

#include <map>
#include <memory>
#include <random>
#include <string>

#include "load/samples.h"
#include "load/scenario.h"
#include "net/httpcall.h"
#include "net/timer.h"
#include "upstream/sseparser.h"

namespace ibisfork::bench {

/// What one phase measured.
struct PhaseResult
{
    std::string name;
    unsigned sent = 0;
    unsigned whole = 0;
    unsigned cut = 0;
    /// Answers with an error, by code and run state.
    std::map<std::string, unsigned> refused;
    Samples firstToken;
    Samples betweenTokens;
    Samples answer;
    Samples refusal;
};

/// Sends a scenario's requests as streams and measures the answers.
class LoadGenerator
{
public:
    LoadGenerator(event_base *base, const Scenario &scenario);

    /// Runs all phases and waits for the last answers.
    std::vector<PhaseResult> run();

private:
    struct Call
    {
        explicit Call(PhaseResult &phase, LoadGenerator &owner);
        void onEvent(const upstream::ServerSentEvent &event);
        void onDone(const net::HttpOutcome &outcome);

        PhaseResult &result;
        LoadGenerator &generator;
        std::uint64_t number = 0;
        base::TimePoint sentAt{};
        base::TimePoint lastTokenAt{};
        int status = 0;
        std::string errorBody;
        bool ended = false;
        upstream::SseParser parser;
        std::unique_ptr<net::HttpCall> http;
    };

    void startPhase();
    void sendNext();
    void send();
    void finished(std::uint64_t number);
    net::HttpRequest request() const;

    event_base *m_base;
    const Scenario &m_scenario;
    std::mt19937_64 m_random;
    std::string m_body;
    std::vector<PhaseResult> m_results;
    std::size_t m_phase = 0;
    base::TimePoint m_phaseEnd{};
    base::TimePoint m_nextAt{};
    std::uint64_t m_nextNumber = 0;
    std::map<std::uint64_t, std::unique_ptr<Call>> m_calls;
    std::unique_ptr<Call> m_last;
    net::Timer m_timer;
};

} // namespace ibisfork::bench
