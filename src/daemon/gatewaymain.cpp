#include "daemon/gatewaymain.h"

#include <chrono>
#include <csignal>

#include <ibisfork/base/metrics.h>

#include "daemon/earlysignals.h"
#include "gateway/eventlog.h"
#include "gateway/gateway.h"
#include "gateway/settingsreloader.h"
#include "net/guard.h"
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
        , m_quit(evsignal_new(base, SIGQUIT, &Signals::onTerminate, this))
        , m_hangup(evsignal_new(base, SIGHUP, &Signals::onHangup, this))
    {
        event_add(m_terminate.get(), nullptr);
        event_add(m_interrupt.get(), nullptr);
        event_add(m_quit.get(), nullptr);
        event_add(m_hangup.get(), nullptr);
    }

    /// Stops the node as a signal does.
    void terminate()
    {
        m_gateway.stop([base = m_base] { event_base_loopbreak(base); });
    }

private:
    static void onTerminate(evutil_socket_t, short, void *self)
    {
        net::runGuarded("terminate", [self] { static_cast<Signals *>(self)->terminate(); });
    }

    static void onHangup(evutil_socket_t, short, void *self)
    {
        net::runGuarded("hangup", [self] { static_cast<Signals *>(self)->m_reloader.reload(); });
    }

    event_base *m_base;
    gateway::Gateway &m_gateway;
    gateway::SettingsReloader &m_reloader;
    net::EventPtr m_terminate;
    net::EventPtr m_interrupt;
    net::EventPtr m_quit;
    net::EventPtr m_hangup;
};

} // namespace

void runGateway(const GatewayStart &start)
{
    const auto &settings = start.settings;
    const auto base = net::makeEventBase();
    base::MetricsRegistry metrics;
    gateway::EventLog::setNode(settings.node.name);
    gateway::logUnknownFields(settings);
    gateway::Gateway gateway(base.get(), settings, metrics);
    gateway::SettingsReloader reloader(
        base.get(), start.path, start.text, settingsCheckInterval, [&](const auto &changed) {
            gateway.reload(changed);
        });
    Signals signals(base.get(), gateway, reloader);
    gateway.start();
    gateway::EventLog::state("start")
        .field("callers", gateway.callers().text())
        .field("readiness", gateway.readiness().text())
        .field("operators", gateway.operators().text())
        .field("forwarding", gateway.forwarding().text())
        .field("store", settings.store.text())
        .field("domain", settings.node.failureDomain);
    // What was asked for before the signals were handled.
    reloader.check();
    if (isStopRequested()) {
        signals.terminate();
    }
    event_base_loop(base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

} // namespace ibisfork::daemon
