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
#include "serving/confirmationhold.h"
#include "serving/context.h"
#include "serving/exchange.h"
#include "serving/serviceexchange.h"
#include "settings/settings.h"
#include "upstream/loadpoller.h"

namespace ibisfork::serving {

/// Takes no new work and ends when what runs is done.
struct BeginDrain
{
    std::function<void()> drained;
};

/// Reads the certificate towards callers again.
struct ReloadCertificates
{
};

using ServingMessage = std::variant<fleettask::PeerNotice,
                                    ReloadCertificates,
                                    fleettask::ConfigUpdate,
                                    fleettask::ConfirmationUpdate,
                                    BeginDrain>;

/// Owns the sockets of callers and upstreams and the requests between them.
class ServingTask
{
public:
    /// @p incarnation names this process in its member row.
    ServingTask(const settings::Settings &settings,
                base::MetricsRegistry &metrics,
                DecisionLog &decisions,
                const std::string &incarnation);

    void start() { m_task.start(); }
    void stop() { m_task.stop(); }
    /// Where changes that follow from what is served go to; called before start.
    void onChange(const ChangeSubmitter &submit);
    /// Where signs of a cold start are told for other nodes; called on the task's thread. Before start() only.
    void onNotice(std::function<void(upstream::ColdStartNotice)> handler)
    {
        m_context.limits.onNotice(std::move(handler));
    }
    /// Hands a message to the task, from any thread.
    void post(ServingMessage message) { m_mailbox.post(std::move(message)); }

    /// Whether new work is taken: confirmed, not draining, and past the first wait for slots. Any thread.
    bool ready() const;
    const net::Address &address() const { return m_server.address(); }

private:
    void handle(ServingMessage message);
    void onRequest(const net::HttpServerRequest &request);
    void take(const net::HttpServerRequest &request);
    void confirm(const fleettask::ConfirmationUpdate &update);
    void startChat(const net::HttpServerRequest &request, const fleet::Workspace &workspace);
    void startService(const net::HttpServerRequest &request, const fleet::Workspace &workspace);
    void listModels(const net::HttpServerRequest &request, const fleet::Workspace &workspace) const;
    const fleet::Workspace *authenticate(const net::HttpHeaders &headers) const;
    void refuse(const net::HttpServerRequest &request, caller::RefusalCode code, const std::string &message) const;
    void erase(const std::string &requestId);
    base::Duration deadlineFor(const net::HttpHeaders &headers) const;
    /// Reads the request's session; false if the request was refused.
    bool takeSession(const net::HttpServerRequest &request, ExchangeRequest &exchangeRequest) const;
    void endGrace();
    void reloadCertificates();
    void checkDrained();
    void checkSlots();
    void takeNotice(const fleettask::PeerNotice &notice);

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
    ConfirmationHold m_hold;
    net::HttpServer m_server;
    std::map<std::string, std::unique_ptr<Exchange>> m_exchanges;
    std::map<std::string, std::unique_ptr<ServiceExchange>> m_serviceExchanges;
    bool m_graceOver = false;
    net::Timer m_graceTimer;
    net::Timer m_drainTimer;
    net::Mailbox<ServingMessage> m_mailbox;
};

} // namespace ibisfork::serving
