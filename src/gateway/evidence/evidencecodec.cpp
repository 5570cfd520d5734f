#include "gateway/evidence/evidencecodec.h"

#include <algorithm>

#include <fmt/format.h>

#include <ibisfork/coord/rendezvous.h>

#include "gateway/evidence/evidence.pb.h"

namespace ibisfork::gateway::evidence {

namespace {

/// No fleet judges more runs of one route in the period of a rollout.
constexpr std::uint32_t maxRuns = 100'000'000;

wire::RouteTally encode(const std::string &route, const RunTally &tally)
{
    wire::RouteTally out;
    out.set_route(route);
    out.set_judged(tally.judged);
    out.set_late(tally.late);
    out.set_failed(tally.failed);
    return out;
}

wire::RolloutEvidence encode(const std::string &service, const RolloutEvidence &evidence)
{
    wire::RolloutEvidence out;
    out.set_service(service);
    out.set_order_row(evidence.orderRow.number());
    out.set_order_era(evidence.orderRow.era());
    out.set_step(std::string(base::nameOf(rolloutStepNames, evidence.step)));
    for (const auto &[route, tally] : evidence.newRuns) {
        *out.add_new_runs() = encode(route, tally);
    }
    for (const auto &[route, tally] : evidence.oldRuns) {
        *out.add_old_runs() = encode(route, tally);
    }
    for (const auto &engine : evidence.engines) {
        out.add_engines(engine);
    }
    for (const auto &engine : evidence.badEngines) {
        out.add_bad_engines(engine);
    }
    return out;
}

template<typename Tallies>
std::map<std::string, RunTally> decodeTallies(const Tallies &tallies)
{
    std::map<std::string, RunTally> out;
    for (const auto &item : tallies) {
        const RunTally tally{item.judged(), item.late(), item.failed()};
        if (std::max({tally.judged, tally.late, tally.failed}) > maxRuns || tally.bad() > tally.judged) {
            throw EvidenceError(fmt::format("impossible runs of route {}: {}, late {}, failed {}",
                                            item.route(),
                                            item.judged(),
                                            item.late(),
                                            item.failed()));
        }
        out[item.route()] = tally;
    }
    return out;
}

RolloutEvidence decode(const wire::RolloutEvidence &in)
{
    const auto step = base::valueOf(rolloutStepNames, in.step());
    if (!step) {
        throw EvidenceError(fmt::format("unknown step {}", in.step()));
    }
    RolloutEvidence evidence{{in.order_row(), in.order_era()}, *step};
    evidence.newRuns = decodeTallies(in.new_runs());
    evidence.oldRuns = decodeTallies(in.old_runs());
    evidence.engines.insert(in.engines().begin(), in.engines().end());
    evidence.badEngines.insert(in.bad_engines().begin(), in.bad_engines().end());
    return evidence;
}

wire::CrashEvidence encode(const CrashEvidence &evidence)
{
    wire::CrashEvidence out;
    for (const auto &report : evidence.reports) {
        auto *item = out.add_reports();
        item->set_engine(report.engine);
        item->set_at_ms(report.at.count());
        for (const auto &trait : report.suspects) {
            item->add_suspects(traitText(trait));
        }
    }
    for (const auto &[trait, beganAt] : evidence.soundRuns) {
        auto *item = out.add_sound_runs();
        item->set_trait(traitText(trait));
        item->set_began_ms(beganAt.count());
    }
    return out;
}

/// Traits of kinds that this version does not know are left out.
CrashEvidence decode(const wire::CrashEvidence &in)
{
    CrashEvidence evidence;
    for (const auto &item : in.reports()) {
        CrashReport report{item.engine(), StoreTime(item.at_ms()), {}};
        for (const auto &text : item.suspects()) {
            if (const auto trait = parseTrait(text)) {
                report.suspects.insert(*trait);
            }
        }
        evidence.reports.push_back(std::move(report));
    }
    for (const auto &item : in.sound_runs()) {
        if (const auto trait = parseTrait(item.trait())) {
            evidence.soundRuns[*trait] = StoreTime(item.began_ms());
        }
    }
    return evidence;
}

wire::NodeEvidence encode(const NodeEvidence &evidence)
{
    wire::NodeEvidence out;
    out.set_node(evidence.node);
    out.set_incarnation(evidence.incarnation);
    out.set_serial(evidence.serial);
    for (const auto &[service, runs] : evidence.rollouts) {
        *out.add_rollouts() = encode(service, runs);
    }
    *out.mutable_crashes() = encode(evidence.crashes);
    return out;
}

NodeEvidence decode(const wire::NodeEvidence &in)
{
    if (in.node().empty() || in.incarnation() == 0 || in.serial() == 0) {
        throw EvidenceError("evidence of no process");
    }
    NodeEvidence evidence{in.node(), in.incarnation(), in.serial()};
    for (const auto &item : in.rollouts()) {
        evidence.rollouts[item.service()] = decode(item);
    }
    evidence.crashes = decode(in.crashes());
    return evidence;
}

template<typename Entries>
std::vector<NodeEvidence> decodeEntries(const Entries &entries)
{
    std::vector<NodeEvidence> out;
    for (const auto &item : entries) {
        out.push_back(decode(item));
    }
    return out;
}

template<typename Message>
Message parse(const std::string &bytes)
{
    Message message;
    if (!message.ParseFromString(bytes)) {
        throw EvidenceError("unreadable message");
    }
    return message;
}

} // namespace

std::string encodeExchangeRequest(const ExchangeRequest &request)
{
    wire::EvidenceRequest out;
    out.set_node(request.node);
    out.set_wants_entries(request.wantsEntries);
    for (const auto &held : request.held) {
        auto *item = out.add_held();
        item->set_incarnation(held.incarnation);
        item->set_serial(held.serial);
    }
    for (const auto &entry : request.entries) {
        *out.add_entries() = encode(entry);
    }
    out.set_known_crashes(request.knownCrashes);
    return out.SerializeAsString();
}

ExchangeRequest decodeExchangeRequest(const std::string &bytes)
{
    const auto in = parse<wire::EvidenceRequest>(bytes);
    ExchangeRequest request{in.node(), in.wants_entries()};
    for (const auto &item : in.held()) {
        request.held.push_back({item.incarnation(), item.serial()});
    }
    request.entries = decodeEntries(in.entries());
    request.knownCrashes = in.known_crashes();
    return request;
}

std::string encodeExchangeAnswer(const ExchangeAnswer &answer)
{
    wire::EvidenceAnswer out;
    out.set_version(answer.version);
    for (const auto incarnation : answer.wanted) {
        out.add_wanted(incarnation);
    }
    for (const auto incarnation : answer.outdated) {
        out.add_outdated(incarnation);
    }
    out.set_has_sum(answer.sum.has_value());
    if (answer.sum) {
        for (const auto &item : answer.sum->rollouts) {
            *out.add_rollouts() = encode(item.service, item.evidence);
        }
        if (answer.hasCrashes) {
            *out.mutable_crashes() = encode(answer.sum->crashes);
        }
    }
    out.set_crashes_hash(answer.crashesHash);
    for (const auto &entry : answer.entries) {
        *out.add_entries() = encode(entry);
    }
    return out.SerializeAsString();
}

ExchangeAnswer decodeExchangeAnswer(const std::string &bytes)
{
    const auto in = parse<wire::EvidenceAnswer>(bytes);
    ExchangeAnswer answer;
    answer.version = in.version();
    answer.wanted.insert(in.wanted().begin(), in.wanted().end());
    answer.outdated.insert(in.outdated().begin(), in.outdated().end());
    answer.hasCrashes = in.has_crashes();
    answer.crashesHash = in.crashes_hash();
    if (in.has_sum()) {
        answer.sum.emplace();
        for (const auto &item : in.rollouts()) {
            answer.sum->rollouts.push_back({item.service(), decode(item)});
        }
        answer.sum->crashes = decode(in.crashes());
    }
    answer.entries = decodeEntries(in.entries());
    return answer;
}

std::uint64_t hashOf(const CrashEvidence &crashes)
{
    return crashes.empty() ? 0 : coord::rendezvousWeight(encode(crashes).SerializeAsString(), "crashes");
}

} // namespace ibisfork::gateway::evidence
