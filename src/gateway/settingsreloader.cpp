#include "gateway/settingsreloader.h"

#include "gateway/eventlog.h"
#include "settings/exceptions.h"

namespace ibisfork::gateway {

void logUnknownFields(const settings::GatewaySettings &settings)
{
    for (const auto &field : settings.unknownFields) {
        EventLog::state("settings_field_ignored").field("reason", field);
    }
}

SettingsReloader::SettingsReloader(event_base *base,
                                   std::string path,
                                   std::string text,
                                   base::Duration interval,
                                   Apply apply)
    : m_path(std::move(path))
    , m_apply(std::move(apply))
    , m_text(std::move(text))
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
        const auto settings = settings::readGatewaySettings(text, m_path);
        logUnknownFields(settings);
        m_apply(settings);
    } catch (const settings::SettingsError &error) {
        EventLog::state("reload_refused").field("reason", error.what());
    }
}

} // namespace ibisfork::gateway
