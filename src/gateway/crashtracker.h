#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Counts, by request fingerprint, the engines that crashed while running the request, at this node and at others.
class CrashTracker
{
public:
    /// Number of crashed engines after which a request is refused at all nodes.
    static constexpr unsigned poisonThreshold = 3;

    /// Hash that identifies a request by its workspace, path and body, as 32 hexadecimal digits.
    static std::string fingerprintOf(const std::string &workspace, const std::string &path, const std::string &body);

    /// Records that @p engine crashed while running the request. Returns the count to share with other nodes, or
    /// nothing if there is no need to. @p repeatable: the request may be sent to another engine after a crash.
    std::optional<unsigned> recordCrash(const std::string &fingerprint,
                                        const std::string &engine,
                                        bool repeatable,
                                        base::TimePoint now);
    /// True if any request is suspected of crashing an engine.
    bool hasSuspects() const { return !m_suspects.empty(); }
    /// Clears the suspicion against a request that was answered: the crashes had another cause.
    void recordAnswered(const std::string &fingerprint);
    /// Records the number of crashes that all nodes together have counted for the request.
    void recordShared(const std::string &fingerprint, unsigned crashes);

    /// True if the request must be refused because it crashes engines.
    bool isPoison(const std::string &fingerprint) const;

private:
    struct Suspect
    {
        std::set<std::string> engines;
        base::TimePoint last{};
    };

    void forgetOld(base::TimePoint now);

    std::map<std::string, Suspect> m_suspects;
    std::map<std::string, unsigned> m_shared;
};

} // namespace ibisfork::gateway
