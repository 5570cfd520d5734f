#include "serving/decisionlog.h"

namespace ibisfork::serving {

DecisionLog::DecisionLog(std::size_t capacity)
    : m_capacity(capacity)
{ }

void DecisionLog::add(const std::string &requestId, std::string text)
{
    const std::lock_guard lock(m_mutex);
    m_entries.push_back({requestId, std::move(text)});
    if (m_entries.size() > m_capacity) {
        m_entries.pop_front();
    }
}

std::vector<std::string> DecisionLog::find(const std::string &requestId) const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> found;
    for (const auto &entry : m_entries) {
        if (entry.requestId == requestId) {
            found.push_back(entry.text);
        }
    }
    return found;
}

} // namespace ibisfork::serving
