#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <ibisfork/base/metrics.h>
#include <ibisfork/coord/claims.h>

#include "net/timer.h"
#include "platform/claimstore.h"

namespace ibisfork::ledger {

/// A call that may not be repeated, as it is claimed.
struct ClaimRequest
{
    std::string workspace;
    std::string key;
    /// Digest of method, path and body.
    std::string digest;
};

/// Unavailable: the table did not answer, and nothing of the claim is in force for this call.
struct ClaimUnavailable
{
};
using ClaimAnswer = std::variant<coord::ClaimResult, ClaimUnavailable>;

/// Claims the calls of a node before they run, many in one transaction. Lives on one event loop.
class ClaimDesk
{
public:
    /// @p window is the shortest time between two groups.
    ClaimDesk(event_base *base, platform::TableClient &table, base::Duration window, base::MetricsRegistry &metrics);

    /// Asks for the one run of a call. Gives the token by which it is settled or released.
    std::string take(const ClaimRequest &request, std::function<void(const ClaimAnswer &)> done);
    /// Records the outcome of a granted claim.
    void settle(const ClaimRequest &request, const std::string &token, coord::RecordedAnswer answer);
    /// Gives up a claim of which no byte was sent, granted or not; its callback is no longer called.
    void release(const ClaimRequest &request, const std::string &token);
    /// Whether nothing waits for the table.
    bool empty() const { return m_waiting.empty() && m_group.empty(); }
    /// Called each time that nothing waits any more.
    void onEmpty(std::function<void()> callback) { m_onEmpty = std::move(callback); }

private:
    struct Asker
    {
        std::function<void(const ClaimAnswer &)> done;
        /// A commit whose answer was lost may still take effect.
        bool mayBeCommitted = false;
        int tries = 0;
    };

    coord::Claim newClaim(const ClaimRequest &request, const std::string &token) const;
    void enqueue(coord::ClaimOperation operation);
    void schedule();
    void runGroup();
    void onRead(const std::optional<coord::StoredClaims> &held);
    void onOutage(std::vector<coord::ClaimOperation> group);
    void onCommitted(platform::CommitOutcome outcome);
    void resolve(const coord::ClaimOperation &operation, const coord::ClaimResult &result);
    void retry(std::vector<coord::ClaimOperation> operations);
    void giveUp(const coord::ClaimOperation &operation);
    void finishGroup(base::Duration pause);

    std::string m_claimer;
    base::Duration m_window;
    platform::ClaimStore m_store;
    base::Counter &m_taken;
    base::Counter &m_commits;
    std::vector<coord::ClaimOperation> m_waiting;
    std::vector<coord::ClaimOperation> m_group;
    std::map<std::string, Asker> m_askers;
    std::function<void()> m_onEmpty;
    std::uint64_t m_nextToken = 1;
    bool m_running = false;
    bool m_scheduled = false;
    base::TimePoint m_lastGroup{};
    net::Timer m_timer;
};

} // namespace ibisfork::ledger
