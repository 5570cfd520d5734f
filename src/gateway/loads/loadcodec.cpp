#include "gateway/loads/loadcodec.h"

#include <algorithm>
#include <cmath>

#include <fmt/format.h>

#include "gateway/loads/loads.pb.h"
#include "load/pace.h"

namespace ibisfork::gateway::loads {

namespace {

using load::mostRequests;

constexpr double percent = 100.0;

wire::EngineReport encode(const load::Report &report, base::TimePoint now)
{
    wire::EngineReport out;
    out.set_engine(report.engine);
    out.set_start_ms(report.startTimeMs);
    // One engine that says what can't be must not make the whole message unreadable.
    out.set_running(std::min(report.running, mostRequests));
    out.set_waiting(std::min(report.waiting, mostRequests));
    out.set_slots(std::min(report.slots, mostRequests));
    const double slowdown = std::clamp(report.slowdown.value_or(0), load::Pace::least, load::Pace::most);
    out.set_slowdown(report.slowdown ? static_cast<std::uint32_t>(std::lround(slowdown * percent)) : 0);
    out.set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, base::toMilliseconds(now - report.saidAt))));
    return out;
}

load::Report decode(const wire::EngineReport &in, base::TimePoint receivedAt)
{
    const double slowdown = in.slowdown() / percent;
    const bool isPossible = in.running() <= mostRequests && in.waiting() <= mostRequests && in.slots() <= mostRequests
        && (in.slowdown() == 0 || (slowdown >= load::Pace::least && slowdown <= load::Pace::most));
    if (in.engine().empty() || !isPossible) {
        throw LoadError(fmt::format("impossible report of engine '{}': {} running, {} waiting, {} slots, {} percent",
                                    in.engine(),
                                    in.running(),
                                    in.waiting(),
                                    in.slots(),
                                    in.slowdown()));
    }
    load::Report report{in.engine(), in.start_ms(), in.running(), in.waiting(), in.slots()};
    if (in.slowdown() != 0) {
        report.slowdown = slowdown;
    }
    report.saidAt = receivedAt - std::chrono::milliseconds(in.age_ms());
    return report;
}

} // namespace

std::string encodeLoads(const LoadMessage &message, base::TimePoint now)
{
    wire::LoadExchange out;
    out.set_node(message.node);
    out.set_version(message.version);
    out.set_known_version(message.knownVersion);
    for (const auto &report : message.reports) {
        *out.add_reports() = encode(report, now);
    }
    return out.SerializeAsString();
}

LoadMessage decodeLoads(const std::string &bytes, base::TimePoint receivedAt)
{
    wire::LoadExchange in;
    if (!in.ParseFromString(bytes)) {
        throw LoadError("the message is damaged");
    }
    if (static_cast<std::size_t>(in.reports_size()) > mostReports) {
        throw LoadError(fmt::format("{} reports in one message", in.reports_size()));
    }
    LoadMessage message{in.node(), {}, in.version(), in.known_version()};
    for (const auto &report : in.reports()) {
        message.reports.push_back(decode(report, receivedAt));
    }
    return message;
}

} // namespace ibisfork::gateway::loads
