#include "ledger/bill.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "ledger/exceptions.h"

namespace ibisfork::ledger {

using Json = nlohmann::json;

namespace {

Json stepJson(const BillStep &step)
{
    return {{"version", step.version},
            {"upstream", step.upstream},
            {"prompt_tokens", step.promptTokens},
            {"completion_tokens", step.completionTokens},
            {"cost", step.cost}};
}

BillStep stepFrom(const Json &json)
{
    return {json.at("version").get<std::string>(),
            json.at("upstream").get<std::string>(),
            json.at("prompt_tokens").get<std::uint64_t>(),
            json.at("completion_tokens").get<std::uint64_t>(),
            json.at("cost").get<double>()};
}

} // namespace

std::string billText(const Bill &bill)
{
    Json steps = Json::array();
    for (const auto &step : bill.steps) {
        steps.push_back(stepJson(step));
    }
    return Json{{"request", bill.requestId},
                {"workspace", bill.workspace},
                {"node", bill.node},
                {"outcome", base::nameOf(billOutcomeNames, bill.outcome)},
                {"steps", steps}}
        .dump();
}

Bill billFrom(const std::string &text)
{
    try {
        const Json json = Json::parse(text);
        Bill bill;
        bill.requestId = json.at("request").get<std::string>();
        bill.workspace = json.at("workspace").get<std::string>();
        bill.node = json.at("node").get<std::string>();
        const auto outcome = base::valueOf(billOutcomeNames, json.at("outcome").get<std::string>());
        if (!outcome) {
            throw LedgerError(fmt::format(errormessage::badBill, "its outcome is not known"));
        }
        bill.outcome = *outcome;
        for (const auto &step : json.at("steps")) {
            bill.steps.push_back(stepFrom(step));
        }
        return bill;
    } catch (const Json::exception &error) {
        throw LedgerError(fmt::format(errormessage::badBill, error.what()));
    }
}

} // namespace ibisfork::ledger
