#include "settings/settings.h"

#include <fstream>
#include <sstream>

#include <fmt/format.h>

#include "net/exceptions.h"
#include "settings/exceptions.h"
#include "yaml/yamlfields.h"

namespace ibisfork::settings {

using yaml::YamlFields;

namespace {

constexpr std::array<base::Name<base::LogLevel>, 4> logLevelNames{{
    {base::LogLevel::Debug, "debug"},
    {base::LogLevel::Info, "info"},
    {base::LogLevel::Warning, "warning"},
    {base::LogLevel::Error, "error"},
}};

ListenSettings listenFrom(YamlFields fields)
{
    ListenSettings listen;
    listen.callers = readAddress(fields, "callers");
    listen.operators = readAddress(fields, "operators");
    listen.peers = readAddress(fields, "peers");
    fields.refuseUnknown();
    return listen;
}

PeerSettings peersFrom(YamlFields fields)
{
    PeerSettings peers;
    peers.publicKey = fields.optional("public_key", std::string(), "a CURVE key in Z85");
    peers.secretKey = fields.optional("secret_key", std::string(), "a CURVE key in Z85");
    peers.fleetKey = fields.optional("fleet_key", std::string(), "a CURVE key in Z85");
    fields.refuseUnknown();
    return peers;
}

TlsSettings tlsFrom(YamlFields fields)
{
    TlsSettings tls;
    tls.certificateFile = fields.optional("certificate", std::string(), "a file in PEM");
    tls.keyFile = fields.optional("key", std::string(), "a file in PEM");
    fields.refuseUnknown();
    if (tls.certificateFile.empty() != tls.keyFile.empty()) {
        throw SettingsError(errormessage::halfTls);
    }
    return tls;
}

TimingSettings timingFrom(YamlFields fields)
{
    TimingSettings timing;
    timing.confirmWithin = fields.optionalMilliseconds("confirm_within", timing.confirmWithin);
    timing.pollInterval = fields.optionalMilliseconds("poll_interval", timing.pollInterval);
    timing.platformTimeout = fields.optionalMilliseconds("platform_timeout", timing.platformTimeout);
    timing.connectTimeout = fields.optionalMilliseconds("connect_timeout", timing.connectTimeout);
    timing.upstreamSilence = fields.optionalMilliseconds("upstream_silence", timing.upstreamSilence);
    timing.upstreamCheck = fields.optionalMilliseconds("upstream_check", timing.upstreamCheck);
    timing.longestRun = fields.optionalMilliseconds("longest_run", timing.longestRun);
    timing.requestDeadline = fields.optionalMilliseconds("request_deadline", timing.requestDeadline);
    timing.drainWithin = fields.optionalMilliseconds("drain_within", timing.drainWithin);
    timing.billWindow = fields.optionalMilliseconds("bill_window", timing.billWindow);
    timing.billHold = fields.optionalMilliseconds("bill_hold", timing.billHold);
    timing.claimWindow = fields.optionalMilliseconds("claim_window", timing.claimWindow);
    timing.drainGrace = fields.optionalMilliseconds("drain_grace", timing.drainGrace);
    fields.refuseUnknown();
    return timing;
}

LimitSettings limitsFrom(YamlFields fields)
{
    LimitSettings limits;
    limits.maxBodyBytes = fields.optional("max_body_bytes", limits.maxBodyBytes, "a count of bytes");
    limits.maxStreamBuffer = fields.optional("max_stream_buffer", limits.maxStreamBuffer, "a count of bytes");
    limits.maxRequests = fields.optional("max_requests", limits.maxRequests, "a count of requests");
    limits.maxQueued = fields.optional("max_queued", limits.maxQueued, "a count of requests");
    limits.maxPendingBills = fields.optional("max_pending_bills", limits.maxPendingBills, "a count of bills");
    fields.refuseUnknown();
    return limits;
}

Settings read(const std::string &text)
{
    YamlFields document(YAML::Load(text), "document");
    Settings settings;
    YamlFields node(document.map("node"), "node");
    settings.node = readNode(node);
    node.refuseUnknown();
    settings.listen = listenFrom(YamlFields(document.map("listen"), "listen"));
    settings.peers = peersFrom(YamlFields(document.map("peers"), "peers"));
    settings.tls = tlsFrom(YamlFields(document.map("tls"), "tls"));
    YamlFields platform(document.map("platform"), "platform");
    settings.platform = readAddress(platform, "address");
    platform.refuseUnknown();
    settings.timing = timingFrom(YamlFields(document.map("timing"), "timing"));
    settings.limits = limitsFrom(YamlFields(document.map("limits"), "limits"));
    settings.logLevel = readLogLevel(document, settings.logLevel);
    document.refuseUnknown();
    return settings;
}

} // namespace

NodeSettings readNode(YamlFields &fields)
{
    NodeSettings node;
    node.name = fields.required<std::string>("name", "a name");
    node.failureDomain = fields.required<std::string>("failure_domain", "a name");
    node.region = fields.required<std::string>("region", "a name");
    return node;
}

net::Address readAddress(YamlFields &fields, const char *name)
{
    return net::Address::parse(fields.required<std::string>(name, "an address of the form IP:PORT"));
}

base::LogLevel readLogLevel(YamlFields &document, base::LogLevel fallback)
{
    return document.optionalName("log_level", logLevelNames, fallback);
}

Settings parseSettings(const std::string &text, const std::string &path)
{
    try {
        return read(text);
    } catch (const YAML::Exception &error) {
        throw SettingsError(fmt::format("{}: line {}: {}", path, error.mark.line + 1, error.msg));
    } catch (const base::Error &error) {
        throw SettingsError(fmt::format(errormessage::inFile, path, error.what()));
    }
}

Settings readSettings(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        throw SettingsError(fmt::format(errormessage::unreadable, path));
    }
    std::stringstream text;
    text << file.rdbuf();
    return parseSettings(text.str(), path);
}

} // namespace ibisfork::settings
