#pragma once

#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace ibisfork::serving {

/// The last routing decisions of a node, for operators who ask why. Thread-safe.
class DecisionLog
{
public:
    explicit DecisionLog(std::size_t capacity);

    void add(const std::string &requestId, std::string text);
    /// The decisions on @p requestId, oldest first.
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
