#include "ctl/submission.h"

#include <iostream>
#include <thread>

#include <fmt/ostream.h>

#include <ibisfork/base/clock.h>

#include "ctl/nodeclient.h"

namespace ibisfork::ctl {

using Json = nlohmann::json;

namespace {

constexpr std::chrono::milliseconds askInterval{200};

enum class ChangeState { Pending, Accepted, Refused, Unknown };

constexpr std::array<base::Name<ChangeState>, 4> changeStateNames{{
    {ChangeState::Pending, "pending"},
    {ChangeState::Accepted, "accepted"},
    {ChangeState::Refused, "refused"},
    {ChangeState::Unknown, "unknown"},
}};

ChangeState stateOf(const Json &answer)
{
    return base::valueOf(changeStateNames, answer.at("state").get<std::string>()).value_or(ChangeState::Unknown);
}

Json changeJson(const Invocation &invocation, coord::Revision heldRevision, const std::vector<coord::RowChange> &rows)
{
    Json list = Json::array();
    for (const auto &row : rows) {
        list.push_back({{"key", row.key}, {"value", row.value ? Json(*row.value) : Json()}});
    }
    return {{"id", invocation.changeId},
            {"author", invocation.author},
            {"reason", invocation.reason},
            {"base_revision", heldRevision},
            {"rows", list}};
}

/// Asks for the change's state until it is final or the wait is over.
Json waitUntilFinal(const Invocation &invocation, const NodeClient &node, Json answer)
{
    const auto until = base::monotonicNow() + invocation.wait;
    while (stateOf(answer) == ChangeState::Pending && base::monotonicNow() < until) {
        std::this_thread::sleep_for(askInterval);
        answer = node.get("/v1/changes/" + invocation.changeId);
    }
    return answer;
}

int exitCodeOf(ChangeState state)
{
    switch (state) {
    case ChangeState::Accepted:
        return exitcode::ok;
    case ChangeState::Pending:
        return exitcode::pending;
    case ChangeState::Refused:
        return exitcode::failure;
    case ChangeState::Unknown:
        return exitcode::unknown;
    }
    return exitcode::unknown;
}

void printOutcome(const Invocation &invocation, const Json &answer)
{
    if (invocation.output == OutputFormat::Json) {
        fmt::print(std::cout, "{}\n", answer.dump(2));
        return;
    }
    fmt::print(std::cout,
               "change {} {} at revision {}\n",
               invocation.changeId,
               base::nameOf(changeStateNames, stateOf(answer)),
               answer.value("revision", coord::Revision{0}));
    const auto message = answer.value("message", std::string());
    if (!message.empty()) {
        fmt::print(std::cout, "{}\n", message);
    }
    if (stateOf(answer) == ChangeState::Unknown) {
        fmt::print(std::cout, "ask again with --change-id {}: it takes effect once\n", invocation.changeId);
    }
}

} // namespace

coord::Snapshot readSnapshot(const Invocation &invocation)
{
    const auto answer = NodeClient(invocation.node).get("/v1/rows");
    return {answer.at("revision").get<coord::Revision>(), answer.at("rows").get<coord::Rows>()};
}

int submit(const Invocation &invocation, coord::Revision heldRevision, const std::vector<coord::RowChange> &rows)
{
    if (rows.empty()) {
        fmt::print(std::cout, "nothing to change\n");
        return exitcode::ok;
    }
    const NodeClient node(invocation.node);
    const auto first = node.post("/v1/changes", changeJson(invocation, heldRevision, rows));
    const auto answer = waitUntilFinal(invocation, node, first);
    printOutcome(invocation, answer);
    return exitCodeOf(stateOf(answer));
}

} // namespace ibisfork::ctl
