#include "ledger/claimdesk.h"

#include <algorithm>
#include <chrono>
#include <random>

#include <fmt/format.h>

#include <ibisfork/base/log.h>

namespace ibisfork::ledger {

using coord::ClaimAction;
using coord::ClaimOperation;
using coord::ClaimResult;
using coord::ClaimWrite;

namespace {

constexpr std::size_t maxGroup = 100;
/// Commits that another node may get ahead of, before a claim is given up.
constexpr int maxTries = 5;
/// Settles and releases that wait for the table; past it the oldest claim stays without an answer.
constexpr std::size_t maxWaiting = 10000;
constexpr std::chrono::milliseconds outagePause{500};

std::string newClaimer()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}{:08x}", random(), random(), random());
}

std::int64_t secondsSince1970()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::seconds>(now).count();
}

} // namespace

ClaimDesk::ClaimDesk(event_base *base,
                     platform::TableClient &table,
                     base::Duration window,
                     base::MetricsRegistry &metrics)
    : m_claimer(newClaimer())
    , m_window(window)
    , m_store(table)
    , m_taken(metrics.counter("ibisfork_claims_total"))
    , m_commits(metrics.counter("ibisfork_claim_commits_total"))
    , m_timer(base, [this] { runGroup(); })
{ }

std::string ClaimDesk::take(const ClaimRequest &request, std::function<void(const ClaimAnswer &)> done)
{
    m_taken.add();
    auto token = fmt::format("{}-{}", m_claimer, m_nextToken++);
    m_askers[token] = {std::move(done), false, 0};
    enqueue(
        {ClaimAction::Acquire, platform::ClaimStore::rowKey(request.workspace, request.key), newClaim(request, token)});
    return token;
}

void ClaimDesk::settle(const ClaimRequest &request, const std::string &token, coord::RecordedAnswer answer)
{
    auto claim = newClaim(request, token);
    claim.answer = std::move(answer);
    enqueue({ClaimAction::Complete, platform::ClaimStore::rowKey(request.workspace, request.key), std::move(claim)});
}

void ClaimDesk::release(const ClaimRequest &request, const std::string &token)
{
    const auto asker = m_askers.extract(token);
    const bool mayBeCommitted = asker && asker.mapped().mayBeCommitted;
    // A take that has not been sent yet is simply left out; one under way is released behind it.
    const auto sameToken = [&](const ClaimOperation &operation) {
        return operation.claim.token == token;
    };
    const auto erased = std::erase_if(m_waiting, sameToken);
    const bool inGroup = std::any_of(m_group.begin(), m_group.end(), sameToken);
    if (erased == 0 || inGroup || mayBeCommitted) {
        const auto key = platform::ClaimStore::rowKey(request.workspace, request.key);
        enqueue({ClaimAction::Release, key, newClaim(request, token)});
    }
}

coord::Claim ClaimDesk::newClaim(const ClaimRequest &request, const std::string &token) const
{
    return {request.digest, token, m_claimer, secondsSince1970(), {}};
}

void ClaimDesk::enqueue(ClaimOperation operation)
{
    if (m_waiting.size() >= maxWaiting && operation.action != ClaimAction::Acquire) {
        base::LogLine(base::LogLevel::Error, "claim-left-open").field("key", operation.key);
        return;
    }
    m_waiting.push_back(std::move(operation));
    schedule();
}

void ClaimDesk::schedule()
{
    if (m_running || m_scheduled || m_waiting.empty()) {
        return;
    }
    m_scheduled = true;
    const auto earliest = m_lastGroup + m_window;
    m_timer.startOnce(std::max(base::Duration::zero(), earliest - base::monotonicNow()));
}

void ClaimDesk::runGroup()
{
    m_scheduled = false;
    m_group = coord::takeBatch(m_waiting, maxGroup);
    if (m_group.empty()) {
        return;
    }
    m_running = true;
    m_lastGroup = base::monotonicNow();
    std::vector<std::string> keys;
    for (const auto &operation : m_group) {
        keys.push_back(operation.key);
    }
    m_store.read(keys, [this](const std::optional<coord::StoredClaims> &held) { onRead(held); });
}

void ClaimDesk::onRead(const std::optional<coord::StoredClaims> &held)
{
    if (!held) {
        onOutage(std::exchange(m_group, {}));
        return;
    }
    std::vector<ClaimWrite> writes;
    std::vector<ClaimOperation> writing;
    for (auto &operation : std::exchange(m_group, {})) {
        const auto row = held->find(operation.key);
        const auto step = coord::planClaim(operation, row == held->end() ? nullptr : &row->second);
        if (const auto *write = std::get_if<ClaimWrite>(&step)) {
            writes.push_back(*write);
            writing.push_back(std::move(operation));
        } else {
            resolve(operation, std::get<ClaimResult>(step));
        }
    }
    m_group = std::move(writing);
    if (writes.empty()) {
        finishGroup({});
        return;
    }
    m_commits.add();
    m_store.commit(writes, [this](platform::CommitOutcome outcome) { onCommitted(outcome); });
}

void ClaimDesk::onOutage(std::vector<ClaimOperation> group)
{
    // Calls are refused at once while the table is out of reach; what is owed to it waits.
    for (const auto &operation : group) {
        if (operation.action == ClaimAction::Acquire && m_askers.contains(operation.claim.token)) {
            giveUp(operation);
        }
    }
    std::erase_if(group, [](const ClaimOperation &operation) { return operation.action == ClaimAction::Acquire; });
    retry(std::move(group));
    finishGroup(outagePause);
}

void ClaimDesk::onCommitted(platform::CommitOutcome outcome)
{
    auto group = std::exchange(m_group, {});
    if (outcome == platform::CommitOutcome::Committed) {
        for (const auto &operation : group) {
            resolve(operation, coord::committedResult(operation));
        }
        finishGroup({});
        return;
    }
    if (outcome == platform::CommitOutcome::Unknown) {
        for (const auto &operation : group) {
            const auto asker = m_askers.find(operation.claim.token);
            if (asker != m_askers.end()) {
                asker->second.mayBeCommitted = true;
            }
        }
    }
    // The rows are read anew: what was lost, what took effect and what another took ahead shows there.
    retry(std::move(group));
    finishGroup({});
}

void ClaimDesk::resolve(const ClaimOperation &operation, const ClaimResult &result)
{
    auto asker = m_askers.extract(operation.claim.token);
    if (operation.action == ClaimAction::Acquire && asker) {
        asker.mapped().done(result);
    }
}

void ClaimDesk::retry(std::vector<ClaimOperation> operations)
{
    std::vector<ClaimOperation> again;
    for (auto &operation : operations) {
        const auto asker = m_askers.find(operation.claim.token);
        const bool take = operation.action == ClaimAction::Acquire;
        // A take without an asker was released while it was under way; the release is behind it.
        if (take && asker == m_askers.end()) {
            continue;
        }
        if (take && ++asker->second.tries >= maxTries) {
            giveUp(operation);
        } else {
            again.push_back(std::move(operation));
        }
    }
    m_waiting.insert(m_waiting.begin(), std::make_move_iterator(again.begin()), std::make_move_iterator(again.end()));
}

void ClaimDesk::giveUp(const ClaimOperation &operation)
{
    auto asker = m_askers.extract(operation.claim.token);
    if (asker.mapped().mayBeCommitted) {
        auto undo = operation;
        undo.action = ClaimAction::Release;
        m_waiting.push_back(std::move(undo));
    }
    asker.mapped().done(ClaimUnavailable{});
}

void ClaimDesk::finishGroup(base::Duration pause)
{
    m_running = false;
    m_lastGroup = std::max(m_lastGroup, base::monotonicNow() + pause - m_window);
    schedule();
    if (empty() && m_onEmpty) {
        m_onEmpty();
    }
}

} // namespace ibisfork::ledger
