#include "serving/exchange.h"

namespace ibisfork::serving {

routing::RoutingQuery Exchange::queryFor(const fleet::Workspace &workspace)
{
    routing::RoutingQuery query;
    query.workspace = &workspace;
    query.model = m_request.chat.model;
    query.tried = m_triedUpstreams;
    for (auto &upstream : m_context.poison.excludedUpstreams(m_fingerprint)) {
        query.tried.push_back(std::move(upstream));
    }
    query.sessionVersion = m_request.session ? m_request.session->version : std::nullopt;
    query.failureDomain = m_context.settings.node.failureDomain;
    query.affinityKey = m_request.id;
    query.mayExpose = [this](const fleet::VersionId &version, bool capped) {
        return m_context.rollouts.mayExpose(version, capped);
    };
    query.triedVersions = m_lowConfidenceVersions;
    query.costSoFar = m_costSoFar;
    // Text that was already streamed can't be replaced, and a session stays on its version.
    query.mayEscalate = !m_request.chat.stream && !m_request.session;
    return query;
}

routing::RoutingDecision Exchange::choose(const routing::RoutingQuery &query) const
{
    const auto now = base::monotonicNow();
    return m_context.view->router.choose(
        query, [&](const std::string &upstream) { return m_context.capacityOf(upstream, now); });
}

bool Exchange::escalate(const upstream::EngineUsage &usage)
{
    const auto &config = *m_context.view->config;
    const auto workspace = config.workspaces.find(m_request.workspace);
    const auto version = config.versions.find(fleet::VersionId::parse(m_version));
    const bool replaceable = !m_request.chat.stream && !m_request.session && workspace != config.workspaces.end()
        && version != config.versions.end() && workspace->second.rules.cascade && version->second.reportsConfidence;
    if (!replaceable || !m_context.rollouts.escalates(m_request.workspace, usage.confidence)
        || !m_context.confirmed(base::monotonicNow())) {
        return false;
    }
    m_lowConfidenceVersions.push_back(version->first);
    m_costSoFar += version->second.costPerRequest;
    const auto decision = choose(queryFor(workspace->second));
    logDecision(decision);
    if (!decision.version || config.versions.at(*decision.version).expectedQuality <= version->second.expectedQuality) {
        return false;
    }
    keepAsFallback(usage);
    m_context.admission.recordStart(workspace->second.name, workspace->second.rules.share);
    send(decision);
    return true;
}

void Exchange::keepAsFallback(const upstream::EngineUsage &usage)
{
    m_context.metrics.counter("ibisfork_escalations_total").add();
    m_fallbackAnswer = {m_version, std::exchange(m_text, {}), usage};
    m_mayHaveRun = true;
    release();
    m_firstTokenReceived = false;
    m_receivedTokens = 0;
}

} // namespace ibisfork::serving
