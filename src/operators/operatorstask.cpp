#include "operators/operatorstask.h"

#include <nlohmann/json.hpp>

#include <ibisfork/base/log.h>
#include <ibisfork/base/names.h>
#include <ibisfork/fleet/check.h>
#include <ibisfork/fleet/exceptions.h>
#include <ibisfork/fleet/rows.h>

namespace ibisfork::operators {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusUnavailable = 503;

void sendJson(net::HttpReply &reply, int status, const Json &json)
{
    net::HttpHeaders headers;
    headers.add("Content-Type", "application/json");
    reply.send(status, headers, json.dump());
}

void sendText(net::HttpReply &reply, int status, const std::string &text)
{
    net::HttpHeaders headers;
    headers.add("Content-Type", "text/plain; version=0.0.4");
    reply.send(status, headers, text);
}

Json rowChangesJson(const std::vector<coord::RowChange> &rows)
{
    Json list = Json::array();
    for (const auto &row : rows) {
        list.push_back({{"key", row.key}, {"value", row.value ? Json(*row.value) : Json()}});
    }
    return list;
}

Json changeJson(const coord::Change &change)
{
    return {{"revision", change.revision},
            {"id", change.id},
            {"author", change.author},
            {"reason", change.reason},
            {"rows", rowChangesJson(change.rows)}};
}

Json statusJson(const fleettask::ChangeStatus &status)
{
    return {{"id", status.id},
            {"state", base::nameOf(fleettask::changeProgressNames, status.progress)},
            {"revision", status.revision},
            {"message", status.message}};
}

platform::ChangeRequest changeFrom(const std::string &body)
{
    const Json json = Json::parse(body);
    platform::ChangeRequest request;
    auto &change = request.change;
    change.id = json.at("id").get<std::string>();
    change.author = json.value("author", std::string());
    change.reason = json.value("reason", std::string());
    for (const auto &row : json.at("rows")) {
        const auto &value = row.at("value");
        change.rows.push_back({row.at("key").get<std::string>(),
                               value.is_null() ? std::nullopt : std::optional<std::string>(value.get<std::string>())});
    }
    if (json.contains("base_revision")) {
        request.baseRevision = json.at("base_revision").get<coord::Revision>();
    }
    return request;
}

} // namespace

OperatorsTask::OperatorsTask(const settings::Settings &settings, base::MetricsRegistry &metrics, OperatorPorts ports)
    : m_metrics(metrics)
    , m_ports(std::move(ports))
    , m_task("operators")
    , m_server(m_task.base(),
               settings.listen.operators,
               net::HttpServerLimits{},
               [this](const net::HttpServerRequest &request) { onRequest(request); })
    , m_mailbox(m_task.base(), [](const std::function<void()> &work) { work(); })
{ }

void OperatorsTask::onRequest(const net::HttpServerRequest &request)
{
    try {
        route(request);
    } catch (const Json::exception &error) {
        sendJson(*request.reply, statusBadRequest, {{"error", error.what()}});
    }
}

void OperatorsTask::route(const net::HttpServerRequest &request)
{
    const auto &path = request.request.path;
    const std::string explainPath = "/v1/explain/";
    const std::string poisonPath = "/v1/poison/";
    const std::string changePath = "/v1/changes/";
    const std::string historyPath = "/v1/changes?after=";
    if (path == "/metrics") {
        sendText(*request.reply, statusOk, m_metrics.render());
    } else if (path == "/healthz") {
        sendText(*request.reply, statusOk, "ok\n");
    } else if (path == "/readyz") {
        const bool ready = m_ports.ready();
        sendText(*request.reply, ready ? statusOk : statusUnavailable, ready ? "ready\n" : "not ready\n");
    } else if (path == "/v1/changes" && request.request.method == net::HttpMethod::Post) {
        submitChange(request);
    } else if (path.starts_with(changePath)) {
        findChange(request.reply, path.substr(changePath.size()));
    } else if (path.starts_with(historyPath)) {
        readHistory(request.reply, path.substr(historyPath.size()));
    } else if (path == "/v1/rows") {
        readRows(request.reply);
    } else if (path == "/v1/poison") {
        listPoison(request.reply);
    } else if (path.starts_with(poisonPath) && request.request.method == net::HttpMethod::Delete) {
        liftPoison(request.reply, path.substr(poisonPath.size()));
    } else if (path.starts_with(explainPath)) {
        explain(request.reply, path.substr(explainPath.size()));
    } else {
        sendJson(*request.reply, statusNotFound, {{"error", "there is nothing at this path"}});
    }
}

void OperatorsTask::submitChange(const net::HttpServerRequest &request)
{
    const auto change = changeFrom(request.request.body);
    const auto reply = request.reply;
    m_ports.fleet(fleettask::ReadRows{[this, change, reply](const coord::Snapshot &held) {
        try {
            fleet::checkChange(held.rows, change.change.rows);
            m_ports.fleet(fleettask::SubmitChange{change, statusReply(reply)});
        } catch (const fleet::ConfigError &error) {
            refuseUnlessInForce(reply, change.change.id, error.what());
        }
    }});
}

void OperatorsTask::refuseUnlessInForce(const Reply &reply, const std::string &id, const std::string &message)
{
    // The same change may have taken effect earlier, when its rows were good.
    m_ports.fleet(fleettask::FindChange{id, [this, reply, message](const fleettask::ChangeStatus &status) {
                                            const bool inForce = status.revision > 0;
                                            m_mailbox.post([reply, message, status, inForce] {
                                                sendJson(*reply,
                                                         inForce ? statusOk : statusBadRequest,
                                                         inForce ? statusJson(status)
                                                                 : Json{{"state", "refused"}, {"error", message}});
                                            });
                                        }});
}

void OperatorsTask::findChange(const Reply &reply, const std::string &id)
{
    // Throws if the id is no text, which neither the table nor an answer can name.
    static_cast<void>(Json(id).dump());
    m_ports.fleet(fleettask::FindChange{id, statusReply(reply)});
}

std::function<void(fleettask::ChangeStatus)> OperatorsTask::statusReply(const Reply &reply)
{
    return [this, reply](const fleettask::ChangeStatus &status) {
        m_mailbox.post([reply, status] { sendJson(*reply, statusOk, statusJson(status)); });
    };
}

void OperatorsTask::readRows(const Reply &reply)
{
    m_ports.fleet(fleettask::ReadRows{[this, reply](const coord::Snapshot &snapshot) {
        m_mailbox.post([reply, snapshot] {
            sendJson(*reply, statusOk, {{"revision", snapshot.revision}, {"rows", snapshot.rows}});
        });
    }});
}

void OperatorsTask::listPoison(const Reply &reply)
{
    m_ports.fleet(fleettask::ReadRows{[this, reply](const coord::Snapshot &snapshot) {
        const std::string prefix = fleet::rowprefix::poison;
        Json list = Json::array();
        for (const auto &[key, value] : snapshot.rows) {
            if (key.starts_with(prefix)) {
                list.push_back({{"id", key.substr(prefix.size())}, {"detail", Json::parse(value, nullptr, false)}});
            }
        }
        m_mailbox.post([reply, list] { sendJson(*reply, statusOk, {{"poison", list}}); });
    }});
}

void OperatorsTask::liftPoison(const Reply &reply, const std::string &fingerprint)
{
    m_ports.fleet(fleettask::ReadRows{[this, reply, fingerprint](const coord::Snapshot &held) {
        platform::ChangeRequest request;
        request.change.id = "lift-poison-" + fingerprint + "-" + std::to_string(held.revision);
        request.change.author = "operator";
        request.change.reason = "lifted by an operator";
        request.change.rows.push_back({fleet::rowprefix::poison + fingerprint, std::nullopt});
        m_ports.fleet(fleettask::SubmitChange{request, statusReply(reply)});
    }});
}

void OperatorsTask::readHistory(const Reply &reply, const std::string &after)
{
    coord::Revision revision = 0;
    try {
        revision = std::stoull(after);
    } catch (const std::logic_error &) {
        sendJson(*reply, statusBadRequest, {{"error", "after must be a revision"}});
        return;
    }
    const auto answer = [reply](const std::optional<std::vector<coord::Change>> &changes) {
        if (!changes) {
            sendJson(*reply, statusUnavailable, {{"error", "the table does not answer"}});
            return;
        }
        Json list = Json::array();
        for (const auto &change : *changes) {
            list.push_back(changeJson(change));
        }
        sendJson(*reply, statusOk, {{"changes", list}});
    };
    m_ports.fleet(fleettask::ReadHistory{revision, [this, answer](std::optional<std::vector<coord::Change>> changes) {
                                             m_mailbox.post(
                                                 [answer, changes = std::move(changes)] { answer(changes); });
                                         }});
}

void OperatorsTask::explain(const Reply &reply, const std::string &requestId)
{
    const auto decisions = m_ports.explain(requestId);
    if (decisions.empty()) {
        sendJson(
            *reply, statusNotFound, {{"error", "no decision on this request is held here; ask the node that took it"}});
        return;
    }
    sendJson(*reply, statusOk, {{"request", requestId}, {"decisions", decisions}});
}

} // namespace ibisfork::operators
