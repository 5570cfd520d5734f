#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <ibisfork/base/clock.h>
#include <ibisfork/fleet/config.h>

namespace ibisfork::upstream {

/// What runs at each upstream from this node, and how much more this node may send there.
class LimitBook
{
public:
    /// Takes the upstreams and members of a new revision; @p node is this node's name.
    void update(const fleet::Config &config, const std::string &node, base::TimePoint now);

    /// Requests that this node may still start at @p upstream.
    std::uint32_t free(const std::string &upstream, base::TimePoint now) const;
    /// This node's own requests at @p upstream.
    std::uint32_t running(const std::string &upstream) const;

    void started(const std::string &upstream);
    void ended(const std::string &upstream);

    /// Notes the incarnation that an upstream names; a new one is cold.
    void sawIncarnation(const std::string &upstream, const std::string &incarnation, base::TimePoint now);
    /// Puts @p upstream back to its cold limit.
    void sawColdStart(const std::string &upstream, base::TimePoint now);

private:
    struct Entry
    {
        fleet::ConcurrencyLimit limit;
        std::uint32_t running = 0;
        std::string incarnation;
        base::TimePoint coldSince{};
    };

    std::uint32_t allowed(const Entry &entry, base::TimePoint now) const;

    std::map<std::string, Entry> m_entries;
    std::uint32_t m_members = 1;
};

} // namespace ibisfork::upstream
