#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "gateway/crashevidence.h"
#include "gateway/crashverdict.h"

namespace ibisfork::gateway {

/// Finds out, from the engines that end at this node and at others, which requests crash engines. All times are of the
/// store's clock.
class CrashTracker
{
public:
    /// How long a verdict must hold before it is kept as a conviction: the time in which evidence of other nodes that
    /// contradicts it arrives.
    static constexpr std::chrono::milliseconds settleTime{1000};

    /// Records that a run was lost at @p engine, of which @p traits are suspect. Returns true if it is to be found out
    /// whether the engine has ended; confirmLoss() must follow then.
    bool recordLostRun(const std::string &engine, const std::vector<RequestTrait> &traits, StoreTime now);
    /// Records whether @p engine has ended, or lost some runs only.
    void confirmLoss(const std::string &engine, bool hasEnded, StoreTime now);
    /// Records that a run, which began to be answered at @p beganAt, went well as far as @p traits can tell.
    void recordSoundRun(const std::vector<RequestTrait> &traits, StoreTime beganAt);

    /// Takes back what this node knew before it was started again.
    void restore(const CrashEvidence &own);
    /// Takes over what another node knows; nullptr if its row is gone.
    void setPeerEvidence(const std::string &node, const CrashEvidence *evidence);
    /// Takes over what all other nodes that exchange evidence know together, in place of what was known before.
    void setFleetEvidence(const CrashEvidence &evidence);
    void setConviction(const Conviction &conviction);
    /// Forgets the rows read so far, before a full read. Convictions are kept, for the store may have lost theirs.
    void beginFullRead();
    /// Records that the store may lack any of the convictions.
    void recordConvictionsLost();

    /// True if a request with @p traits must be refused because it crashes engines.
    bool isPoison(const std::vector<RequestTrait> &traits, StoreTime now);
    /// True if any engine is known to have ended.
    bool hasReports() const { return !m_suspects.empty(); }
    /// Changes whenever other requests than before are refused.
    unsigned verdictSerial() const { return m_verdictSerial; }
    /// False if no request needs to be checked.
    bool hasPoison(StoreTime now);
    /// True if runs with each of @p parts have gone well at this node.
    bool areProven(const std::vector<RequestTrait> &parts) const;

    /// Number of traits whose runs are known to have gone well at this node.
    std::size_t soundTraits() const { return m_own.soundRuns.size(); }

    /// What other nodes have to know of this node's evidence.
    CrashEvidence evidenceToShare(StoreTime now);
    /// Returns the convictions that the store lacks: verdicts that have held for settleTime, and rows that were lost.
    std::vector<Conviction> convictionsToWrite(StoreTime now);

private:
    using Suspicions = std::map<RequestTrait, CrashVerdict::Suspicion>;

    struct KnownConviction
    {
        Conviction conviction;
        /// The store is known to have it.
        bool isStored = false;
    };

    struct FoundGroup
    {
        PoisonGroup group;
        /// When it was first found.
        StoreTime at{0};
    };

    struct PendingLoss
    {
        StoreTime at{0};
        std::set<RequestTrait> traits;
    };

    void addReport(CrashReport report);
    /// Traits of the lost runs that this node has not seen go well since; not all if there are many.
    std::set<RequestTrait> suspectsOf(const PendingLoss &loss) const;
    /// The ends of engines that any node knows, and the sound runs that the others have told of.
    CrashVerdict evidenceOfAll() const;
    /// Completes @p evidence of all nodes by this node's sound runs with @p suspects and by expired convictions.
    CrashVerdict verdictOn(CrashVerdict evidence, const Suspicions &suspects, StoreTime now) const;
    /// What speaks against each trait that any node suspects, by @p verdict, or that is convicted. A conviction counts
    /// as a crash at its begin, for a run that began later lifts it.
    Suspicions suspicions(const CrashVerdict &verdict) const;
    void update(StoreTime now);
    /// Convicts the groups of the verdict that have held for settleTime.
    void convictSettled(StoreTime now);
    void dropOld(StoreTime now);
    void dropOldestSoundRuns();
    bool isConvicted(const RequestTrait &trait, StoreTime now) const;
    /// True if it matters to the verdict that a run with @p trait, which began at @p beganAt, went well.
    bool mayChangeVerdict(const RequestTrait &trait, StoreTime beganAt) const;
    bool isInForce(const Conviction &conviction, const CrashVerdict &verdict, StoreTime now) const;

    std::map<std::string, PendingLoss> m_pending;
    CrashEvidence m_own;
    std::map<RequestTrait, StoreTime> m_sharedSoundRuns;
    /// Rows of other nodes, by node.
    std::map<std::string, CrashEvidence> m_peers;
    CrashEvidence m_fleet;
    std::map<std::string, KnownConviction> m_convictions;
    /// Groups of the current verdict, by their id.
    std::map<std::string, FoundGroup> m_found;
    /// Groups that are refused now: those of the verdict and of the convictions in force.
    std::vector<PoisonGroup> m_refused;
    unsigned m_verdictSerial = 0;
    Suspicions m_suspects;
    bool m_isOutdated = false;
    StoreTime m_updatedAt{0};
    StoreTime m_droppedAt{0};
};

} // namespace ibisfork::gateway
