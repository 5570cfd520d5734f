#include "fleettask/noticememory.h"

namespace ibisfork::fleettask {

bool NoticeMemory::isNew(const std::string &id)
{
    if (id.empty() || !m_known.insert(id).second) {
        return false;
    }
    m_order.push_back(id);
    if (m_order.size() > capacity) {
        m_known.erase(m_order.front());
        m_order.pop_front();
    }
    return true;
}

} // namespace ibisfork::fleettask
