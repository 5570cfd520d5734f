#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibisfork::serving {

/// SHA-256 in hex of the workspace and the body; identical requests have the same fingerprint.
std::string fingerprintOf(const std::string &workspace, const std::string &body);

/// Detects poison requests, which crash the engines that run them.
///
/// All requests that ran on an engine when it crashed become suspects. If some of them were already suspects, only
/// those with the most crashes are counted again, so that a harmless request that ran next to one is not rejected. A
/// suspect is not sent to an engine that runs another suspect, until it has been answered or has crashed a second
/// engine. After two crashes a request counts as poison and is rejected.
class PoisonTracker
{
public:
    /// Called once for each request that this node finds to be poison.
    using PoisonHandler = std::function<void(const std::string &fingerprint)>;

    explicit PoisonTracker(PoisonHandler handler = {});
    /// Sets the handler that is called when a request is found to be poison.
    void onPoison(PoisonHandler handler) { m_onPoison = std::move(handler); }

    /// Whether @p fingerprint is known as poison to this node or the fleet.
    bool isPoison(const std::string &fingerprint) const;
    /// If @p fingerprint is a suspect: the upstreams that run a suspect, to which it must not be sent now.
    std::vector<std::string> excludedUpstreams(const std::string &fingerprint) const;

    /// Registers the request @p run, which is sent to @p upstream; recordEnd() removes it.
    void recordStart(const std::string &upstream, const std::string &run, const std::string &fingerprint);
    /// Removes the request @p run, which no longer runs at its upstream.
    void recordEnd(const std::string &run);
    /// Notes that the engine of @p run crashed. Further reports of the same crash, from other runs, are ignored.
    void recordCrash(const std::string &run);
    /// Notes that the request was answered; it is no longer a suspect.
    void recordAnswer(const std::string &fingerprint);

    /// Replaces the set of poison fingerprints known to the fleet. A fingerprint that is missing from the new set is
    /// cleared on this node too.
    void setFleetPoison(const std::set<std::string> &fingerprints);

private:
    struct Run
    {
        std::string upstream;
        std::string fingerprint;
        bool crashCounted = false;
    };

    void countCrash(const std::set<std::string> &present);
    void incrementCrashCount(const std::string &fingerprint);

    PoisonHandler m_onPoison;
    std::map<std::string, Run> m_runs;
    /// Number of crashes attributed to each suspect.
    std::map<std::string, unsigned> m_crashCounts;
    std::set<std::string> m_localPoison;
    std::set<std::string> m_fleetPoison;
};

} // namespace ibisfork::serving
