#include "gateway/context.h"

namespace ibisfork::gateway {

namespace {

constexpr double meanWeight = 0.1;
/// Assumed time to the first byte before the first answer.
constexpr double initialFirstByteSeconds = 0.3;

} // namespace

ResendBound resendBound(const settings::FleetBounds &bounds)
{
    return {bounds.resendRatio, bounds.resendExtra, bounds.resendWindow};
}

void MovingAverage::add(double value)
{
    m_value += meanWeight * (value - m_value);
}

Context::Context(event_base *eventBase,
                 const settings::GatewaySettings &gatewaySettings,
                 base::MetricsRegistry &registry)
    : base(eventBase)
    , settings(gatewaySettings)
    , metrics(registry)
    , random(std::random_device{}())
    , pool(eventBase, registry)
    , placement(random())
    , resends(resendBound(gatewaySettings.bounds))
{ }

MovingAverage &Context::firstByteTime(const std::string &route)
{
    return firstByteTimes.try_emplace(route, initialFirstByteSeconds).first->second;
}

MovingAverage &Context::latencyRatio(const std::string &route)
{
    return latencyRatios.try_emplace(route, 0).first->second;
}

} // namespace ibisfork::gateway
