#include "gateway/crashreporter.h"

#include <algorithm>

#include "gateway/enginepause.h"
#include "gateway/eventlog.h"
#include "net/deletelater.h"

namespace ibisfork::gateway {

namespace {

/// Time for an engine to accept a connection. It also lets runs that go on elsewhere show which traits are sound.
constexpr std::chrono::milliseconds probeTime{250};
/// What is known of sound runs changes with each request; it is told less often the more nodes there are.
constexpr std::chrono::milliseconds shareIntervalPerNode{5};
/// After a longer cut, an engine may have ended for other reasons than the run that was lost there.
constexpr std::chrono::milliseconds longestDoubt{10000};
/// The list names a process that was started again within this time.
constexpr std::chrono::milliseconds longestUnlisted{3000};

std::string processText(const EngineEntry &engine)
{
    return engine.id + '@' + std::to_string(engine.startTimeMs);
}

} // namespace

CrashReporter::CrashReporter(Context &context,
                             StoreClient &store,
                             const TableSource &source,
                             const TableWatch &table,
                             evidence::EvidenceExchange &exchange,
                             std::function<void()> verdictChanged)
    : m_context(context)
    , m_store(store)
    , m_source(source)
    , m_table(table)
    , m_exchange(exchange)
    , m_verdictChanged(std::move(verdictChanged))
{ }

void CrashReporter::tick(base::TimePoint now)
{
    checkVerdict();
    if (now - m_sharedAt >= shareIntervalPerNode * m_context.view.nodes()) {
        share();
    }
    writeConvictions(now);
}

void CrashReporter::applyFleetEvidence(const CrashEvidence &evidence)
{
    m_context.crashes.setFleetEvidence(evidence);
    checkVerdict();
}

void CrashReporter::recordLostRun(const LostRun &run)
{
    if (!m_context.crashes.recordLostRun(processText(run.engine), run.traits, m_context.storeNow())) {
        repeatProbe(run.engine);
        return;
    }
    m_probes.push_back({base::monotonicNow(), run.engine, nullptr, nullptr});
    const auto probe = std::prev(m_probes.end());
    probe->timer = std::make_unique<net::Timer>(m_context.base, [this, probe] { finishProbe(probe); });
    openConnection(*probe);
}

void CrashReporter::waitForDecision(Probe &probe)
{
    if (probe.acceptsAgainAt) {
        probe.timer->startOnce(probeTime);
    } else {
        openConnection(probe);
    }
}

void CrashReporter::openConnection(Probe &probe)
{
    probe.connection = m_context.reach.isCutOff(probe.engine.service)
        ? nullptr
        : std::make_unique<http::UpstreamConnection>(m_context.base, probe.engine.address);
    probe.timer->startOnce(probeTime);
    if (!hasPath(probe)) {
        // Nothing else may ask engines of the service for an answer.
        m_context.checkOnePath(probe.engine.service);
    }
}

void CrashReporter::repeatProbe(const EngineEntry &engine)
{
    const auto isOfEngine = [&](const Probe &probe) {
        return processText(probe.engine) == processText(engine);
    };
    const auto probe = std::find_if(m_probes.begin(), m_probes.end(), isOfEngine);
    if (probe != m_probes.end() && probe->acceptsAgainAt) {
        probe->beganAt = base::monotonicNow();
        probe->hasFailed = false;
        probe->acceptsAgainAt.reset();
        openConnection(*probe);
    }
}

void CrashReporter::observeConnection(Probe &probe)
{
    if (probe.connection == nullptr) {
        return;
    }
    const bool accepts = probe.connection->connected();
    probe.hasFailed = probe.hasFailed || (!accepts && probe.connection->broken());
    if (accepts && probe.hasFailed) {
        // The engine may close the connection later, which says nothing.
        probe.acceptsAgainAt = base::monotonicNow();
        net::deleteLater(m_context.base, std::move(probe.connection));
    }
}

bool CrashReporter::hasPath(const Probe &probe) const
{
    if (m_context.reach.isCutOff(probe.engine.service)) {
        return false;
    }
    const auto answeredAt = m_context.reach.answeredAt(probe.engine.service);
    // A node that knows no other doesn't judge its path.
    return !m_context.knowsForwardingPeers() || (answeredAt && *answeredAt >= probe.beganAt);
}

bool CrashReporter::isReplaced(const Probe &probe) const
{
    const auto *listed = m_context.view.engines().find(probe.engine.id);
    return listed != nullptr && listed->entry.startTimeMs != probe.engine.startTimeMs;
}

bool CrashReporter::isUndecided(const Probe &probe) const
{
    const bool accepts = probe.connection != nullptr && probe.connection->connected();
    if (isReplaced(probe) || accepts) {
        return false;
    }
    const auto now = base::monotonicNow();
    if (probe.acceptsAgainAt) {
        // Another process may have followed the one that refused connections, or the path was at fault.
        return now - *probe.acceptsAgainAt < longestUnlisted;
    }
    const auto age = now - probe.beganAt;
    if (probe.connection == nullptr || !hasPath(probe)) {
        // A path that resets connections looks like engines that have ended.
        return age < longestDoubt;
    }
    // An engine that has ended refuses connections; one that pauses may leave them unanswered until it goes on.
    return !probe.connection->broken() && age < longestPause;
}

bool CrashReporter::hasEnded(const Probe &probe) const
{
    if (isReplaced(probe)) {
        return true;
    }
    return probe.connection != nullptr && hasPath(probe) && !probe.connection->reusable();
}

void CrashReporter::finishProbe(std::list<Probe>::iterator probe)
{
    observeConnection(*probe);
    if (isUndecided(*probe)) {
        waitForDecision(*probe);
        return;
    }
    const bool ended = hasEnded(*probe);
    EventLog::state("engine_probed")
        .field("engine", probe->engine.id)
        .field("ended", ended)
        .field("took_ms", base::toMilliseconds(base::monotonicNow() - probe->beganAt));
    m_context.crashes.confirmLoss(processText(probe->engine), ended, m_context.storeNow());
    if (probe->connection != nullptr) {
        net::deleteLater(m_context.base, std::move(probe->connection));
    }
    // The timer must not be destroyed inside its own callback.
    net::deleteLater(m_context.base, std::move(probe->timer));
    m_probes.erase(probe);
    if (ended) {
        checkVerdict();
        share();
    }
}

void CrashReporter::applyEvidence(const Row &row)
{
    const auto node = row.key.substr(crashEvidencePrefix.size());
    const bool isOwn = node == m_context.settings.node.name;
    if (isOwn && (m_hasReadRows || row.removed)) {
        return;
    }
    const auto evidence = row.removed ? std::nullopt : decodeCrashEvidence(row.data);
    if (!evidence && !row.removed) {
        EventLog::state("crash_row_unreadable").field("key", row.key);
    }
    if (!isOwn) {
        m_context.crashes.setPeerEvidence(node, evidence ? &*evidence : nullptr);
    } else if (evidence) {
        m_context.crashes.restore(*evidence);
    }
}

void CrashReporter::applyRow(const Row &row)
{
    const std::string_view key = row.key;
    if (key.starts_with(crashEvidencePrefix)) {
        applyEvidence(row);
    } else if (key.starts_with(convictionPrefix) && !row.removed) {
        if (const auto conviction = decodeConviction(row.data)) {
            m_context.crashes.setConviction(*conviction);
        } else {
            EventLog::state("crash_row_unreadable").field("key", row.key);
        }
    }
}

void CrashReporter::applyRows(const TableChange &change)
{
    if (change.isFullRead) {
        m_context.crashes.beginFullRead();
    }
    for (const auto &row : change.rows) {
        applyRow(row);
    }
    m_hasReadRows = true;
    checkVerdict();
}

void CrashReporter::checkVerdict()
{
    m_context.crashes.hasPoison(m_context.storeNow());
    if (m_context.crashes.verdictSerial() != m_verdictSerial) {
        m_verdictSerial = m_context.crashes.verdictSerial();
        m_verdictChanged();
    }
}

void CrashReporter::share()
{
    m_sharedAt = base::monotonicNow();
    // Before the own table is read it isn't known what this node told before it was started again.
    if (m_hasReadRows) {
        m_exchange.setOwn(m_context.crashes.evidenceToShare(m_context.storeNow()));
    }
}

void CrashReporter::writeConvictions(base::TimePoint now)
{
    if (m_writing || !m_table.loaded()) {
        return;
    }
    std::vector<ConditionalWrite> rows;
    const auto due = m_context.crashes.convictionsToWrite(m_context.storeNow());
    if (due.empty()) {
        m_convictionDueSince.clear();
    }
    for (const auto &conviction : due) {
        const auto id = poisonGroupId(conviction.group);
        const auto since = m_convictionDueSince.try_emplace(id, now).first->second;
        if (!m_source.isTurnToWrite(since, now)) {
            continue;
        }
        EventLog::state("requests_convicted")
            .field("group", id)
            .field("first_trait", traitText(*conviction.group.begin()))
            .field("traits", conviction.group.size())
            .field("count", conviction.count);
        rows.push_back({ownTable, std::string(convictionPrefix) + id, encodeConviction(conviction), std::nullopt});
        m_context.crashes.setConviction(conviction);
    }
    if (!rows.empty()) {
        write(rows);
    }
}

void CrashReporter::write(const std::vector<ConditionalWrite> &rows)
{
    m_writing = true;
    m_store.write(StoreCallCause::Conviction, rows, [this](const WriteResult &result) {
        m_writing = false;
        if (result.outcome != WriteOutcome::Done) {
            // Written again at the next tick; until then this node acts on its own evidence.
            m_context.crashes.recordConvictionsLost();
            EventLog::state("conviction_not_written").field("outcome", base::nameOf(writeOutcomeNames, result.outcome));
        }
    });
}

} // namespace ibisfork::gateway
