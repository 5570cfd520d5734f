#include "gateway/crashevidence.h"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <ibisfork/coord/rendezvous.h>

namespace ibisfork::gateway {

namespace {

using nlohmann::json;

/// Period of a first conviction; doubles with each further one, up to maxPeriodDoublings times.
constexpr std::chrono::minutes firstPeriod{10};
constexpr unsigned maxPeriodDoublings = 7;
/// Ends of engines that are kept of all nodes together.
constexpr std::size_t maxReports = 24;

json encodeTraits(const std::set<RequestTrait> &traits)
{
    auto out = json::array();
    for (const auto &trait : traits) {
        out.push_back(traitText(trait));
    }
    return out;
}

/// Traits of kinds that this version does not know are left out.
std::set<RequestTrait> decodeTraits(const json &list)
{
    std::set<RequestTrait> traits;
    for (const auto &item : list) {
        if (const auto trait = parseTrait(item.get<std::string>())) {
            traits.insert(*trait);
        }
    }
    return traits;
}

/// Returns nullopt if @p list is empty, or has a trait of a kind that this version does not know: without it the group
/// would match more requests.
std::optional<PoisonGroup> decodeGroup(const json &list)
{
    auto group = decodeTraits(list);
    return group.empty() || group.size() != list.size() ? std::nullopt : std::optional(std::move(group));
}

} // namespace

void CrashReport::add(const CrashReport &other)
{
    at = std::min(at, other.at);
    suspects.insert(other.suspects.begin(), other.suspects.end());
}

void addSoundRun(SoundRuns &to, const RequestTrait &trait, StoreTime beganAt)
{
    auto &latest = to.try_emplace(trait, beganAt).first->second;
    latest = std::max(latest, beganAt);
}

void addSoundRuns(SoundRuns &to, const SoundRuns &from)
{
    for (const auto &[trait, beganAt] : from) {
        addSoundRun(to, trait, beganAt);
    }
}

void CrashEvidence::add(const CrashEvidence &other)
{
    for (const auto &report : other.reports) {
        const auto found = std::find_if(
            reports.begin(), reports.end(), [&](const CrashReport &known) { return known.engine == report.engine; });
        if (found == reports.end()) {
            reports.push_back(report);
        } else {
            found->add(report);
        }
    }
    if (reports.size() > maxReports) {
        const auto excess = static_cast<std::ptrdiff_t>(reports.size() - maxReports);
        std::stable_sort(reports.begin(), reports.end(), [](const CrashReport &left, const CrashReport &right) {
            return left.at < right.at;
        });
        reports.erase(reports.begin(), reports.begin() + excess);
    }
    addSoundRuns(soundRuns, other.soundRuns);
}

std::string encodeCrashEvidence(const CrashEvidence &evidence)
{
    auto reports = json::array();
    for (const auto &report : evidence.reports) {
        reports.push_back(
            {{"engine", report.engine}, {"at_ms", report.at.count()}, {"suspects", encodeTraits(report.suspects)}});
    }
    auto sound = json::object();
    for (const auto &[trait, beganAt] : evidence.soundRuns) {
        sound[traitText(trait)] = beganAt.count();
    }
    return json{{"reports", reports}, {"sound", sound}}.dump();
}

std::optional<CrashEvidence> decodeCrashEvidence(const std::string &text)
{
    try {
        const auto document = json::parse(text);
        CrashEvidence evidence;
        for (const auto &item : document.at("reports")) {
            evidence.reports.push_back({item.at("engine").get<std::string>(),
                                        StoreTime(item.at("at_ms").get<std::int64_t>()),
                                        decodeTraits(item.at("suspects"))});
        }
        for (const auto &[name, beganAt] : document.at("sound").items()) {
            if (const auto trait = parseTrait(name)) {
                evidence.soundRuns[*trait] = StoreTime(beganAt.get<std::int64_t>());
            }
        }
        return evidence;
    } catch (const json::exception &) {
        // The caller logs the row.
        return std::nullopt;
    }
}

StoreTime Conviction::until() const
{
    const auto doublings = std::min(count - std::min(count, 1U), maxPeriodDoublings);
    return since + firstPeriod * (1U << doublings);
}

std::string encodeConviction(const Conviction &conviction)
{
    return json{
        {"traits", encodeTraits(conviction.group)}, {"since_ms", conviction.since.count()}, {"count", conviction.count}}
        .dump();
}

std::optional<Conviction> decodeConviction(const std::string &text)
{
    try {
        const auto document = json::parse(text);
        auto group = decodeGroup(document.at("traits"));
        if (!group) {
            return std::nullopt;
        }
        return Conviction{std::move(*group),
                          StoreTime(document.at("since_ms").get<std::int64_t>()),
                          document.at("count").get<unsigned>()};
    } catch (const json::exception &) {
        // The caller logs the row.
        return std::nullopt;
    }
}

std::string poisonGroupId(const PoisonGroup &group)
{
    std::string text;
    for (const auto &trait : group) {
        text += traitText(trait) + ',';
    }
    return fmt::format("{:016x}", coord::rendezvousWeight(text, "poison"));
}

} // namespace ibisfork::gateway
