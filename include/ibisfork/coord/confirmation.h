#pragma once

#include <optional>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>

namespace ibisfork::coord {

/// Tells whether and until when a node may act on the revision that it holds. As with a lease, a confirmation expires
/// unless it is renewed.
class Confirmation
{
public:
    /// @p confirmWithin is the time after which a confirmation expires.
    explicit Confirmation(base::Duration confirmWithin);

    /// Records that @p newest was still the newest revision at @p askedAt, the time of the query on this node's clock.
    void recordNewest(Revision newest, base::TimePoint askedAt);

    /// Whether @p held is the newest known revision and was last verified less than confirmWithin before @p now.
    bool confirmed(Revision held, base::TimePoint now) const;

    /// When the confirmation of @p held expires; nullopt if a newer revision is known or none has been learnt.
    std::optional<base::TimePoint> confirmedUntil(Revision held) const;

    /// The latest time at which the newest known revision was verified to be the newest; nullopt if never.
    std::optional<base::TimePoint> newestAsOf() const;

    /// The newest known revision; 0 if none has been learnt.
    Revision newestKnown() const { return m_newest; }

private:
    base::Duration m_confirmWithin;
    Revision m_newest = 0;
    base::TimePoint m_askedAt{};
};

} // namespace ibisfork::coord
