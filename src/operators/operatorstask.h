#pragma once

#include <functional>
#include <memory>

#include <ibisfork/base/metrics.h>

#include "fleettask/messages.h"
#include "net/httpserver.h"
#include "net/mailbox.h"
#include "net/task.h"
#include "settings/settings.h"

namespace ibisfork::operators {

/// What the operators' interface asks of the rest of the daemon; all may be called from its thread.
struct OperatorPorts
{
    std::function<void(fleettask::FleetRequest)> fleet;
    std::function<bool()> ready;
    std::function<std::vector<std::string>(const std::string &requestId)> explain;
};

/// Serves /metrics, /healthz, /readyz and the interface that ibisforkctl uses.
class OperatorsTask
{
public:
    OperatorsTask(const settings::Settings &settings, base::MetricsRegistry &metrics, OperatorPorts ports);

    void start() { m_task.start(); }
    void stop() { m_task.stop(); }
    const net::Address &address() const { return m_server.address(); }

private:
    using Reply = std::shared_ptr<net::HttpReply>;

    void onRequest(const net::HttpServerRequest &request);
    void route(const net::HttpServerRequest &request);
    void submitChange(const net::HttpServerRequest &request);
    void refuseUnlessInForce(const Reply &reply, const std::string &id, const std::string &message);
    void findChange(const Reply &reply, const std::string &id);
    std::function<void(fleettask::ChangeStatus)> statusReply(const Reply &reply);
    void readRows(const Reply &reply);
    void listPoison(const Reply &reply);
    void liftPoison(const Reply &reply, const std::string &fingerprint);
    void readHistory(const Reply &reply, const std::string &after);
    void explain(const Reply &reply, const std::string &requestId);

    base::MetricsRegistry &m_metrics;
    OperatorPorts m_ports;
    net::Task m_task;
    net::HttpServer m_server;
    /// Work that other tasks hand back, to run on this task's thread.
    net::Mailbox<std::function<void()>> m_mailbox;
};

} // namespace ibisfork::operators
