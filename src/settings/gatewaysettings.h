#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "net/address.h"
#include "settings/processlimits.h"
#include "settings/settings.h"

namespace ibisfork::settings {

/// Bounds that the deployment sets on what all nodes do together.
struct FleetBounds
{
    double resendRatio = 0.2;
    double resendExtra = 10;
    std::chrono::milliseconds resendWindow{10000};
    double coldFactor = 1.0;
    double coldTolerance = 0;
    /// Requests that a new version may get before it has proved good: this share of all requests to its service since
    /// the order, and exposureTolerance more.
    double exposureShare = 0.15;
    double exposureTolerance = 30;
    /// Calls a second, at most, in which one node stores evidence that links between nodes don't carry.
    double evidenceWritesPerSecond = 2;
    /// Time between two renewals of an engine's entry in the platform's list. An entry lapses after three.
    std::chrono::milliseconds engineHeartbeat{1000};
    /// Time from the request to stop until the process is killed.
    std::chrono::milliseconds shutdownGrace{8000};
};

/// How much extra work second copies of slow requests may cause; none by default.
struct HedgingSettings
{
    /// Copies for each request that may be repeated, 0 to 1.
    double requestShare = 0;
    /// Time of engines for copies, for each time that they spend on such requests, 0 to 1.
    double timeShare = 0;
};

/// How many requests may wait at a node until an engine has room; none by default.
struct WaitingSettings
{
    /// For each service.
    std::size_t most = 0;
};

/// Settings of a daemon that takes its configuration and its list of engines from the platform's store.
struct GatewaySettings
{
    NodeSettings node;
    net::Address callers;
    net::Address readiness;
    net::Address operators;
    /// Where other nodes forward requests to that they can't serve; a free port of the operators' address by default.
    net::Address forwarding;
    net::Address store;
    /// Operators' addresses of nodes that can be asked while the store is away; some may be gone.
    std::vector<net::Address> seeds;
    FleetBounds bounds;
    ProcessLimits limits;
    HedgingSettings hedging;
    WaitingSettings waiting;
    base::LogLevel logLevel = base::LogLevel::Info;
    /// A message for each field that this build does not know.
    std::vector<std::string> unknownFields;
};

/// What becomes of settings with a field that this build does not know, such as one of a newer build.
enum class UnknownFields {
    Refuse,
    Report, ///< The field is ignored and listed in GatewaySettings::unknownFields.
};

/// The text of the file @p path. Throws SettingsError.
std::string readSettingsText(const std::string &path);

/// True if the settings in @p text are of this kind; @p path is used in messages. Throws SettingsError.
bool areGatewaySettings(const std::string &text, const std::string &path);

/// Reads and checks the settings in @p text; @p path is used in messages. Throws SettingsError.
GatewaySettings parseGatewaySettings(const std::string &text,
                                     const std::string &path,
                                     UnknownFields unknownFields = UnknownFields::Refuse);

/// The same, completed by the limits of the environment; fields that this build does not know are reported.
GatewaySettings readGatewaySettings(const std::string &text, const std::string &path);

} // namespace ibisfork::settings
