#pragma once

#include <map>
#include <optional>
#include <string>

#include <ibisfork/base/metrics.h>

#include "gateway/fleetview.h"
#include "gateway/loads/loadcodec.h"
#include "gateway/tablesource.h"
#include "http/callclient.h"
#include "net/timer.h"

namespace ibisfork::gateway::loads {

/// Exchanges the newest report of each engine with other nodes, along the links by which they read the store's tables
/// from each other: members with the node that they read from, readers of the store with each other. Runs only for
/// services whose engines say how long work takes on their machines, since such figures are old within a second.
class LoadExchange
{
public:
    struct Reply
    {
        int status = 0;
        std::string body;
    };

    /// @p node: name of this node. All arguments must outlive this object.
    LoadExchange(event_base *base,
                 const std::string &node,
                 FleetView &view,
                 const TableSource &source,
                 base::MetricsRegistry &metrics);

    /// Records what an engine has said to this node.
    void recordOwn(const load::Report &report);
    /// Exchanges reports where that is due. To be called a few times a second.
    void update();
    /// Answers the exchange of another node.
    Reply handle(const std::string &body);

private:
    /// A node with which this one exchanges reports.
    struct Link
    {
        net::Address address;
        /// Version of this node's reports that the other node has, and the other's that this one has.
        std::uint64_t sentVersion = 0;
        std::uint64_t takenVersion = 0;
        bool isBusy = false;
        base::TimePoint nextAt{};
    };

    /// What was true of this node when it began an exchange.
    struct Sent
    {
        std::string name;
        net::Address address;
        std::uint64_t version = 0;
        base::TimePoint at{};
    };

    bool isNeeded() const;
    base::Duration interval() const;
    void updateLinks();
    void exchange(const std::string &name, Link &link);
    void handleAnswer(const Sent &sent, const http::CallAnswer &answer);
    /// Takes over reports of the node @p from.
    void takeAll(const LoadMessage &message, const std::string &from);
    void refuse(const std::string &from, const std::string &reason);

    std::string m_node;
    FleetView &m_view;
    const TableSource &m_source;
    base::MetricsRegistry &m_metrics;
    http::CallClient m_client;
    load::ReportBoard m_board;
    /// By node name.
    std::map<std::string, Link> m_links;
    net::Timer m_timer;
};

} // namespace ibisfork::gateway::loads
