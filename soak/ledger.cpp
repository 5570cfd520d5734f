#include "ledger.h"

#include <algorithm>

#include <fmt/format.h>

#include "times.h"

namespace ibisfork::soak {

namespace {

using gateway::Repeatability;

constexpr std::chrono::milliseconds evacuateWithin{5000};

/// A node that was asked to leave an engine alone knows it after this time, and may send so many requests after it.
constexpr std::chrono::milliseconds restKnownAfter{500};
constexpr unsigned requestsInRest = 2;

} // namespace

void Disturbances::note(std::optional<std::size_t> node, base::TimePoint from, base::TimePoint until)
{
    m_spans.push_back({node, from, until});
}

bool Disturbances::calm(std::size_t node, base::TimePoint from, base::TimePoint to) const
{
    return std::none_of(m_spans.begin(), m_spans.end(), [&](const Span &span) {
        return (!span.node || *span.node == node) && span.from <= to && span.until >= from;
    });
}

void Ledger::ran(const std::string &id, const Run &run)
{
    if (!knows(id)) {
        broken(fmt::format("{} ran at {} and nobody asked for it", id, run.engine));
        return;
    }
    auto &request = asked(id);
    request.runs.push_back(run);
    checkRun(id, request, run);
}

void Ledger::checkRun(const std::string &id, const Asked &request, const Run &run)
{
    if (request.kind == Repeatability::AtMostOnce && request.runs.size() > 1) {
        broken(fmt::format("{} may run once and ran {} times", id, request.runs.size()));
    }
    if (request.key.starts_with("no-")) {
        broken(fmt::format("{} ran with a key that nobody ever had", id));
    }
    const auto before = run.at - changeWithin - contact - slack;
    if (!disturbances.calm(request.node, before, run.at)) {
        return;
    }
    const auto known = request.sentAt - changeWithin - slack;
    if (!allowedAt(request.path, run.service, known, run.at)) {
        broken(fmt::format("{} ran at {} long after its path had moved", id, run.service));
    }
    const auto revoked = m_revoked.find(request.key);
    if (revoked != m_revoked.end() && revoked->second < known) {
        broken(fmt::format("{} ran with a key that had been revoked", id));
    }
    const auto drained = m_drained.find(run.engine);
    if (drained != m_drained.end() && drained->second + changeWithin + slack < run.at) {
        broken(fmt::format("{} reached {} long after it was draining", id, run.engine));
    }
    const auto evacuated = m_evacuated.find(run.domain);
    if (evacuated != m_evacuated.end() && evacuated->second + evacuateWithin + slack < run.at) {
        broken(fmt::format("{} reached {} in an evacuated domain", id, run.engine));
    }
}

void Ledger::reached(const std::string &id, const std::string &engine)
{
    if (knows(id)) {
        const auto &request = asked(id);
        checkMark(id, request, engine);
        checkRests(request, engine);
    }
}

void Ledger::marked(const std::string &id, const std::string &engine)
{
    if (knows(id)) {
        m_marked.try_emplace({engine, asked(id).node}, base::monotonicNow());
    }
}

void Ledger::restAsked(const std::string &id, const std::string &engine, base::Duration rest)
{
    if (knows(id)) {
        const auto now = base::monotonicNow();
        m_rests[{engine, asked(id).node}].push_back({now + restKnownAfter, now + rest});
    }
}

void Ledger::checkMark(const std::string &id, const Asked &request, const std::string &engine)
{
    const auto found = m_marked.find({engine, request.node});
    if (found == m_marked.end() || request.sentAt <= found->second + changeWithin + slack) {
        return;
    }
    if (pathDisturbances.calm(request.node, found->second - contact, base::monotonicNow())) {
        broken(fmt::format("{} reached {} long after it had said that it leaves", id, engine));
    }
}

void Ledger::checkRests(const Asked &request, const std::string &engine)
{
    const auto now = base::monotonicNow();
    for (auto &rest : m_rests[{engine, request.node}]) {
        if (now < rest.from || now > rest.until || !pathDisturbances.calm(request.node, rest.from - contact, now)) {
            continue;
        }
        ++rest.requests;
        if (rest.requests == requestsInRest + 1) {
            broken(fmt::format("{} got {} requests of node {} while it rests", engine, rest.requests, request.node));
        }
    }
}

void Ledger::allow(const std::string &path, const std::string &service, base::TimePoint time)
{
    m_allowed[path].push_back({time, service});
}

void Ledger::evacuated(const std::string &domain, bool taken, base::TimePoint time)
{
    if (taken) {
        m_evacuated[domain] = time;
    } else {
        m_evacuated.erase(domain);
    }
}

bool Ledger::allowedAt(const std::string &path,
                       const std::string &service,
                       base::TimePoint from,
                       base::TimePoint to) const
{
    const auto found = m_allowed.find(path);
    if (found == m_allowed.end()) {
        return false;
    }
    const auto &spans = found->second;
    for (std::size_t i = 0; i < spans.size(); ++i) {
        const bool begun = spans[i].from <= to;
        const bool endedBefore = i + 1 < spans.size() && spans[i + 1].from < from;
        if (begun && !endedBefore && spans[i].service == service) {
            return true;
        }
    }
    return false;
}

void Ledger::close()
{
    for (const auto &[id, request] : m_asked) {
        checkEnd(id, request);
    }
}

} // namespace ibisfork::soak
