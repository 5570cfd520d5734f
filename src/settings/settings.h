#pragma once

#include <chrono>
#include <string>

#include <ibisfork/base/log.h>

#include "net/address.h"
#include "yaml/yamlfields.h"

namespace ibisfork::settings {

/// Who and where this node is.
struct NodeSettings
{
    std::string name;
    std::string failureDomain;
    std::string region;
};

/// Addresses that the node listens on.
struct ListenSettings
{
    net::Address callers;
    net::Address operators;
    net::Address peers;
};

/// CURVE keys between nodes, in Z85. All empty: no encryption, for loopback demonstrations only.
struct PeerSettings
{
    std::string publicKey;
    std::string secretKey;
    std::string fleetKey;
};

struct TimingSettings
{
    /// Age from which a reading of the newest revision no longer counts.
    std::chrono::milliseconds confirmWithin{6000};
    std::chrono::milliseconds pollInterval{1000};
    std::chrono::milliseconds platformTimeout{2000};
    std::chrono::milliseconds connectTimeout{500};
    /// Longest wait between two bytes of an upstream.
    std::chrono::milliseconds upstreamSilence{10000};
    /// Wait for the head of an answer after which an engine is asked whether it still answers at all.
    std::chrono::milliseconds upstreamCheck{200};
    /// Deadline of a request whose caller gives none.
    std::chrono::milliseconds requestDeadline{60000};
    /// Longest time that a request may run at an upstream, whatever deadline its caller gives.
    std::chrono::milliseconds longestRun{60000};
    /// Longest time that a shutdown waits for running requests.
    std::chrono::milliseconds drainWithin{30000};
    /// Shortest time between two groups of bills, and of claims, that go to the table.
    std::chrono::milliseconds billWindow{50};
    /// Longest time that an answer's last byte waits for its bill to be in the table.
    std::chrono::milliseconds billHold{250};
    std::chrono::milliseconds claimWindow{25};
    /// Time from /readyz turning false until the port closes, for the platform's balancer to notice.
    std::chrono::milliseconds drainGrace{2000};
};

/// Bounds on what a node takes in.
struct LimitSettings
{
    std::size_t maxBodyBytes = 4UL * 1024 * 1024;
    std::size_t maxStreamBuffer = 64UL * 1024;
    std::size_t maxRequests = 2000;
    std::size_t maxQueued = 500;
    /// Bills not yet in the table from which no new work is taken; 0 turns bills off, for measurements only.
    std::size_t maxPendingBills = 20000;
};

/// Certificate and key towards callers, in PEM; both empty: no TLS.
struct TlsSettings
{
    std::string certificateFile;
    std::string keyFile;

    bool enabled() const { return !certificateFile.empty(); }
};

/// All settings of one daemon.
struct Settings
{
    NodeSettings node;
    ListenSettings listen;
    PeerSettings peers;
    TlsSettings tls;
    net::Address platform;
    TimingSettings timing;
    LimitSettings limits;
    base::LogLevel logLevel = base::LogLevel::Info;
};

/// Parts that all kinds of settings share. They throw yaml::FieldError.
NodeSettings readNode(yaml::YamlFields &fields);
net::Address readAddress(yaml::YamlFields &fields, const char *name);
base::LogLevel readLogLevel(yaml::YamlFields &document, base::LogLevel fallback);

/// Reads and checks the settings in @p path. Throws SettingsError.
Settings readSettings(const std::string &path);

/// The same for @p text; @p path is used in messages.
Settings parseSettings(const std::string &text, const std::string &path);

} // namespace ibisfork::settings
