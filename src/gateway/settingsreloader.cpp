#include "gateway/settingsreloader.h"

#include "gateway/eventlog.h"
#include "settings/exceptions.h"

namespace ibisfork::gateway {

SettingsReloader::SettingsReloader(event_base *base, std::string path, base::Duration interval, Apply apply)
    : m_path(std::move(path))
    , m_apply(std::move(apply))
    , m_text(settings::readSettingsText(m_path))
    , m_timer(base, [this] { check(); })
{
    m_timer.startEvery(interval);
}

void SettingsReloader::reload()
{
    try {
        applyText(settings::readSettingsText(m_path));
    } catch (const settings::SettingsError &error) {
        EventLog::state("reload_refused").field("reason", error.what());
    }
}

void SettingsReloader::check()
{
    try {
        const auto text = settings::readSettingsText(m_path);
        if (text != m_text) {
            applyText(text);
        }
    } catch (const settings::SettingsError &error) {
        // The file may be in the middle of being replaced; the next check retries.
        EventLog::failure("settings_unreadable").field("reason", error.what());
    }
}

void SettingsReloader::applyText(const std::string &text)
{
    m_text = text;
    try {
        m_apply(settings::parseGatewaySettings(text, m_path));
    } catch (const settings::SettingsError &error) {
        EventLog::state("reload_refused").field("reason", error.what());
    }
}

} // namespace ibisfork::gateway
