#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace ibisfork::serving {

/// The most recent routing decisions of a node, kept in memory for the operators' "explain" query. Thread-safe.
class DecisionLog
{
public:
    /// Keeps the last @p capacity decisions.
    explicit DecisionLog(std::size_t capacity);

    /// Adds a decision on @p requestId; removes the oldest entry when the log is full.
    void add(const std::string &requestId, std::string text);
    /// The decisions logged for @p requestId, oldest first.
    std::vector<std::string> find(const std::string &requestId) const;

private:
    struct Entry
    {
        std::string requestId;
        std::string text;
    };

    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Entry> m_entries;
};

} // namespace ibisfork::serving
