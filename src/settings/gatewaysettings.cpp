#include "settings/gatewaysettings.h"

#include <fstream>
#include <functional>
#include <sstream>

#include <fmt/format.h>

#include "settings/exceptions.h"
#include "settings/units.h"
#include "yaml/yamlfields.h"

namespace ibisfork::settings {

namespace {

using yaml::YamlFields;

constexpr const char *storeField = "store";
constexpr double mostRatio = 100;
constexpr double mostCount = 1e9;
constexpr double leastWritesPerSecond = 0.1;
constexpr double mostWritesPerSecond = 100;

/// The duration in field @p name. A unit alone, as a template leaves it where there is no value, counts as not given.
std::chrono::milliseconds durationFrom(YamlFields &fields, const std::string &name, std::chrono::milliseconds fallback)
{
    const auto text = fields.optional<std::string>(name, {}, "a duration");
    const bool isUnitAlone = text == "s" || text == "ms";
    return isUnitAlone ? fallback : fields.optionalMilliseconds(name, fallback);
}

FleetBounds boundsFrom(YamlFields &fields)
{
    FleetBounds bounds;
    bounds.resendRatio = fields.optionalInRange("resend_ratio", bounds.resendRatio, 0, mostRatio);
    bounds.resendExtra = fields.optionalInRange("resend_extra", bounds.resendExtra, 0, mostCount);
    bounds.resendWindow = durationFrom(fields, "resend_window", bounds.resendWindow);
    bounds.coldFactor = fields.optionalInRange("cold_factor", bounds.coldFactor, 0, mostRatio);
    bounds.coldTolerance = fields.optionalInRange("cold_tolerance", bounds.coldTolerance, 0, mostCount);
    bounds.exposureShare = fields.optionalInRange("exposure_share", bounds.exposureShare, 0, 1);
    bounds.exposureTolerance = fields.optionalInRange("exposure_tolerance", bounds.exposureTolerance, 0, mostCount);
    bounds.evidenceWritesPerSecond = fields.optionalInRange(
        "evidence_writes_per_second", bounds.evidenceWritesPerSecond, leastWritesPerSecond, mostWritesPerSecond);
    bounds.engineHeartbeat = durationFrom(fields, "engine_heartbeat", bounds.engineHeartbeat);
    bounds.shutdownGrace = durationFrom(fields, "shutdown_grace", bounds.shutdownGrace);
    return bounds;
}

/// The limit in field @p name, in units of @p unit; nothing if it is not given.
std::optional<std::size_t> limitFrom(YamlFields &fields, const std::string &name, std::size_t unit)
{
    const auto value = fields.optionalInRange(name, 0, 0, mostCount);
    return value > 0 ? std::optional(static_cast<std::size_t>(value) * unit) : std::nullopt;
}

ProcessLimits limitsFrom(YamlFields &fields)
{
    ProcessLimits limits;
    limits.memory = limitFrom(fields, "memory_mb", bytesPerMegabyte);
    limits.descriptors = limitFrom(fields, "descriptors", 1);
    return limits;
}

HedgingSettings hedgingFrom(YamlFields &fields)
{
    HedgingSettings hedging;
    hedging.requestShare = fields.optionalInRange("request_share", hedging.requestShare, 0, 1);
    hedging.timeShare = fields.optionalInRange("time_share", hedging.timeShare, 0, 1);
    return hedging;
}

WaitingSettings waitingFrom(YamlFields &fields)
{
    WaitingSettings waiting;
    waiting.most = limitFrom(fields, "most", 1).value_or(waiting.most);
    return waiting;
}

/// The address in field "forwarding". Where it or its IP is empty it is that of @p operators, where its port is, a free
/// one.
net::Address forwardingFrom(YamlFields &listen, const net::Address &operators)
{
    const auto text = listen.optional<std::string>("forwarding", ":", "an address of the form IP:PORT");
    const auto ip = text.starts_with(':') ? operators.ip : std::string();
    return net::Address::parse(ip + text + (text.ends_with(':') ? "0" : ""));
}

std::vector<net::Address> seedsFrom(YamlFields &document)
{
    std::vector<net::Address> seeds;
    for (const auto &seed : document.list("seeds")) {
        if (!seed.IsNull()) {
            seeds.push_back(net::Address::parse(seed.as<std::string>()));
        }
    }
    return seeds;
}

/// Reads a document, map by map.
class Reader
{
public:
    Reader(const std::string &text, UnknownFields unknownFields)
        : m_document(YAML::Load(text), "document")
        , m_policy(unknownFields)
    { }

    GatewaySettings read()
    {
        readMap("node", [this](YamlFields &fields) { m_settings.node = readNode(fields); });
        readMap("listen", [this](YamlFields &fields) { readListen(fields); });
        readMap(storeField, [this](YamlFields &fields) { m_settings.store = readAddress(fields, "address"); });
        m_settings.seeds = seedsFrom(m_document);
        readMap("bounds", [this](YamlFields &fields) { m_settings.bounds = boundsFrom(fields); });
        readMap("limits", [this](YamlFields &fields) { m_settings.limits = limitsFrom(fields); });
        readMap("hedging", [this](YamlFields &fields) { m_settings.hedging = hedgingFrom(fields); });
        readMap("waiting", [this](YamlFields &fields) { m_settings.waiting = waitingFrom(fields); });
        m_settings.logLevel = readLogLevel(m_document, m_settings.logLevel);
        checkUnknown(m_document);
        return m_settings;
    }

private:
    void readMap(const char *name, const std::function<void(YamlFields &)> &readFields)
    {
        YamlFields fields(m_document.map(name), name);
        readFields(fields);
        checkUnknown(fields);
    }

    void readListen(YamlFields &fields)
    {
        m_settings.callers = readAddress(fields, "callers");
        m_settings.readiness = readAddress(fields, "readiness");
        m_settings.operators = readAddress(fields, "operators");
        m_settings.forwarding = forwardingFrom(fields, m_settings.operators);
    }

    void checkUnknown(const YamlFields &fields)
    {
        if (m_policy == UnknownFields::Refuse) {
            fields.refuseUnknown();
        }
        const auto unknown = fields.unknownFields();
        m_settings.unknownFields.insert(m_settings.unknownFields.end(), unknown.begin(), unknown.end());
    }

    YamlFields m_document;
    UnknownFields m_policy;
    GatewaySettings m_settings;
};

} // namespace

std::string readSettingsText(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        throw SettingsError(fmt::format(errormessage::unreadable, path));
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

bool areGatewaySettings(const std::string &text, const std::string &path)
{
    try {
        const auto document = YAML::Load(text);
        return document.IsMap() && document[storeField].IsDefined();
    } catch (const YAML::Exception &error) {
        throw SettingsError(fmt::format("{}: line {}: {}", path, error.mark.line + 1, error.msg));
    }
}

GatewaySettings parseGatewaySettings(const std::string &text, const std::string &path, UnknownFields unknownFields)
{
    try {
        return Reader(text, unknownFields).read();
    } catch (const YAML::Exception &error) {
        throw SettingsError(fmt::format("{}: line {}: {}", path, error.mark.line + 1, error.msg));
    } catch (const base::Error &error) {
        throw SettingsError(fmt::format(errormessage::inFile, path, error.what()));
    }
}

GatewaySettings readGatewaySettings(const std::string &text, const std::string &path)
{
    auto settings = parseGatewaySettings(text, path, UnknownFields::Report);
    settings.limits = completedBy(settings.limits, processLimitsFromEnvironment());
    return settings;
}

} // namespace ibisfork::settings
