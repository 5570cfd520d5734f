#pragma once

#include <set>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Keys of rows that were in force when the store came back from an older copy, and that the store lacks since. Their
/// owners write them again, so they stay in force for a while.
class LostRows
{
public:
    /// Time in which owners write their rows again after the store is back.
    static constexpr std::chrono::milliseconds rewriteTime{10000};

    /// Notes that the store came back at @p now without the rows @p keys.
    void begin(std::set<std::string> keys, base::TimePoint now);
    /// Notes that the store holds the row again, or that its owner has removed it.
    void settle(const std::string &key) { m_keys.erase(key); }
    /// True if the store has lost the row and nobody has written it again yet.
    bool contains(const std::string &key) const { return m_keys.contains(key); }
    /// Returns the keys that were not written again in time, once.
    std::vector<std::string> takeExpired(base::TimePoint now);
    /// True while owners may still be writing their rows again.
    bool isRecovering(base::TimePoint now) const { return now < m_until; }

private:
    std::set<std::string> m_keys;
    base::TimePoint m_until{};
};

} // namespace ibisfork::gateway
