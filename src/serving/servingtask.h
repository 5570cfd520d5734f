#pragma once

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <variant>

#include <ibisfork/base/metrics.h>

#include "fleettask/messages.h"
#include "ledger/billdesk.h"
#include "net/httpserver.h"
#include "net/mailbox.h"
#include "net/task.h"
#include "net/timer.h"
#include "serving/catchupqueue.h"
#include "serving/context.h"
#include "serving/exchange.h"
#include "serving/serviceexchange.h"
#include "settings/settings.h"
#include "upstream/loadpoller.h"

namespace ibisfork::serving {

/// Tells the serving task to refuse new requests and finish those in progress.
struct BeginDrain
{
    /// Called on the task's thread once all requests have ended and all responses are sent.
    std::function<void()> drained;
};

/// Tells the serving task to reload its TLS certificate and key.
struct ReloadCertificates
{
};

/// A message to the serving task.
using ServingMessage = std::variant<fleettask::PeerNotice,
                                    ReloadCertificates,
                                    fleettask::ConfigUpdate,
                                    fleettask::ConfirmationUpdate,
                                    BeginDrain>;

/// Serves callers on a thread of its own: owns the connections to callers and upstreams and all requests in progress.
class ServingTask
{
public:
    /// @p incarnation identifies this process in the node's member row.
    ServingTask(const settings::Settings &settings,
                base::MetricsRegistry &metrics,
                DecisionLog &decisions,
                const std::string &incarnation);

    void start() { m_task.start(); }
    void stop() { m_task.stop(); }
    /// Sets the receiver of configuration changes made by this task: roll-out steps and poison requests. Must be called
    /// before start().
    void onChange(const ChangeSubmitter &submit);
    /// Sets the handler for observed cold starts, which are announced to other nodes. Must be called before start();
    /// the handler is called on the task's thread.
    void onNotice(std::function<void(upstream::ColdStartNotice)> handler)
    {
        m_context.limits.onNotice(std::move(handler));
    }
    /// Sends a message to the task. Thread-safe.
    void post(ServingMessage message) { m_mailbox.post(std::move(message)); }

    /// Whether new requests are accepted: the configuration is confirmed, the node is not draining, and its slots are
    /// past their initial wait. Thread-safe.
    bool ready() const;
    /// The address on which callers are accepted.
    const net::Address &address() const { return m_server.address(); }

private:
    void handle(ServingMessage message);
    void onRequest(const net::HttpServerRequest &request);
    void routeRequest(const net::HttpServerRequest &request);
    void onConfirmation(const fleettask::ConfirmationUpdate &update);
    void startChat(const net::HttpServerRequest &request, const fleet::Workspace &workspace);
    void startService(const net::HttpServerRequest &request, const fleet::Workspace &workspace);
    void listModels(const net::HttpServerRequest &request, const fleet::Workspace &workspace) const;
    const fleet::Workspace *authenticate(const net::HttpHeaders &headers) const;
    void refuse(const net::HttpServerRequest &request, caller::RefusalCode code, const std::string &message) const;
    void removeExchange(const std::string &requestId);
    base::Duration deadlineFor(const net::HttpHeaders &headers) const;
    /// Reads the session from X-Session, if present; returns false if the request was refused.
    bool readSessionHeader(const net::HttpServerRequest &request, ExchangeRequest &exchangeRequest) const;
    void onDrainGraceElapsed();
    void reloadCertificates();
    void checkDrained();
    void checkSlots();
    void onPeerNotice(const fleettask::PeerNotice &notice);

    const settings::Settings &m_settings;
    net::Task m_task;
    Context m_context;
    platform::TableClient m_table;
    ledger::BillDesk m_bills;
    ledger::ClaimDesk m_claims;
    std::atomic<bool> m_draining{false};
    std::atomic<base::TimePoint::rep> m_confirmedUntil{0};
    std::function<void()> m_drained;
    std::atomic<bool> m_slotsReady{false};
    net::Timer m_slotsTimer;
    upstream::LoadPoller m_loadPoller;
    std::optional<net::TlsContext> m_tls;
    CatchUpQueue m_catchUpQueue;
    net::HttpServer m_server;
    std::map<std::string, std::unique_ptr<Exchange>> m_exchanges;
    std::map<std::string, std::unique_ptr<ServiceExchange>> m_serviceExchanges;
    bool m_drainGraceElapsed = false;
    net::Timer m_drainGraceTimer;
    net::Timer m_drainTimer;
    net::Mailbox<ServingMessage> m_mailbox;
};

} // namespace ibisfork::serving
