#include <ibisfork/fleet/check.h>

#include <algorithm>
#include <set>

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <ibisfork/fleet/exceptions.h>
#include <ibisfork/fleet/rows.h>

namespace ibisfork::fleet {

namespace {

using Problems = std::vector<std::string>;

constexpr std::size_t digestLength = 64;

bool within(double value, double lowest, double highest)
{
    return value >= lowest && value <= highest;
}

bool isDigest(const std::string &text)
{
    return text.size() == digestLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

void checkRules(const std::string &where, const WorkspaceRules &rules, Problems &problems)
{
    if (!within(rules.qualityTarget, 0.0, 1.0)) {
        problems.push_back(fmt::format("{}: quality_target must be from 0 to 1", where));
    }
    if (!within(rules.costBound, 0.0, rulelimit::highestCost)) {
        problems.push_back(fmt::format("{}: cost_bound must be from 0 to {}", where, rulelimit::highestCost));
    }
    if (!within(rules.share, rulelimit::lowestShare, rulelimit::highestShare)) {
        problems.push_back(
            fmt::format("{}: share must be from {} to {}", where, rulelimit::lowestShare, rulelimit::highestShare));
    }
    if (rules.priority < rulelimit::lowestPriority || rules.priority > rulelimit::highestPriority) {
        problems.push_back(fmt::format(
            "{}: priority must be from {} to {}", where, rulelimit::lowestPriority, rulelimit::highestPriority));
    }
}

void checkVersion(const Version &version, Problems &problems)
{
    const auto where = fmt::format("version {}", version.id.text());
    if (!within(version.costPerRequest, 0.0, rulelimit::highestCost)) {
        problems.push_back(fmt::format("{}: cost must be from 0 to {}", where, rulelimit::highestCost));
    }
    if (!within(version.expectedQuality, 0.0, 1.0)) {
        problems.push_back(fmt::format("{}: quality must be from 0 to 1", where));
    }
    if (!within(version.rolloutShare, 0.0, 1.0)) {
        problems.push_back(fmt::format("{}: rollout_share must be from 0 to 1", where));
    }
}

void checkVersions(const Config &config,
                   const std::string &where,
                   const std::vector<VersionId> &versions,
                   Problems &problems)
{
    for (const auto &version : versions) {
        if (!config.versions.contains(version)) {
            problems.push_back(fmt::format("{}: unknown version {}", where, version.text()));
        }
    }
}

void checkUpstream(const Config &config, const Upstream &upstream, Problems &problems)
{
    const auto where = fmt::format("upstream {}", upstream.id);
    checkVersions(config, where, upstream.versions, problems);
    if (!config.failureDomains.contains(upstream.failureDomain)) {
        problems.push_back(fmt::format("{}: unknown failure domain {}", where, upstream.failureDomain));
    }
    if (upstream.kind == UpstreamKind::Service && upstream.service.empty()) {
        problems.push_back(fmt::format("{}: a service needs the name that it is called by", where));
    }
    if (upstream.limit.cold == 0 || upstream.limit.cold > upstream.limit.warm) {
        problems.push_back(fmt::format("{}: cold must be at least 1 and at most warm", where));
    }
}

void checkWorkspace(const Config &config,
                    const Workspace &workspace,
                    const std::set<std::string> &services,
                    Problems &problems)
{
    const auto where = fmt::format("workspace {}", workspace.name);
    checkVersions(config, where, workspace.versions, problems);
    checkRules(where, workspace.rules, problems);
    for (const auto &service : workspace.services) {
        if (!services.contains(service)) {
            problems.push_back(fmt::format("{}: no upstream serves {}", where, service));
        }
    }
    for (const auto &hash : workspace.keyHashes) {
        if (!isDigest(hash)) {
            problems.push_back(fmt::format("{}: a key hash is not a SHA-256 digest in lower-case hexadecimal", where));
        }
    }
}

/// A key that two workspaces hold would let one act as the other.
void checkKeys(const Config &config, Problems &problems)
{
    std::map<std::string, std::string> holders;
    for (const auto &[name, workspace] : config.workspaces) {
        for (const auto &hash : workspace.keyHashes) {
            const auto [holder, added] = holders.emplace(hash, name);
            if (!added) {
                problems.push_back(fmt::format("workspace {}: a key is held by {} too", name, holder->second));
            }
        }
    }
}

std::set<std::string> servicesOf(const Config &config)
{
    std::set<std::string> services;
    for (const auto &[id, upstream] : config.upstreams) {
        if (upstream.kind == UpstreamKind::Service) {
            services.insert(upstream.service);
        }
    }
    return services;
}

} // namespace

std::vector<std::string> problemsOf(const Config &config)
{
    Problems problems;
    checkRules("defaults", config.defaults, problems);
    for (const auto &[id, version] : config.versions) {
        checkVersion(version, problems);
    }
    for (const auto &[id, upstream] : config.upstreams) {
        checkUpstream(config, upstream, problems);
    }
    const auto services = servicesOf(config);
    for (const auto &[name, workspace] : config.workspaces) {
        checkWorkspace(config, workspace, services, problems);
    }
    checkKeys(config, problems);
    for (const auto &[id, exception] : config.exceptions) {
        if (!config.workspaces.contains(exception.workspace)) {
            problems.push_back(
                fmt::format(errormessage::badException, id, fmt::format("unknown workspace {}", exception.workspace)));
        }
    }
    return problems;
}

void checkWhole(const Config &config)
{
    const auto problems = problemsOf(config);
    if (!problems.empty()) {
        throw ConfigError(fmt::format("{}", fmt::join(problems, "\n")));
    }
}

void checkChange(const coord::Rows &held, const std::vector<coord::RowChange> &change)
{
    auto rows = held;
    for (const auto &row : change) {
        if (row.value) {
            rows[row.key] = *row.value;
        } else {
            rows.erase(row.key);
        }
    }
    // A change that mends one problem of several must not be refused for the others.
    const auto earlier = problemsOf(configFromRows({0, held}));
    Problems added;
    for (const auto &problem : problemsOf(configFromRows({0, rows}))) {
        if (std::find(earlier.begin(), earlier.end(), problem) == earlier.end()) {
            added.push_back(problem);
        }
    }
    if (!added.empty()) {
        throw ConfigError(fmt::format("{}", fmt::join(added, "\n")));
    }
}

} // namespace ibisfork::fleet
