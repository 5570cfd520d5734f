#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Judges, from this node's own attempts, whether it has a path to the engines of each service.
class EngineReach
{
public:
    /// Number of engines that must fail to answer, none having answered in between, of a service that lists @p listed.
    /// Fewer may be down by themselves.
    static std::size_t enginesNeeded(std::size_t listed);

    /// Records that no connection to @p engine could be established. @p listed: number of engines of the service.
    /// Returns true if the node is cut off from the service from now on.
    bool recordUnreachable(const std::string &service, const std::string &engine, std::size_t listed);
    /// Records that @p engine stayed silent on a connection. Engines that only pause do so too, so silence counts once
    /// no engine of the service has answered for longer than a pause. Returns true as recordUnreachable() does.
    bool recordSilent(const std::string &service, const std::string &engine, std::size_t listed, base::TimePoint now);
    /// True if so many engines of @p service have failed since one last answered that the path may be at fault.
    bool isSuspected(const std::string &service, std::size_t listed) const;
    /// True if @p engine has failed to answer since an engine of @p service last answered.
    bool hasFailed(const std::string &service, const std::string &engine) const;
    /// Number of further engines that would have to fail for the node to be cut off.
    std::size_t failuresMissing(const std::string &service, std::size_t listed) const;
    /// Records that an engine of @p service has begun to answer. Returns true if the node is no longer cut off.
    bool recordAnswered(const std::string &service, base::TimePoint now);
    /// When an engine of @p service last answered, if any has.
    std::optional<base::TimePoint> answeredAt(const std::string &service) const;

    bool isCutOff(const std::string &service) const { return m_cutOff.contains(service); }
    const std::set<std::string> &cutOffServices() const { return m_cutOff; }

private:
    /// What has failed since an engine of the service last answered.
    struct Failures
    {
        std::set<std::string> unreachable;
        std::set<std::string> silent;
        /// When an engine was first found silent; meaningless while there is none.
        base::TimePoint silentSince{};

        std::size_t count() const { return unreachable.size() + silent.size(); }
    };

    std::map<std::string, Failures> m_failures;
    std::set<std::string> m_cutOff;
    /// By service.
    std::map<std::string, base::TimePoint> m_answeredAt;
};

} // namespace ibisfork::gateway
