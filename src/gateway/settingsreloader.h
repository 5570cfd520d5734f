#pragma once

#include <functional>
#include <string>

#include "net/timer.h"
#include "settings/gatewaysettings.h"

namespace ibisfork::gateway {

/// Takes settings that change while the process runs, when it is told to or when the file has changed by itself.
class SettingsReloader
{
public:
    using Apply = std::function<void(const settings::GatewaySettings &)>;

    SettingsReloader(event_base *base, std::string path, base::Duration interval, Apply apply);

    /// Reads the file again. Settings that can't be read are refused with a log line; those in force stay.
    void reload();

private:
    void check();
    void take(const std::string &text);

    std::string m_path;
    Apply m_apply;
    /// Text that was last taken or refused.
    std::string m_text;
    net::Timer m_timer;
};

} // namespace ibisfork::gateway
