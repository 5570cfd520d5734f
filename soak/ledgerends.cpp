#include <algorithm>

#include <fmt/format.h>

#include "http/status.h"
#include "ledger.h"
#include "times.h"

namespace ibisfork::soak {

namespace {

using gateway::Repeatability;

constexpr int tooManyRequests = 429;
/// An engine that a stream has left may work on for so long.
constexpr std::chrono::milliseconds leaveWithin{400};
/// The times of the engine left and of the new one are of one loop, which may be late between them.
constexpr std::chrono::milliseconds leaveSlack{100};
/// A request sent so long after SIGTERM may be cut if its engine is still at work in the last part of the grace.
constexpr std::chrono::seconds takenAfterStop{3};
constexpr int lastPartOfGrace = 6;
/// The runs and requests that a killed node held end within this time.
constexpr std::chrono::milliseconds fallsWithin{200};
/// An engine's answer is with its caller within this time.
constexpr std::chrono::milliseconds deliveredWithin{1500};

bool promisesNotRun(int status)
{
    return status == http::status::unavailable || status == tooManyRequests || status == http::status::requestTimeout
        || status == http::status::misdirected;
}

std::string describeRuns(const Asked &request)
{
    std::string out;
    const auto sinceSent = [&](base::TimePoint time) {
        return base::toMilliseconds(time - request.sentAt);
    };
    for (const auto &run : request.runs) {
        const auto until = run.until ? fmt::format("{}", sinceSent(*run.until)) : "the end";
        out += fmt::format(
            "; {} had it at {}, ran it from {} to {} ms", run.engine, sinceSent(run.at), sinceSent(run.begunAt), until);
    }
    return out.empty() ? "; no engine ran it" : out;
}

} // namespace

void Ledger::stopped(const std::string &id, const std::string &engine)
{
    if (!knows(id)) {
        return;
    }
    for (auto &run : asked(id).runs) {
        if (run.engine == engine && !run.until) {
            run.until = base::monotonicNow();
        }
    }
}

void Ledger::answered(const std::string &id, const std::string &engine, base::TimePoint time)
{
    if (!knows(id)) {
        return;
    }
    for (auto &run : asked(id).runs) {
        if (run.engine == engine) {
            run.answeredAt = time;
        }
    }
}

base::Duration Ledger::timeLimit(const Asked &request) const
{
    const auto known = request.sentAt - changeWithin - slack;
    base::Duration shortest = patience;
    for (std::size_t i = 0; i < m_timeouts.size(); ++i) {
        const bool begun = m_timeouts[i].from <= request.endedAt;
        const bool endedBefore = i + 1 < m_timeouts.size() && m_timeouts[i + 1].from < known;
        if (begun && !endedBefore) {
            shortest = std::min(shortest, m_timeouts[i].timeout);
        }
    }
    return shortest;
}

bool Ledger::atWorkAtEndOfGrace(const Asked &request) const
{
    return std::any_of(m_terminated.begin(), m_terminated.end(), [&](const Terminated &stop) {
        const auto lastPart = stop.at + shutdownGrace - shutdownGrace / lastPartOfGrace;
        const bool here = stop.node == request.node && request.sentAt <= stop.at + takenAfterStop;
        return here && request.endedAt >= lastPart && request.endedAt <= stop.at + shutdownGrace + slack
            && std::any_of(request.runs.begin(), request.runs.end(), [&](const Run &run) {
                   return run.until.value_or(request.endedAt) >= lastPart;
               });
    });
}

bool Ledger::lastRunFellWithNode(const Asked &request) const
{
    if (request.kind != Repeatability::Stream || request.runs.size() < streamAttempts) {
        return false;
    }
    return std::any_of(m_kills.begin(), m_kills.end(), [&](base::TimePoint kill) {
        const auto fell = [&](base::TimePoint end) {
            return end >= kill && end - kill <= fallsWithin;
        };
        return fell(request.endedAt) && std::any_of(request.runs.begin(), request.runs.end(), [&](const Run &run) {
                   return run.until && fell(*run.until);
               });
    });
}

void Ledger::checkEnd(const std::string &id, const Asked &request)
{
    if (request.kind == Repeatability::AtMostOnce && promisesNotRun(request.status) && !request.runs.empty()) {
        broken(fmt::format("{} was answered {}, but it ran at {}", id, request.status, request.runs.front().engine));
    }
    checkLeft(id, request);
    checkAnswer(id, request);
    if (request.ended && request.status == 0 && !request.leftByCaller) {
        checkCut(id, request);
    }
}

void Ledger::checkAnswer(const std::string &id, const Asked &request)
{
    if (request.status > 0 && request.status < http::status::ok) {
        broken(fmt::format("{} got the interim answer {} as its final one", id, request.status));
    }
    const bool isAnswered = std::any_of(request.runs.begin(), request.runs.end(), [&](const Run &run) {
        return run.answeredAt && *run.answeredAt + deliveredWithin < request.endedAt;
    });
    const bool calm = unplanned.calm(request.node, request.sentAt - contact, request.endedAt);
    if (request.status == http::status::gatewayTimeout && isAnswered && calm) {
        broken(fmt::format("{} was answered {} at node {} though an engine had answered it{}",
                           id,
                           request.status,
                           request.node,
                           describeRuns(request)));
    }
}

void Ledger::checkCut(const std::string &id, const Asked &request)
{
    const auto from = request.sentAt - contact;
    const auto left = timeLimit(request) - (request.endedAt - request.sentAt);
    // While engines are neither silent nor full, no request comes near a limit, so that nothing excuses a cut.
    const bool hindered = !hindrances.calm(request.node, request.sentAt, request.endedAt);
    const bool calm = !hindered && disturbances.calm(request.node, from, request.endedAt);
    const bool excused = left <= base::Duration{} || atWorkAtEndOfGrace(request) || lastRunFellWithNode(request);
    if (calm || (!excused && unplanned.calm(request.node, from, request.endedAt))) {
        broken(fmt::format("{} was cut at node {} though {}, with {} ms left{}",
                           id,
                           request.node,
                           hindered ? "engines were only silent or full for a time" : "nothing was harmed",
                           base::toMilliseconds(left),
                           describeRuns(request)));
    }
}

void Ledger::checkLeft(const std::string &id, const Asked &request)
{
    if (request.kind != Repeatability::Stream) {
        return;
    }
    // An engine that was silent may begin its run after an engine to which the request went later.
    auto runs = request.runs;
    std::stable_sort(runs.begin(), runs.end(), [](const Run &left, const Run &right) { return left.at < right.at; });
    for (std::size_t next = 1; next < runs.size(); ++next) {
        const auto &before = runs[next - 1];
        const auto &after = runs[next];
        const auto until = before.until.value_or(base::monotonicNow());
        const auto together = pauses.awake(before.engine, after.begunAt, until);
        if (before.engine == after.engine || together <= leaveWithin + leaveSlack) {
            continue;
        }
        if (pathDisturbances.calm(request.node, after.begunAt - contact, until)) {
            broken(fmt::format("{} went on at {} while {} worked on it for another {} ms{}",
                               id,
                               after.engine,
                               before.engine,
                               base::toMilliseconds(together),
                               describeRuns(request)));
        }
    }
}

} // namespace ibisfork::soak
