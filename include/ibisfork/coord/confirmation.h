#pragma once

#include <optional>

#include <ibisfork/base/clock.h>
#include <ibisfork/coord/change.h>

namespace ibisfork::coord {

/// Tells how long a node may act on the revision that it holds.
class Confirmation
{
public:
    /// @p confirmWithin is the age from which a reading no longer counts.
    explicit Confirmation(base::Duration confirmWithin);

    /// Notes that @p newest was the newest revision at @p askedAt, on this node's clock.
    void learn(Revision newest, base::TimePoint askedAt);

    /// Whether @p held was known to be the newest within the last confirmWithin.
    bool confirmed(Revision held, base::TimePoint now) const;

    /// The instant from which @p held is no longer confirmed; nothing if it is not confirmed at all.
    std::optional<base::TimePoint> confirmedUntil(Revision held) const;

    /// Since when the newest revision heard of is known to be the newest; nothing if that is not known.
    std::optional<base::TimePoint> newestAsOf() const;

    /// The newest revision heard of.
    Revision newestKnown() const { return m_newest; }

private:
    base::Duration m_confirmWithin;
    Revision m_newest = 0;
    base::TimePoint m_askedAt{};
};

} // namespace ibisfork::coord
