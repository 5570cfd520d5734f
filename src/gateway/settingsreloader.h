#pragma once

#include <functional>
#include <string>

#include "net/timer.h"
#include "settings/gatewaysettings.h"

namespace ibisfork::gateway {

/// Logs the fields of @p settings that this build does not know.
void logUnknownFields(const settings::GatewaySettings &settings);

/// Reloads the settings file while the process runs: on request, and when a periodic check finds it changed.
class SettingsReloader
{
public:
    using Apply = std::function<void(const settings::GatewaySettings &)>;

    /// @p text: what the file held when the settings in force were read.
    SettingsReloader(event_base *base, std::string path, std::string text, base::Duration interval, Apply apply);

    /// Reads the file and applies it. Invalid settings are logged and ignored; the current ones stay in force.
    void reload();
    /// The same, if the file has changed.
    void check();

private:
    void applyText(const std::string &text);

    std::string m_path;
    Apply m_apply;
    /// File contents that were last applied or rejected.
    std::string m_text;
    net::Timer m_timer;
};

} // namespace ibisfork::gateway
