#pragma once

#include <deque>
#include <set>
#include <string>

namespace ibisfork::fleettask {

/// The ids of the last notices, so that each is taken once however it comes.
class NoticeMemory
{
public:
    /// Ids that are remembered at most.
    static constexpr std::size_t capacity = 4096;

    /// Remembers @p id; false if it was known already or is empty.
    bool isNew(const std::string &id);

private:
    std::set<std::string> m_known;
    std::deque<std::string> m_order;
};

} // namespace ibisfork::fleettask
