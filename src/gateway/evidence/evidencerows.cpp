#include "gateway/evidence/evidencerows.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include "gateway/eventlog.h"

namespace ibisfork::gateway::evidence {

namespace {

/// Each row goes to all nodes. The newest tell enough of a cause that goes on.
constexpr std::size_t maxCrashRowsInCall = 5;
/// A lost reader makes all evidence of rollouts due.
constexpr std::size_t maxRolloutRowsInCall = 20;
constexpr std::chrono::milliseconds rolloutRowsInterval{2000};
/// Calls that may follow each other at once, so that the first evidence of a fault is stored without delay.
constexpr double callsAtOnce = 5;
/// Time that each reader leaves to those before it to store evidence.
constexpr std::chrono::milliseconds turnTime{600};
constexpr const char *serialField = "serial";

/// @p text is the JSON object that a row has in earlier builds, which pass over the fields that are added here.
std::string withProcess(const std::string &text, const NodeEvidence &evidence)
{
    auto document = nlohmann::json::parse(text);
    document[incarnationField] = evidence.incarnation;
    document[serialField] = evidence.serial;
    return document.dump();
}

/// The process that has told what a row says; nothing if it is of an earlier build.
std::optional<Held> readProcess(const std::string &text)
{
    const auto document = nlohmann::json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains(incarnationField) || !document.contains(serialField)) {
        return std::nullopt;
    }
    const auto &incarnation = document[incarnationField];
    const auto &serial = document[serialField];
    if (!incarnation.is_number_unsigned() || !serial.is_number_unsigned()) {
        return std::nullopt;
    }
    return Held{incarnation.get<Incarnation>(), serial.get<std::uint64_t>()};
}

bool isEvidence(std::string_view key)
{
    return key.starts_with(evidencePrefix) || key.starts_with(crashEvidencePrefix);
}

} // namespace

EvidenceRows::EvidenceRows(Context &context, StoreClient &store, const TableSource &source, EvidenceExchange &exchange)
    : m_context(context)
    , m_store(store)
    , m_source(source)
    , m_exchange(exchange)
    , m_calls(callsAtOnce)
{ }

void EvidenceRows::applyRows(const TableChange &change)
{
    if (change.isFullRead) {
        m_stored.clear();
        m_isLoaded = true;
    }
    for (const auto &row : change.rows) {
        if (isEvidence(row.key)) {
            applyRow(row);
        }
    }
}

void EvidenceRows::applyRow(const Row &row)
{
    const auto process = row.removed ? std::nullopt : readProcess(row.data);
    if (!process) {
        m_stored.erase(row.key);
        return;
    }
    m_stored[row.key] = *process;
    const bool isOfRollout = std::string_view(row.key).starts_with(evidencePrefix);
    const auto stored = isOfRollout ? decodeEvidence(row.data) : std::nullopt;
    if (stored && process->incarnation != 0 && process->serial != 0) {
        NodeEvidence part{stored->node, process->incarnation, process->serial};
        part.rollouts[stored->service] = stored->evidence;
        m_exchange.putPart(part);
    }
}

bool EvidenceRows::isStored(const std::string &key, const NodeEvidence &evidence) const
{
    const auto found = m_stored.find(key);
    return found != m_stored.end() && found->second.incarnation == evidence.incarnation
        && found->second.serial >= evidence.serial;
}

base::Duration EvidenceRows::turnDelay() const
{
    const auto &own = m_context.settings.node.name;
    const auto &readers = m_source.otherReaders();
    const auto before
        = std::count_if(readers.begin(), readers.end(), [&](const PeerNode &reader) { return reader.name < own; });
    return turnTime * before;
}

std::vector<EvidenceRows::DueRow> EvidenceRows::newestFirst(Rows rows)
{
    std::vector<DueRow> due;
    for (auto &item : rows) {
        due.push_back(std::move(item.second));
    }
    std::sort(due.begin(), due.end(), [](const DueRow &left, const DueRow &right) {
        return left.entry->heardAt > right.entry->heardAt;
    });
    return due;
}

void EvidenceRows::addIfDue(Rows &rows, DueRow row, base::TimePoint now) const
{
    const auto before = rows.find(row.key);
    const bool isOlder = before != rows.end() && before->second.entry->heardAt > row.entry->heardAt;
    if (!isOlder && !isStored(row.key, row.entry->evidence) && now - row.entry->heardAt >= turnDelay()) {
        rows[row.key] = std::move(row);
    }
}

std::vector<EvidenceRows::DueRow> EvidenceRows::dueCrashRows(base::TimePoint now) const
{
    Rows rows;
    if (m_exchange.isUndelivered() || m_source.isReader()) {
        for (const auto &item : m_exchange.held()) {
            const auto &evidence = item.second.evidence;
            if (!evidence.crashes.empty()) {
                addIfDue(rows, {std::string(crashEvidencePrefix) + evidence.node, &item.second, {}}, now);
            }
        }
    }
    return newestFirst(std::move(rows));
}

std::vector<EvidenceRows::DueRow> EvidenceRows::dueRolloutRows(base::TimePoint now) const
{
    Rows rows;
    const bool hasRowReaders = m_context.view.hasRowReaders(m_context.settings.node.name);
    const bool isNeeded = m_exchange.isUndelivered() || (m_source.isReader() && hasRowReaders);
    if (isNeeded && now - m_rolloutsWrittenAt >= rolloutRowsInterval) {
        for (const auto &item : m_exchange.held()) {
            const auto &evidence = item.second.evidence;
            for (const auto &rollout : evidence.rollouts) {
                const auto key = std::string(evidencePrefix) + rollout.first + '/' + evidence.node;
                addIfDue(rows, {key, &item.second, rollout.first}, now);
            }
        }
    }
    return newestFirst(std::move(rows));
}

std::string EvidenceRows::encode(const DueRow &row)
{
    const auto &evidence = row.entry->evidence;
    const auto text = row.service.empty()
        ? encodeCrashEvidence(evidence.crashes)
        : encodeEvidence(row.service, evidence.node, evidence.rollouts.at(row.service));
    return withProcess(text, evidence);
}

void EvidenceRows::tick(base::TimePoint now)
{
    if (m_isWriting || !m_isLoaded) {
        return;
    }
    auto due = dueCrashRows(now);
    limit(due, maxCrashRowsInCall);
    auto rollouts = dueRolloutRows(now);
    limit(rollouts, maxRolloutRowsInCall);
    if (due.empty() && rollouts.empty()) {
        return;
    }
    if (!m_calls.consume(now, m_context.settings.bounds.evidenceWritesPerSecond)) {
        EventLog::failure("evidence_writes_limited").field("due", due.size() + rollouts.size()).field("written", 0);
        return;
    }
    if (!rollouts.empty()) {
        m_rolloutsWrittenAt = now;
    }
    const auto cause = rollouts.empty() ? StoreCallCause::CrashEvidence : StoreCallCause::RolloutEvidence;
    due.insert(due.end(), rollouts.begin(), rollouts.end());
    write(cause, due);
}

void EvidenceRows::limit(std::vector<DueRow> &rows, std::size_t most)
{
    if (rows.size() > most) {
        EventLog::failure("evidence_writes_limited").field("due", rows.size()).field("written", most);
        rows.resize(most);
    }
}

void EvidenceRows::write(StoreCallCause cause, const std::vector<DueRow> &rows)
{
    std::vector<ConditionalWrite> writes;
    std::map<std::string, Held> written;
    for (const auto &row : rows) {
        writes.push_back({ownTable, row.key, encode(row), std::nullopt});
        written[row.key] = {row.entry->evidence.incarnation, row.entry->evidence.serial};
    }
    m_isWriting = true;
    m_store.write(cause, writes, [this, written](const WriteResult &result) {
        m_isWriting = false;
        if (result.outcome != WriteOutcome::Done) {
            EventLog::state("evidence_rows_not_written")
                .field("rows", written.size())
                .field("outcome", base::nameOf(writeOutcomeNames, result.outcome));
            return;
        }
        for (const auto &[key, process] : written) {
            m_stored[key] = process;
        }
    });
}

} // namespace ibisfork::gateway::evidence
