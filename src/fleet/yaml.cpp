#include <ibisfork/fleet/yaml.h>

#include <yaml-cpp/yaml.h>

#include <fmt/format.h>

#include "yaml/yamlfields.h"
#include <ibisfork/fleet/check.h>
#include <ibisfork/fleet/digest.h>
#include <ibisfork/fleet/exceptions.h>
#include <ibisfork/fleet/rules.h>

namespace ibisfork::fleet {

using yaml::YamlFields;

namespace {

std::vector<VersionId> versionsFrom(YamlFields &fields)
{
    std::vector<VersionId> versions;
    for (const auto &text : fields.optional("versions", std::vector<std::string>{}, "a list of model@version")) {
        versions.push_back(VersionId::parse(text));
    }
    return versions;
}

WorkspaceRules rulesFrom(YamlFields &fields, const WorkspaceRules &fallback)
{
    WorkspaceRules rules;
    rules.qualityTarget = fields.optionalInRange("quality_target", fallback.qualityTarget, 0.0, 1.0);
    rules.costBound = fields.optional("cost_bound", fallback.costBound, "a number");
    rules.priority = fields.optional("priority", fallback.priority, "an integer");
    rules.share = fields.optional("share", fallback.share, "a number");
    rules.withdrawnSession
        = fields.optionalName("withdrawn_session", withdrawnSessionRuleNames, fallback.withdrawnSession);
    rules.cascade = fields.optional("cascade", fallback.cascade, "true or false");
    return rules;
}

Version versionFrom(YamlFields &fields)
{
    Version version;
    version.id.model = fields.required<std::string>("model", "a name");
    version.id.version = fields.required<std::string>("version", "a name");
    version.state = fields.optionalName("state", versionStateNames, version.state);
    version.costPerRequest = fields.optional("cost", version.costPerRequest, "a number");
    version.expectedQuality = fields.optionalInRange("quality", version.expectedQuality, 0.0, 1.0);
    version.rolloutShare = fields.optionalInRange("rollout_share", version.rolloutShare, 0.0, 1.0);
    version.exposureCap = fields.optional("exposure_cap", version.exposureCap, "a count of requests");
    version.reportsConfidence = fields.optional("reports_confidence", version.reportsConfidence, "true or false");
    for (const auto &node : fields.list("steps")) {
        YamlFields step(node, "steps");
        const auto share = step.optionalInRange("share", 1.0, 0.0, 1.0);
        const auto cap = step.optional("cap", 0U, "a count of requests");
        version.rolloutSteps.push_back({share, cap});
        step.refuseUnknown();
    }
    return version;
}

Workspace workspaceFrom(YamlFields &fields, const WorkspaceRules &defaults)
{
    Workspace workspace;
    workspace.name = fields.required<std::string>("name", "a name");
    workspace.keyHashes = fields.optional("key_hashes", std::vector<std::string>{}, "a list of SHA-256 digests");
    for (const auto &key : fields.optional("keys", std::vector<std::string>{}, "a list of keys")) {
        workspace.keyHashes.push_back(sha256Hex(key));
    }
    workspace.versions = versionsFrom(fields);
    workspace.services = fields.optional("services", std::vector<std::string>{}, "a list of services");
    workspace.rules = rulesFrom(fields, defaults);
    return workspace;
}

Upstream upstreamFrom(YamlFields &fields)
{
    Upstream upstream;
    upstream.id = fields.required<std::string>("id", "a name");
    upstream.kind = fields.optionalName("kind", upstreamKindNames, upstream.kind);
    upstream.state = fields.optionalName("state", upstreamStateNames, upstream.state);
    upstream.address = fields.required<std::string>("address", "IP:PORT");
    upstream.failureDomain = fields.required<std::string>("failure_domain", "a name");
    upstream.versions = versionsFrom(fields);
    upstream.service = fields.optional("service", std::string(), "a name");
    upstream.limit.cold = fields.optional("cold", upstream.limit.cold, "a count of requests");
    upstream.limit.warm = fields.optional("warm", upstream.limit.warm, "a count of requests");
    upstream.limit.ramp = fields.optionalMilliseconds("ramp", upstream.limit.ramp);
    upstream.checksFencing = fields.optional("checks_fencing", upstream.checksFencing, "true or false");
    return upstream;
}

FailureDomain failureDomainFrom(YamlFields &fields)
{
    FailureDomain domain;
    domain.name = fields.required<std::string>("name", "a name");
    domain.region = fields.required<std::string>("region", "a name");
    domain.state = fields.optionalName("state", domainStateNames, domain.state);
    return domain;
}

Exception exceptionFrom(YamlFields &fields)
{
    Exception exception;
    exception.id = fields.required<std::string>("id", "a name");
    exception.workspace = fields.required<std::string>("workspace", "a workspace's name");
    exception.field = fields.required<std::string>("field", "a field of the defaults");
    exception.value = fields.required<std::string>("value", "a value of that field");
    exception.reason = fields.required<std::string>("reason", "the written reason");
    exception.until = fields.optional("until", std::string(), "YYYY-MM-DD");
    checkException(exception);
    return exception;
}

SessionKey sessionKeyFrom(YamlFields &fields)
{
    constexpr std::size_t minSecretBytes = 16;
    SessionKey key;
    key.id = fields.required<std::string>("id", "a name");
    key.secret = fields.required<std::string>("secret", "a text of at least 16 bytes");
    key.state = fields.optionalName("state", sessionKeyStateNames, key.state);
    if (key.secret.size() < minSecretBytes) {
        throw ConfigError(fmt::format(errormessage::shortSecret, key.id, minSecretBytes));
    }
    return key;
}

/// Reads each item of the list @p name; all fields of an item must be known to @p read.
template<typename Read>
void readList(YamlFields &document, const char *name, Read read)
{
    for (const auto &node : document.list(name)) {
        YamlFields fields(node, name);
        read(fields);
        fields.refuseUnknown();
    }
}

template<typename Key, typename Value>
void addOnce(std::map<Key, Value> &values,
             const Key &key,
             const std::string &name,
             const Value &value,
             const char *kind)
{
    if (!values.emplace(key, value).second) {
        throw ConfigError(fmt::format(errormessage::givenTwice, kind, name));
    }
}

Config read(const std::string &text)
{
    Config config;
    YamlFields document(YAML::Load(text), "document");
    YamlFields defaults(document.map("defaults"), "defaults");
    config.defaults = rulesFrom(defaults, WorkspaceRules{});
    defaults.refuseUnknown();
    readList(document, "versions", [&](YamlFields &fields) {
        const auto version = versionFrom(fields);
        addOnce(config.versions, version.id, version.id.text(), version, "version");
    });
    readList(document, "workspaces", [&](YamlFields &fields) {
        const auto workspace = workspaceFrom(fields, config.defaults);
        addOnce(config.workspaces, workspace.name, workspace.name, workspace, "workspace");
    });
    readList(document, "upstreams", [&](YamlFields &fields) {
        const auto upstream = upstreamFrom(fields);
        addOnce(config.upstreams, upstream.id, upstream.id, upstream, "upstream");
    });
    readList(document, "failure_domains", [&](YamlFields &fields) {
        const auto domain = failureDomainFrom(fields);
        addOnce(config.failureDomains, domain.name, domain.name, domain, "failure domain");
    });
    readList(document, "exceptions", [&](YamlFields &fields) {
        const auto exception = exceptionFrom(fields);
        addOnce(config.exceptions, exception.id, exception.id, exception, "exception");
    });
    readList(document, "session_keys", [&](YamlFields &fields) {
        const auto key = sessionKeyFrom(fields);
        addOnce(config.sessionKeys, key.id, key.id, key, "session key");
    });
    document.refuseUnknown();
    checkWhole(config);
    return config;
}

} // namespace

Config configFromYaml(const std::string &text)
{
    try {
        return read(text);
    } catch (const yaml::FieldError &error) {
        throw ConfigError(error.what());
    } catch (const YAML::Exception &error) {
        throw ConfigError(fmt::format("line {}: {}", error.mark.line + 1, error.msg));
    }
}

} // namespace ibisfork::fleet
