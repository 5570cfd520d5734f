#include <ibisfork/coord/confirmation.h>

namespace ibisfork::coord {

Confirmation::Confirmation(base::Duration confirmWithin)
    : m_confirmWithin(confirmWithin)
{ }

void Confirmation::recordNewest(Revision newest, base::TimePoint askedAt)
{
    if (newest < m_newest) {
        return;
    }
    if (newest > m_newest) {
        m_newest = newest;
        m_askedAt = askedAt;
        return;
    }
    // Answers may arrive out of order; the latest query counts.
    m_askedAt = std::max(m_askedAt, askedAt);
}

bool Confirmation::confirmed(Revision held, base::TimePoint now) const
{
    const auto until = confirmedUntil(held);
    return until && now < *until;
}

std::optional<base::TimePoint> Confirmation::confirmedUntil(Revision held) const
{
    if (m_newest == 0 || held < m_newest) {
        return std::nullopt;
    }
    return m_askedAt + m_confirmWithin;
}

std::optional<base::TimePoint> Confirmation::newestAsOf() const
{
    return m_askedAt == base::TimePoint{} ? std::nullopt : std::optional(m_askedAt);
}

} // namespace ibisfork::coord
