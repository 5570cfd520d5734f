#include "gateway/crashtracker.h"

#include <algorithm>

#include <fmt/format.h>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::gateway {

namespace {

/// Connections are lost for many reasons, so a suspicion that no further crash confirms expires.
constexpr std::chrono::seconds suspicionLifetime{60};
/// Expired suspicions are removed once there are this many.
constexpr std::size_t maxSuspects = 2000;
/// Crashes at this node after which other nodes are notified. A repeatable request reaches a second engine at once, so
/// its first crash is not shared: if it were, the crash of one engine with many requests would flood the store.
constexpr unsigned notifyThresholdRepeatable = 2;
constexpr unsigned notifyThresholdNonRepeatable = 1;

} // namespace

std::string CrashTracker::fingerprintOf(const std::string &workspace, const std::string &path, const std::string &body)
{
    return fmt::format("{:016x}{:016x}",
                       coord::rendezvousWeight(workspace + '\n' + path, body),
                       coord::rendezvousWeight(body, workspace));
}

std::optional<unsigned> CrashTracker::recordCrash(const std::string &fingerprint,
                                                  const std::string &engine,
                                                  bool repeatable,
                                                  base::TimePoint now)
{
    forgetOld(now);
    auto &suspect = m_suspects[fingerprint];
    suspect.last = now;
    if (!suspect.engines.insert(engine).second) {
        return std::nullopt;
    }
    const auto shared = m_shared.find(fingerprint);
    const auto here = static_cast<unsigned>(suspect.engines.size());
    if (shared != m_shared.end()) {
        return std::max(here, shared->second + 1);
    }
    const auto notifyThreshold = repeatable ? notifyThresholdRepeatable : notifyThresholdNonRepeatable;
    return here >= notifyThreshold ? std::optional(here) : std::nullopt;
}

void CrashTracker::recordAnswered(const std::string &fingerprint)
{
    m_suspects.erase(fingerprint);
}

void CrashTracker::recordShared(const std::string &fingerprint, unsigned crashes)
{
    auto &known = m_shared[fingerprint];
    known = std::max(known, crashes);
}

bool CrashTracker::isPoison(const std::string &fingerprint) const
{
    const auto shared = m_shared.find(fingerprint);
    if (shared != m_shared.end() && shared->second >= poisonThreshold) {
        return true;
    }
    const auto suspect = m_suspects.find(fingerprint);
    return suspect != m_suspects.end() && suspect->second.engines.size() >= poisonThreshold;
}

void CrashTracker::forgetOld(base::TimePoint now)
{
    if (m_suspects.size() < maxSuspects) {
        return;
    }
    std::erase_if(m_suspects, [&](const auto &item) { return now - item.second.last > suspicionLifetime; });
}

} // namespace ibisfork::gateway
