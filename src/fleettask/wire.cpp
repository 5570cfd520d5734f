#include "fleettask/wire.h"

namespace ibisfork::fleettask {

using std::chrono::microseconds;

void toWire(const coord::Change &change, peer::wire::Change &wire)
{
    wire.set_revision(change.revision);
    wire.set_id(change.id);
    wire.set_author(change.author);
    wire.set_reason(change.reason);
    for (const auto &row : change.rows) {
        auto &added = *wire.add_rows();
        added.set_key(row.key);
        if (row.value) {
            added.set_value(*row.value);
        }
    }
}

coord::Change fromWire(const peer::wire::Change &wire)
{
    coord::Change change{wire.revision(), wire.id(), wire.author(), wire.reason(), {}};
    for (const auto &row : wire.rows()) {
        change.rows.push_back({row.key(), row.has_value() ? std::optional(row.value()) : std::nullopt});
    }
    return change;
}

void toWire(const coord::Snapshot &snapshot, peer::wire::Snapshot &wire)
{
    wire.set_revision(snapshot.revision);
    for (const auto &[key, value] : snapshot.rows) {
        (*wire.mutable_rows())[key] = value;
    }
}

coord::Snapshot fromWire(const peer::wire::Snapshot &wire)
{
    return {wire.revision(), coord::Rows(wire.rows().begin(), wire.rows().end())};
}

std::uint64_t ageOf(base::TimePoint asOf, base::TimePoint now)
{
    const auto age = std::chrono::ceil<microseconds>(now - asOf);
    return age.count() > 0 ? static_cast<std::uint64_t>(age.count()) : 0;
}

base::TimePoint instantOf(std::uint64_t age, base::TimePoint askedAt)
{
    const auto sinceBeginning = std::chrono::floor<microseconds>(askedAt.time_since_epoch());
    if (sinceBeginning.count() <= 0 || age >= static_cast<std::uint64_t>(sinceBeginning.count())) {
        return {};
    }
    return askedAt - microseconds(age);
}

} // namespace ibisfork::fleettask
