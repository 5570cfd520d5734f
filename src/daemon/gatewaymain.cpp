#include "daemon/gatewaymain.h"

#include <csignal>

#include <ibisfork/base/metrics.h>

#include "gateway/eventlog.h"
#include "gateway/gateway.h"
#include "net/libevent.h"
#include "settings/exceptions.h"

namespace ibisfork::daemon {

namespace {

/// Signals that a node answers.
class Signals
{
public:
    Signals(event_base *base, gateway::Gateway &gateway, std::string path)
        : m_base(base)
        , m_gateway(gateway)
        , m_path(std::move(path))
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

    static void onHangup(evutil_socket_t, short, void *self)
    {
        auto &signals = *static_cast<Signals *>(self);
        try {
            signals.m_gateway.reload(settings::readGatewaySettings(signals.m_path));
        } catch (const settings::SettingsError &error) {
            gateway::EventLog::state("reload_refused").field("reason", error.what());
        }
    }

    event_base *m_base;
    gateway::Gateway &m_gateway;
    std::string m_path;
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
    const Signals signals(base.get(), gateway, path);
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
