#pragma once

#include <optional>
#include <string>
#include <variant>

#include "settings/gatewaysettings.h"
#include "settings/settings.h"

namespace ibisfork::daemon {

/// Settings of a node that takes its facts from the platform's store.
struct GatewayStart
{
    settings::GatewaySettings settings;
    std::string path;
    /// What the file at the path held.
    std::string text;
};

using StartSettings = std::variant<settings::Settings, GatewayStart>;

/// Checks the settings in @p path; refuses fields that this build does not know. Throws settings::SettingsError.
void checkSettings(const std::string &path);

/// Reads the settings in @p path. Waits for a file that can't be read or taken, as while it is written, for some
/// seconds, then throws settings::SettingsError. Nothing if the process is asked to stop meanwhile.
std::optional<StartSettings> awaitSettings(const std::string &path);

} // namespace ibisfork::daemon
