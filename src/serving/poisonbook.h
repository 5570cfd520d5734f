#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace ibisfork::serving {

/// The name of a request by which its like is known again: its workspace and body.
std::string fingerprintOf(const std::string &workspace, const std::string &body);

/// Finds requests that crash the engines that run them.
///
/// A crash blames the requests that ran at the engine. Those that were there at an earlier crash are blamed before
/// those that were not, so that an innocent neighbour is not condemned; a suspect is kept apart from other suspects
/// until it has answered or has crashed a second engine. Two crashes condemn.
class PoisonBook
{
public:
    /// Called once for each request that is condemned here.
    using Condemned = std::function<void(const std::string &fingerprint)>;

    explicit PoisonBook(Condemned condemned = {});
    void onCondemned(Condemned condemned) { m_onCondemned = std::move(condemned); }

    bool condemned(const std::string &fingerprint) const;
    /// Upstreams to which @p fingerprint must not be sent now, since another suspect runs there and it is one itself.
    std::vector<std::string> keptApartFrom(const std::string &fingerprint) const;

    void started(const std::string &upstream, const std::string &run, const std::string &fingerprint);
    void ended(const std::string &run);
    /// The engine that ran @p run crashed; reports of other runs about the same crash are counted once.
    void crashed(const std::string &run);
    /// The request was answered and is no suspect any more.
    void answered(const std::string &fingerprint);

    /// Takes what the fleet has condemned; what it no longer holds is lifted.
    void setFleetCondemned(const std::set<std::string> &fingerprints);

private:
    struct Run
    {
        std::string upstream;
        std::string fingerprint;
        bool blamed = false;
    };

    void blame(const std::set<std::string> &present);
    void addBlame(const std::string &fingerprint);

    Condemned m_onCondemned;
    std::map<std::string, Run> m_runs;
    /// Crashes that each suspect is blamed for.
    std::map<std::string, unsigned> m_blame;
    std::set<std::string> m_condemnedHere;
    std::set<std::string> m_fleetCondemned;
};

} // namespace ibisfork::serving
