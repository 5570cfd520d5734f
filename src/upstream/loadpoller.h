#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <ibisfork/base/metrics.h>
#include <ibisfork/fleet/config.h>

#include "net/address.h"
#include "net/httpcall.h"
#include "net/timer.h"
#include "upstream/concurrencytracker.h"

namespace ibisfork::upstream {

/// Polls the load reports (GET /v1/load) of the upstreams of which this node holds slots, round-robin at a bounded
/// rate.
class LoadPoller
{
public:
    LoadPoller(event_base *base, ConcurrencyTracker &limits, base::MetricsRegistry &metrics);

    /// Applies the upstreams of a revision; ConcurrencyTracker::update() must be called with the revision first.
    void update(const fleet::Config &config);

private:
    struct Target
    {
        std::string upstream;
        net::Address address;
    };

    void pollNext();
    void poll(const Target &target);
    void onFailure(const std::string &upstream, const net::HttpFailure *failure);
    void onResponse(const std::string &upstream, base::TimePoint requestedAt, const net::HttpResponse &response);

    event_base *m_base;
    ConcurrencyTracker &m_limits;
    base::Counter &m_reports;
    base::Counter &m_failures;
    std::vector<Target> m_targets;
    std::size_t m_next = 0;
    bool m_pollSuspectedNext = false;
    std::map<std::string, std::unique_ptr<net::HttpCall>> m_calls;
    net::Timer m_timer;
};

} // namespace ibisfork::upstream
