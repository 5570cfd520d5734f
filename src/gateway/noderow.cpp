#include "gateway/noderow.h"

#include <nlohmann/json.hpp>

#include "gateway/eventlog.h"
#include "net/exceptions.h"

namespace ibisfork::gateway {

namespace {

constexpr const char *evidenceField = "evidence";

} // namespace

std::string encodeNodeRow(const PeerNode &node)
{
    nlohmann::json row{
        {"region", node.region}, {"failure_domain", node.failureDomain}, {"address", node.address.text()}};
    if (node.forwarding) {
        row["forwarding"] = node.forwarding->text();
    }
    if (node.exchangesEvidence) {
        row[evidenceField] = true;
    }
    return row.dump();
}

std::optional<PeerNode> decodeNodeRow(const std::string &name, const std::string &text)
{
    try {
        const auto document = nlohmann::json::parse(text);
        PeerNode node{name,
                      document.at("region").get<std::string>(),
                      document.at("failure_domain").get<std::string>(),
                      net::Address::parse(document.at("address").get<std::string>())};
        if (document.contains("forwarding")) {
            node.forwarding = net::Address::parse(document["forwarding"].get<std::string>());
        }
        node.exchangesEvidence = document.value(evidenceField, false);
        return node;
    } catch (const nlohmann::json::exception &error) {
        EventLog::state("node_row_unreadable").field("name", name).field("reason", error.what());
    } catch (const net::NetError &error) {
        EventLog::state("node_row_unreadable").field("name", name).field("reason", error.what());
    }
    return std::nullopt;
}

bool isRowOf(const PeerNode &node, const std::string &text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    return document == nlohmann::json::parse(encodeNodeRow(node));
}

} // namespace ibisfork::gateway
