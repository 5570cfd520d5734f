#include "platform/vmlist.h"

#include <nlohmann/json.hpp>

namespace ibisfork::platform {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;

std::optional<std::vector<Vm>> vmsFrom(const std::string &body)
{
    try {
        const Json answer = Json::parse(body);
        std::vector<Vm> vms;
        for (const auto &row : answer.at("vms")) {
            const auto state = base::valueOf(vmStateNames, row.at("state").get<std::string>());
            vms.push_back({row.at("node").get<std::string>(),
                           row.at("incarnation").get<std::string>(),
                           state.value_or(VmState::Live)});
        }
        return vms;
    } catch (const Json::exception &) {
        return std::nullopt;
    }
}

} // namespace

VmList::VmList(event_base *base, net::Address address, base::Duration timeout)
    : m_base(base)
    , m_address(std::move(address))
    , m_timeout(timeout)
{ }

void VmList::read(std::function<void(const std::optional<std::vector<Vm>> &)> done)
{
    if (m_call) {
        return;
    }
    net::HttpRequest request;
    request.path = "/v1/vms";
    m_call = net::fetch(
        m_base, m_address, std::move(request), m_timeout, [this, done = std::move(done)](const auto &answer) {
            const auto finished = std::move(m_call);
            const auto handler = done;
            const auto *response = std::get_if<net::HttpResponse>(&answer);
            handler(response != nullptr && response->head.status == statusOk ? vmsFrom(response->body) : std::nullopt);
        });
}

} // namespace ibisfork::platform
