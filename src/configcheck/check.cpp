#include "configcheck/check.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <utility>

#include <fmt/format.h>

namespace ibisfork::configcheck {

namespace {

using gateway::Configuration;
using gateway::lowestPriority;
using gateway::Repeatability;
using gateway::Route;
using gateway::Service;
using Findings = std::vector<Finding>;

constexpr std::array<base::Name<Repeatability>, 3> repeatabilityNames{{
    {Repeatability::Idempotent, "idempotent"},
    {Repeatability::AtMostOnce, "at most once"},
    {Repeatability::Stream, "stream"},
}};
/// A request line and the headers that each request carries need this much.
constexpr std::size_t leastHeadBytes = 512;

std::string nameOf(const Route &route)
{
    return "route " + route.name;
}

bool sharesService(const Route &route, const std::string &service)
{
    return std::any_of(route.services.begin(), route.services.end(), [&](const auto &share) {
        return share.service == service && share.weight > 0;
    });
}

void checkPath(const Route &route, Findings &findings)
{
    const auto &path = route.pathPrefix;
    if (!path.starts_with('/') || !path.ends_with('/')) {
        findings.push_back({FindingKind::Error, nameOf(route), fmt::format("'{}' must begin and end with /", path)});
    }
    if (path.find_first_of("?# ") != std::string::npos) {
        findings.push_back({FindingKind::NeverMatches, nameOf(route), fmt::format("no path begins with '{}'", path)});
    }
    if (route.host.empty() || route.host.find(':') != std::string::npos) {
        findings.push_back(
            {FindingKind::NeverMatches, nameOf(route), fmt::format("no host is '{}'; ports are left out", route.host)});
    }
}

void checkServices(const Configuration &configuration, const Route &route, Findings &findings)
{
    std::uint64_t total = 0;
    for (const auto &share : route.services) {
        total += share.weight;
        const auto *service = configuration.findService(share.service);
        if (service == nullptr) {
            findings.push_back({FindingKind::Error, nameOf(route), "unknown service " + share.service});
        } else if (share.weight == 0) {
            findings.push_back({FindingKind::NeverMatches, nameOf(route), share.service + " has weight 0"});
        }
    }
    if (total == 0) {
        findings.push_back({FindingKind::Error, nameOf(route), "all weights are 0"});
    }
}

void checkModels(const Configuration &configuration, const Route &route, Findings &findings)
{
    for (const auto &share : route.services) {
        const auto *service = configuration.findService(share.service);
        for (const auto &model : route.models) {
            const bool isKnown = service == nullptr || service->models.empty()
                || std::any_of(service->models.begin(), service->models.end(), [&](const auto &known) {
                                     return known.model == model;
                                 });
            if (!isKnown) {
                findings.push_back(
                    {FindingKind::Error, nameOf(route), fmt::format("{} has no model {}", share.service, model)});
            }
        }
    }
    if (route.models.size() > 1 && route.maxUpstreams < 2) {
        findings.push_back({FindingKind::Contradiction,
                            nameOf(route),
                            "several models, but one attempt: only the smallest ever answers"});
    }
}

void checkLimits(const Route &route, Findings &findings)
{
    const auto contradicts = [&](const std::string &text) {
        findings.push_back({FindingKind::Contradiction, nameOf(route), text});
    };
    if (route.objective.count() <= 0) {
        contradicts("objective of 0 ms: no answer is in time");
    }
    if (route.objective > route.timeout) {
        contradicts(fmt::format(
            "objective of {} ms is longer than the timeout of {} ms", route.objective.count(), route.timeout.count()));
    }
    const bool isStream = route.repeatability == Repeatability::Stream;
    if (isStream && route.pauseObjective > route.timeout) {
        contradicts(fmt::format("pause objective of {} ms is longer than the timeout of {} ms",
                                route.pauseObjective.count(),
                                route.timeout.count()));
    }
    if (!isStream && route.resumable) {
        contradicts("resumable, but its answers are no streams");
    }
    if (route.resumable && route.maxUpstreams < 2) {
        contradicts("resumable, but one attempt: no stream can go on at another engine");
    }
    if (route.timeout.count() <= 0 || route.maxUpstreams == 0) {
        findings.push_back({FindingKind::Error, nameOf(route), "no request can be served: no time or no attempt"});
    }
    if (route.priority < 0 || route.priority > lowestPriority) {
        contradicts(
            fmt::format("priority {} counts as {}", route.priority, std::clamp(route.priority, 0, lowestPriority)));
    }
}

void checkNames(const Configuration &configuration, Findings &findings)
{
    std::set<std::string> names;
    std::map<std::pair<std::string, std::string>, std::string> places;
    for (const auto &route : configuration.routes) {
        if (!names.insert(route.name).second) {
            findings.push_back({FindingKind::Error, nameOf(route), "two routes have this name"});
        }
        const auto [place, isFirst] = places.emplace(std::pair(route.host, route.pathPrefix), route.name);
        if (!isFirst) {
            findings.push_back({FindingKind::NeverMatches,
                                nameOf(route),
                                fmt::format("route {} has the same host and path and goes first", place->second)});
        }
    }
}

void checkUnused(const Configuration &configuration, Findings &findings)
{
    for (const auto &[name, service] : configuration.services) {
        const auto uses = [&service = name](const Route &route) {
            return sharesService(route, service);
        };
        if (std::none_of(configuration.routes.begin(), configuration.routes.end(), uses)) {
            findings.push_back({FindingKind::NeverMatches, "service " + name, "no route leads to it"});
        }
        if (service.maxConnections == 0) {
            findings.push_back({FindingKind::Error, "service " + name, "its engines accept no connection"});
        }
    }
    const bool needsKeys = std::any_of(
        configuration.routes.begin(), configuration.routes.end(), [](const Route &route) { return !route.isPublic; });
    if (configuration.hasWorkspaces && configuration.workspacesByKey.empty() && needsKeys) {
        findings.push_back({FindingKind::Error, "workspaces", "none has a key, but there are routes that need one"});
    }
}

void checkBounds(const http::CallerBounds &bounds, Findings &findings)
{
    if (bounds.maxHeadBytes < leastHeadBytes) {
        findings.push_back({FindingKind::Error,
                            "limits",
                            fmt::format("heads of callers may not fit into {} bytes", bounds.maxHeadBytes)});
    }
}

/// The fields of an entry, by name, as text.
using Fields = std::map<std::string, std::string>;

Fields fieldsOf(const Route &route)
{
    std::string services;
    for (const auto &share : route.services) {
        services += fmt::format("{}{}:{}", services.empty() ? "" : ",", share.service, share.weight);
    }
    std::string models;
    for (const auto &model : route.models) {
        models += (models.empty() ? "" : ",") + model;
    }
    return {{"host", route.host},
            {"path", route.pathPrefix},
            {"kind", std::string(base::nameOf(repeatabilityNames, route.repeatability))},
            {"timeout", fmt::format("{} ms", route.timeout.count())},
            {"objective", fmt::format("{} ms", route.objective.count())},
            {"pause objective", fmt::format("{} ms", route.pauseObjective.count())},
            {"priority", fmt::format("{}", route.priority)},
            {"attempts", fmt::format("{}", route.maxUpstreams)},
            {"public", route.isPublic ? "yes" : "no"},
            {"resumable", route.resumable ? "yes" : "no"},
            {"models", models},
            {"services", services}};
}

Fields fieldsOf(const Service &service)
{
    std::string models;
    for (const auto &model : service.models) {
        models += fmt::format("{}{}:{}", models.empty() ? "" : ",", model.model, model.costPerThousand);
    }
    return {{"connections", fmt::format("{}", service.maxConnections)},
            {"health path", service.healthPath},
            {"cold period", fmt::format("{} ms", service.coldPeriod.count())},
            {"cold rate", fmt::format("{}", service.coldRate)},
            {"longest reservation", fmt::format("{} ms", service.maxReservation.count())},
            {"models", models}};
}

Fields fieldsOf(const http::CallerBounds &bounds)
{
    return {{"head bytes", fmt::format("{}", bounds.maxHeadBytes)},
            {"body bytes", fmt::format("{}", bounds.maxBodyBytes)},
            {"head timeout", fmt::format("{} ms", bounds.headTimeout.count())},
            {"idle timeout", fmt::format("{} ms", bounds.idleTimeout.count())}};
}

/// Entries of one kind, by name.
using Entries = std::map<std::string, Fields>;

Entries entriesOf(const Configuration &configuration)
{
    Entries entries;
    for (const auto &route : configuration.routes) {
        entries[nameOf(route)] = fieldsOf(route);
    }
    for (const auto &[name, service] : configuration.services) {
        entries["service " + name] = fieldsOf(service);
    }
    entries["limits"] = fieldsOf(configuration.callerBounds);
    entries["workspaces"] = {{"keys needed", configuration.hasWorkspaces ? "yes" : "no"}};
    for (const auto &[key, workspace] : configuration.workspacesByKey) {
        const auto priority = workspace.priority ? fmt::format("{}", *workspace.priority) : "that of the route";
        entries["workspace " + workspace.name] = {{"priority", priority}};
    }
    return entries;
}

void compareFields(const std::string &where, const Fields &before, const Fields &after, Findings &findings)
{
    for (const auto &[name, value] : after) {
        const auto old = before.find(name);
        if (old != before.end() && old->second != value) {
            findings.push_back({FindingKind::Difference, where, fmt::format("{}: {} to {}", name, old->second, value)});
        }
    }
}

void compareEntries(const Entries &before, const Entries &after, Findings &findings)
{
    for (const auto &[name, fields] : before) {
        if (!after.contains(name)) {
            findings.push_back({FindingKind::Difference, name, "removed"});
        }
    }
    for (const auto &[name, fields] : after) {
        const auto old = before.find(name);
        if (old == before.end()) {
            findings.push_back({FindingKind::Difference, name, "added"});
        } else {
            compareFields(name, old->second, fields, findings);
        }
    }
}

/// Keys of each workspace.
std::map<std::string, std::set<std::string>> keysOf(const Configuration &configuration)
{
    std::map<std::string, std::set<std::string>> keys;
    for (const auto &[key, workspace] : configuration.workspacesByKey) {
        keys[workspace.name].insert(key);
    }
    return keys;
}

std::size_t countMissing(const std::set<std::string> &wanted, const std::set<std::string> &present)
{
    return static_cast<std::size_t>(
        std::count_if(wanted.begin(), wanted.end(), [&](const std::string &key) { return !present.contains(key); }));
}

void compareKeys(const Configuration &inForce, const Configuration &next, Findings &findings)
{
    auto before = keysOf(inForce);
    auto after = keysOf(next);
    std::set<std::string> names;
    for (const auto &[name, keys] : before) {
        names.insert(name);
    }
    for (const auto &[name, keys] : after) {
        names.insert(name);
    }
    for (const auto &name : names) {
        const auto removed = countMissing(before[name], after[name]);
        const auto added = countMissing(after[name], before[name]);
        if (removed + added > 0) {
            findings.push_back({FindingKind::Difference,
                                "workspace " + name,
                                fmt::format("{} keys added, {} removed", added, removed)});
        }
    }
}

} // namespace

std::vector<Finding> check(const Configuration &configuration)
{
    Findings findings;
    checkNames(configuration, findings);
    for (const auto &route : configuration.routes) {
        checkPath(route, findings);
        checkServices(configuration, route, findings);
        checkModels(configuration, route, findings);
        checkLimits(route, findings);
    }
    checkUnused(configuration, findings);
    checkBounds(configuration.callerBounds, findings);
    return findings;
}

std::vector<Finding> difference(const Configuration &inForce, const Configuration &next)
{
    Findings findings;
    if (next.version <= inForce.version) {
        findings.push_back({FindingKind::Error,
                            "version",
                            fmt::format("{} is not above {}, which is in force", next.version, inForce.version)});
    }
    compareEntries(entriesOf(inForce), entriesOf(next), findings);
    compareKeys(inForce, next, findings);
    return findings;
}

} // namespace ibisfork::configcheck
