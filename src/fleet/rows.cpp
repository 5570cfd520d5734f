#include <ibisfork/fleet/rows.h>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ibisfork/fleet/exceptions.h>
#include <ibisfork/fleet/rules.h>

namespace ibisfork::fleet {

using Json = nlohmann::json;

namespace {

template<typename Enum, std::size_t Size>
Enum enumFrom(const std::array<base::Name<Enum>, Size> &table, const Json &row, const char *field, Enum fallback)
{
    if (!row.contains(field)) {
        return fallback;
    }
    const auto value = base::valueOf(table, row.at(field).get<std::string>());
    if (!value) {
        throw ConfigError(fmt::format("unknown {} '{}'", field, row.at(field).get<std::string>()));
    }
    return *value;
}

Json versionList(const std::vector<VersionId> &versions)
{
    Json list = Json::array();
    for (const auto &version : versions) {
        list.push_back(version.text());
    }
    return list;
}

std::vector<VersionId> versionsFrom(const Json &row)
{
    std::vector<VersionId> versions;
    for (const auto &text : row.value("versions", Json::array())) {
        versions.push_back(VersionId::parse(text.get<std::string>()));
    }
    return versions;
}

Json rulesJson(const WorkspaceRules &rules)
{
    return {{"quality_target", rules.qualityTarget},
            {"cost_bound", rules.costBound},
            {"priority", rules.priority},
            {"share", rules.share},
            {"withdrawn_session", base::nameOf(withdrawnSessionRuleNames, rules.withdrawnSession)},
            {"cascade", rules.cascade}};
}

WorkspaceRules rulesFrom(const Json &row, const WorkspaceRules &fallback)
{
    WorkspaceRules rules;
    rules.qualityTarget = row.value("quality_target", fallback.qualityTarget);
    rules.costBound = row.value("cost_bound", fallback.costBound);
    rules.priority = row.value("priority", fallback.priority);
    rules.share = row.value("share", fallback.share);
    rules.withdrawnSession = enumFrom(withdrawnSessionRuleNames, row, "withdrawn_session", fallback.withdrawnSession);
    rules.cascade = row.value("cascade", fallback.cascade);
    return rules;
}

Version versionFrom(const std::string &name, const Json &row)
{
    Version version;
    version.id = VersionId::parse(name);
    version.state = enumFrom(versionStateNames, row, "state", version.state);
    version.costPerRequest = row.value("cost", version.costPerRequest);
    version.expectedQuality = row.value("quality", version.expectedQuality);
    version.rolloutShare = row.value("rollout_share", version.rolloutShare);
    version.exposureCap = row.value("exposure_cap", version.exposureCap);
    version.reportsConfidence = row.value("reports_confidence", version.reportsConfidence);
    for (const auto &step : row.value("steps", Json::array())) {
        version.rolloutSteps.push_back({step.at("share").get<double>(), step.value("cap", 0U)});
    }
    return version;
}

Rollout rolloutFrom(const std::string &name, const Json &row)
{
    Rollout rollout;
    rollout.version = VersionId::parse(name);
    rollout.state = enumFrom(rolloutStateNames, row, "state", rollout.state);
    rollout.step = row.value("step", rollout.step);
    rollout.run = row.value("run", rollout.run);
    rollout.allowances = row.value("allowances", rollout.allowances);
    rollout.evidence = row.value("evidence", rollout.evidence);
    return rollout;
}

Workspace workspaceFrom(const std::string &name, const Json &row, const WorkspaceRules &defaults)
{
    Workspace workspace;
    workspace.name = name;
    workspace.keyHashes = row.value("key_hashes", std::vector<std::string>{});
    workspace.versions = versionsFrom(row);
    workspace.services = row.value("services", std::vector<std::string>{});
    workspace.rules = rulesFrom(row, defaults);
    return workspace;
}

Upstream upstreamFrom(const std::string &id, const Json &row)
{
    Upstream upstream;
    upstream.id = id;
    upstream.kind = enumFrom(upstreamKindNames, row, "kind", upstream.kind);
    upstream.state = enumFrom(upstreamStateNames, row, "state", upstream.state);
    upstream.address = row.at("address").get<std::string>();
    upstream.failureDomain = row.at("failure_domain").get<std::string>();
    upstream.versions = versionsFrom(row);
    upstream.service = row.value("service", std::string());
    upstream.limit.cold = row.value("cold", upstream.limit.cold);
    upstream.limit.warm = row.value("warm", upstream.limit.warm);
    upstream.limit.ramp = std::chrono::milliseconds(row.value("ramp_ms", upstream.limit.ramp.count()));
    upstream.checksFencing = row.value("checks_fencing", upstream.checksFencing);
    return upstream;
}

FailureDomain failureDomainFrom(const std::string &name, const Json &row)
{
    return {name, row.value("region", std::string()), enumFrom(domainStateNames, row, "state", DomainState::In)};
}

Exception exceptionFrom(const std::string &id, const Json &row)
{
    Exception exception{id,
                        row.at("workspace").get<std::string>(),
                        row.at("field").get<std::string>(),
                        row.at("value").get<std::string>(),
                        row.at("reason").get<std::string>(),
                        row.value("until", std::string())};
    checkException(exception);
    return exception;
}

SessionKey sessionKeyFrom(const std::string &id, const Json &row)
{
    return {id, row.at("secret").get<std::string>(), enumFrom(sessionKeyStateNames, row, "state", SessionKey{}.state)};
}

std::string sessionKeyRow(const SessionKey &key)
{
    return Json{{"secret", key.secret}, {"state", base::nameOf(sessionKeyStateNames, key.state)}}.dump();
}

Member memberFrom(const std::string &node, const Json &row)
{
    return {node,
            row.at("incarnation").get<std::string>(),
            row.value("peer_address", std::string()),
            row.value("failure_domain", std::string()),
            row.value("region", std::string())};
}

std::string workspaceRow(const Workspace &workspace)
{
    Json row = rulesJson(workspace.rules);
    row["key_hashes"] = workspace.keyHashes;
    row["versions"] = versionList(workspace.versions);
    row["services"] = workspace.services;
    return row.dump();
}

/// Calls @p read with the name and the JSON of each row below @p prefix.
template<typename Read>
void readRows(const coord::Rows &rows, const std::string &prefix, Read read)
{
    for (auto row = rows.lower_bound(prefix); row != rows.end() && row->first.starts_with(prefix); ++row) {
        try {
            read(row->first.substr(prefix.size()), Json::parse(row->second));
        } catch (const std::exception &error) {
            throw ConfigError(fmt::format(errormessage::badRow, row->first, error.what()));
        }
    }
}

} // namespace

VersionId VersionId::parse(const std::string &text)
{
    const auto at = text.find('@');
    if (at == std::string::npos || at == 0 || at + 1 == text.size()) {
        throw ConfigError(fmt::format("'{}' is not of the form model@version", text));
    }
    return {text.substr(0, at), text.substr(at + 1)};
}

Config configFromRows(const coord::Snapshot &snapshot, const std::string &day)
{
    Config config;
    config.revision = snapshot.revision;
    const auto &rows = snapshot.rows;
    readRows(rows, rowprefix::defaults, [&](const std::string &, const Json &row) {
        config.defaults = rulesFrom(row, WorkspaceRules{});
    });
    readRows(rows, rowprefix::version, [&](const std::string &name, const Json &row) {
        const auto version = versionFrom(name, row);
        config.versions[version.id] = version;
    });
    readRows(rows, rowprefix::workspace, [&](const std::string &name, const Json &row) {
        config.workspaces[name] = workspaceFrom(name, row, config.defaults);
    });
    readRows(rows, rowprefix::upstream, [&](const std::string &id, const Json &row) {
        config.upstreams[id] = upstreamFrom(id, row);
    });
    readRows(rows, rowprefix::failureDomain, [&](const std::string &name, const Json &row) {
        config.failureDomains[name] = failureDomainFrom(name, row);
    });
    readRows(rows, rowprefix::exception, [&](const std::string &id, const Json &row) {
        config.exceptions[id] = exceptionFrom(id, row);
    });
    readRows(rows, rowprefix::rollout, [&](const std::string &name, const Json &row) {
        const auto rollout = rolloutFrom(name, row);
        config.rollouts[rollout.version] = rollout;
    });
    readRows(rows, rowprefix::sessionKey, [&](const std::string &id, const Json &row) {
        config.sessionKeys[id] = sessionKeyFrom(id, row);
    });
    readRows(rows, rowprefix::poison, [&](const std::string &fingerprint, const Json &) {
        config.poison.insert(fingerprint);
    });
    readRows(rows, rowprefix::member, [&](const std::string &node, const Json &row) {
        config.members[node] = memberFrom(node, row);
    });
    applyExceptions(config, day);
    return config;
}

std::string versionRow(const Version &version)
{
    Json steps = Json::array();
    for (const auto &step : version.rolloutSteps) {
        steps.push_back({{"share", step.share}, {"cap", step.cap}});
    }
    return Json{{"steps", steps},
                {"reports_confidence", version.reportsConfidence},
                {"state", base::nameOf(versionStateNames, version.state)},
                {"cost", version.costPerRequest},
                {"quality", version.expectedQuality},
                {"rollout_share", version.rolloutShare},
                {"exposure_cap", version.exposureCap}}
        .dump();
}

std::string upstreamRow(const Upstream &upstream)
{
    return Json{{"kind", base::nameOf(upstreamKindNames, upstream.kind)},
                {"state", base::nameOf(upstreamStateNames, upstream.state)},
                {"address", upstream.address},
                {"failure_domain", upstream.failureDomain},
                {"versions", versionList(upstream.versions)},
                {"service", upstream.service},
                {"cold", upstream.limit.cold},
                {"warm", upstream.limit.warm},
                {"ramp_ms", upstream.limit.ramp.count()},
                {"checks_fencing", upstream.checksFencing}}
        .dump();
}

std::string failureDomainRow(const FailureDomain &domain)
{
    return Json{{"region", domain.region}, {"state", base::nameOf(domainStateNames, domain.state)}}.dump();
}

std::string exceptionRow(const Exception &exception)
{
    return Json{{"workspace", exception.workspace},
                {"field", exception.field},
                {"value", exception.value},
                {"reason", exception.reason},
                {"until", exception.until}}
        .dump();
}

std::string rolloutRow(const Rollout &rollout)
{
    return Json{{"state", base::nameOf(rolloutStateNames, rollout.state)},
                {"step", rollout.step},
                {"run", rollout.run},
                {"allowances", rollout.allowances},
                {"evidence", rollout.evidence}}
        .dump();
}

std::string memberRow(const Member &member)
{
    return Json{{"incarnation", member.incarnation},
                {"peer_address", member.peerAddress},
                {"failure_domain", member.failureDomain},
                {"region", member.region}}
        .dump();
}

coord::Rows rowsFromConfig(const Config &config)
{
    coord::Rows rows;
    rows[rowprefix::defaults] = rulesJson(config.defaults).dump();
    for (const auto &[id, version] : config.versions) {
        rows[rowprefix::version + id.text()] = versionRow(version);
    }
    for (const auto &[name, workspace] : config.workspaces) {
        rows[rowprefix::workspace + name] = workspaceRow(workspace);
    }
    for (const auto &[id, upstream] : config.upstreams) {
        rows[rowprefix::upstream + id] = upstreamRow(upstream);
    }
    for (const auto &[name, domain] : config.failureDomains) {
        rows[rowprefix::failureDomain + name] = failureDomainRow(domain);
    }
    for (const auto &[id, exception] : config.exceptions) {
        rows[rowprefix::exception + id] = exceptionRow(exception);
    }
    for (const auto &[id, key] : config.sessionKeys) {
        rows[rowprefix::sessionKey + id] = sessionKeyRow(key);
    }
    return rows;
}

std::vector<coord::RowChange> difference(const coord::Rows &from, const coord::Rows &to)
{
    std::vector<coord::RowChange> changes;
    for (const auto &[key, value] : from) {
        const bool kept = key.starts_with(rowprefix::member) || key.starts_with(rowprefix::rollout)
            || key.starts_with(rowprefix::poison);
        if (!to.contains(key) && !kept) {
            changes.push_back({key, std::nullopt});
        }
    }
    for (const auto &[key, value] : to) {
        const auto held = from.find(key);
        if (held == from.end() || held->second != value) {
            changes.push_back({key, value});
        }
    }
    return changes;
}

} // namespace ibisfork::fleet
