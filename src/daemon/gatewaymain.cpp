#include "daemon/gatewaymain.h"

#include <chrono>
#include <csignal>

#include <ibisfork/base/metrics.h>

#include "gateway/eventlog.h"
#include "gateway/gateway.h"
#include "gateway/settingsreloader.h"
#include "net/libevent.h"

namespace ibisfork::daemon {

namespace {

/// How soon a settings file that changes without a signal is noticed.
constexpr std::chrono::seconds settingsCheckInterval{2};

/// Signals that a node answers.
class Signals
{
public:
    Signals(event_base *base, gateway::Gateway &gateway, gateway::SettingsReloader &reloader)
        : m_base(base)
        , m_gateway(gateway)
        , m_reloader(reloader)
        , m_terminate(evsignal_new(base, SIGTERM, &Signals::onTerminate, this))
        , m_interrupt(evsignal_new(base, SIGINT, &Signals::onTerminate, this))
        , m_hangup(evsignal_new(base, SIGHUP, &Signals::onHangup, this))
    {
        event_add(m_terminate.get(), nullptr);
        event_add(m_interrupt.get(), nullptr);
        event_add(m_hangup.get(), nullptr);
    }

private:
    static void onTerminate(evutil_socket_t, short, void *self)
    {
        auto &signals = *static_cast<Signals *>(self);
        signals.m_gateway.stop([base = signals.m_base] { event_base_loopbreak(base); });
    }

    static void onHangup(evutil_socket_t, short, void *self) { static_cast<Signals *>(self)->m_reloader.reload(); }

    event_base *m_base;
    gateway::Gateway &m_gateway;
    gateway::SettingsReloader &m_reloader;
    net::EventPtr m_terminate;
    net::EventPtr m_interrupt;
    net::EventPtr m_hangup;
};

} // namespace

void runGateway(const settings::GatewaySettings &settings, const std::string &path)
{
    const auto base = net::makeEventBase();
    base::MetricsRegistry metrics;
    gateway::EventLog::setNode(settings.node.name);
    gateway::Gateway gateway(base.get(), settings, metrics);
    gateway::SettingsReloader reloader(
        base.get(), path, settingsCheckInterval, [&](const auto &changed) { gateway.reload(changed); });
    const Signals signals(base.get(), gateway, reloader);
    gateway.start();
    gateway::EventLog::state("start")
        .field("callers", gateway.callers().text())
        .field("readiness", gateway.readiness().text())
        .field("operators", gateway.operators().text())
        .field("store", settings.store.text())
        .field("domain", settings.node.failureDomain);
    event_base_loop(base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

} // namespace ibisfork::daemon
