#include "daemon/startsettings.h"

#include <thread>

#include <ibisfork/base/clock.h>

#include "daemon/earlysignals.h"
#include "gateway/eventlog.h"
#include "settings/exceptions.h"

namespace ibisfork::daemon {

namespace {

/// Longer than a deployment takes to write a file; whoever made a mistake in it is still told soon.
constexpr std::chrono::seconds longestWait{5};
constexpr std::chrono::milliseconds retryInterval{50};

StartSettings readStartSettings(const std::string &path)
{
    const auto text = settings::readSettingsText(path);
    if (settings::areGatewaySettings(text, path)) {
        return GatewayStart{settings::readGatewaySettings(text, path), path, text};
    }
    return settings::parseSettings(text, path);
}

} // namespace

void checkSettings(const std::string &path)
{
    const auto text = settings::readSettingsText(path);
    if (settings::areGatewaySettings(text, path)) {
        settings::parseGatewaySettings(text, path, settings::UnknownFields::Refuse);
    } else {
        settings::parseSettings(text, path);
    }
}

std::optional<StartSettings> awaitSettings(const std::string &path)
{
    const auto until = base::monotonicNow() + longestWait;
    std::string logged;
    while (!isStopRequested()) {
        try {
            return readStartSettings(path);
        } catch (const settings::SettingsError &error) {
            if (base::monotonicNow() >= until) {
                throw;
            }
            if (logged != error.what()) {
                logged = error.what();
                gateway::EventLog::state("settings_awaited").field("reason", logged);
            }
        }
        std::this_thread::sleep_for(retryInterval);
    }
    return std::nullopt;
}

} // namespace ibisfork::daemon
