#include "serving/enginerun.h"

#include <random>

#include <nlohmann/json.hpp>

#include "net/deletelater.h"

namespace ibisfork::serving {

using upstream::EngineFailure;
using upstream::EngineFailureKind;

namespace {

constexpr int maxDisconnects = 16;
constexpr int maxDisconnectsSinceToken = 4;
constexpr std::chrono::milliseconds resumeBaseDelay{50};
constexpr int maxProbes = 3;
constexpr std::chrono::milliseconds probeInterval{100};

constexpr int firstClientError = 400;
constexpr int statusTooManyRequests = 429;
constexpr int firstServerError = 500;
constexpr int statusUnavailable = 503;

/// Zero for the first attempt, then exponential backoff with jitter, so that many streams don't reconnect at once.
base::Duration resumeDelay(int breaks)
{
    if (breaks <= 1) {
        return base::Duration::zero();
    }
    thread_local std::mt19937 random{std::random_device{}()};
    const double most = static_cast<double>(resumeBaseDelay.count()) * static_cast<double>(1U << (breaks - 2));
    const auto wait = std::uniform_real_distribution(most / 2, most)(random);
    return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double, std::milli>(wait));
}

RunFailureKind kindOfRefusal(int status)
{
    if (status >= firstClientError && status < firstServerError && status != statusTooManyRequests) {
        return RunFailureKind::Rejected;
    }
    // Any other server error leaves open whether the request was executed.
    return status == statusUnavailable || status == statusTooManyRequests ? RunFailureKind::NotRun
                                                                          : RunFailureKind::Unknown;
}

} // namespace

EngineRun::EngineRun(event_base *base,
                     StreamCanceller &canceller,
                     net::Address address,
                     const upstream::EngineRequest &request,
                     const EngineRunTiming &timing,
                     std::string knownIncarnation,
                     EngineRunHandlers handlers)
    : m_base(base)
    , m_canceller(canceller)
    , m_address(std::move(address))
    , m_timeouts(timing.timeouts)
    , m_checkDelay(timing.checkDelay)
    , m_knownIncarnation(std::move(knownIncarnation))
    , m_handlers(std::move(handlers))
    , m_resumeTimer(base, [this] { resume(); })
    , m_probeTimer(base, [this] { probe(); })
    , m_checkTimer(base, [this] { checkEngine(); })
    , m_self(std::make_shared<EngineRun *>(this))
{
    m_stream = upstream::EngineStream::start(base, m_address, request, m_timeouts, streamHandlers());
    scheduleCheck();
}

EngineRun::~EngineRun()
{
    stop();
}

void EngineRun::stop()
{
    *m_self = nullptr;
    m_resumeTimer.stop();
    m_probeTimer.stop();
    m_probe.reset();
    stopCheck();
    closeStream();
}

upstream::EngineStreamHandlers EngineRun::streamHandlers()
{
    upstream::EngineStreamHandlers handlers;
    handlers.identity = [this](const upstream::EngineStreamIdentity &greeting) {
        onGreeting(greeting);
    };
    handlers.token = [this](std::uint64_t, const std::string &text) {
        onToken(text);
    };
    handlers.end = [this](const upstream::EngineUsage &usage) {
        onEnd(usage);
    };
    handlers.failed = [this](const EngineFailure &failure) {
        onStreamFailed(failure);
    };
    return handlers;
}

void EngineRun::onGreeting(const upstream::EngineStreamIdentity &greeting)
{
    stopCheck();
    m_resumePoint.identity = greeting;
    m_knownIncarnation = greeting.incarnation;
    const auto handler = m_handlers.greeting;
    handler(greeting.incarnation);
}

void EngineRun::onToken(const std::string &text)
{
    ++m_resumePoint.offset;
    m_disconnectsSinceToken = 0;
    const auto handler = m_handlers.token;
    handler(text);
}

void EngineRun::onEnd(const upstream::EngineUsage &usage)
{
    m_finished = true;
    const auto handler = m_handlers.end;
    handler(usage);
}

void EngineRun::onStreamFailed(const EngineFailure &failure)
{
    stopCheck();
    closeStream();
    if (m_handlers.connectionLost && (failure.kind == EngineFailureKind::ConnectionLost || failure.connectRefused)) {
        m_handlers.connectionLost();
    }
    if (m_disconnects == 0 && m_resumePoint.identity.streamId.empty()) {
        onStartFailed(failure);
    } else {
        onResumeFailed(failure);
    }
}

void EngineRun::onStartFailed(const EngineFailure &failure)
{
    switch (failure.kind) {
    case EngineFailureKind::NotSent:
        fail({RunFailureKind::NotRun, failure.status});
        return;
    case EngineFailureKind::Refused:
        fail({kindOfRefusal(failure.status), failure.status});
        return;
    case EngineFailureKind::Unresponsive:
        fail({failure.connectRefused ? RunFailureKind::Crashed : RunFailureKind::Unknown, 0});
        return;
    default:
        probe();
    }
}

void EngineRun::onResumeFailed(const EngineFailure &failure)
{
    if (failure.kind == EngineFailureKind::WrongIncarnation || failure.connectRefused) {
        fail({RunFailureKind::Crashed, failure.status});
    } else if (failure.kind == EngineFailureKind::Refused) {
        probe();
    } else {
        scheduleResume();
    }
}

void EngineRun::scheduleResume()
{
    ++m_disconnects;
    ++m_disconnectsSinceToken;
    if (m_disconnects > maxDisconnects || m_disconnectsSinceToken > maxDisconnectsSinceToken) {
        cancelGeneration();
        return;
    }
    m_resumeTimer.startOnce(resumeDelay(m_disconnectsSinceToken));
}

void EngineRun::resume()
{
    m_stream = upstream::EngineStream::resume(m_base, m_address, m_resumePoint, m_timeouts, streamHandlers());
    if (m_paused) {
        m_stream->pauseReading();
    }
}

void EngineRun::scheduleCheck()
{
    m_checkTimer.startOnce(m_checkDelay);
}

void EngineRun::stopCheck()
{
    m_checkTimer.stop();
    m_engineCheck.reset();
}

void EngineRun::checkEngine()
{
    m_engineCheck = requestLoad(std::min(m_checkDelay, m_timeouts.connect),
                                [this](const auto &outcome) { onCheckResult(outcome); });
}

void EngineRun::onCheckResult(const LoadOutcome &outcome)
{
    if (std::holds_alternative<net::HttpResponse>(outcome)) {
        // The engine responds and is only slow: keep waiting.
        scheduleCheck();
        return;
    }
    onStreamFailed({EngineFailureKind::Unresponsive,
                    0,
                    std::get<net::HttpFailure>(outcome).kind == net::HttpFailureKind::Refused});
}

std::unique_ptr<net::HttpCall> EngineRun::requestLoad(base::Duration within,
                                                      std::function<void(const LoadOutcome &)> answered)
{
    net::HttpRequest request;
    request.path = "/v1/load";
    return net::fetch(m_base, m_address, std::move(request), {within, within}, std::move(answered));
}

void EngineRun::probe()
{
    m_probe = requestLoad(m_timeouts.connect, [this](const auto &outcome) { onProbeResult(outcome); });
}

void EngineRun::onProbeResult(const LoadOutcome &outcome)
{
    if (const auto *failure = std::get_if<net::HttpFailure>(&outcome)) {
        onProbeFailed(*failure);
        return;
    }
    const auto load = nlohmann::json::parse(std::get<net::HttpResponse>(outcome).body, nullptr, false);
    const bool named = load.is_object() && load.contains("incarnation") && load.at("incarnation").is_string();
    const bool other
        = named && !m_knownIncarnation.empty() && load.at("incarnation").get<std::string>() != m_knownIncarnation;
    if (other) {
        fail({RunFailureKind::Crashed, 0});
    } else if (!m_resumePoint.identity.streamId.empty()) {
        cancelGeneration();
    } else {
        fail({RunFailureKind::Unknown, 0});
    }
}

void EngineRun::onProbeFailed(const net::HttpFailure &failure)
{
    if (failure.kind == net::HttpFailureKind::Refused) {
        fail({RunFailureKind::Crashed, 0});
    } else if (++m_probes < maxProbes) {
        // A terminating process may still accept connections for a moment, so one failed probe proves nothing.
        m_probeTimer.startOnce(probeInterval);
    } else {
        fail({RunFailureKind::Unknown, 0});
    }
}

void EngineRun::cancelGeneration()
{
    if (m_resumePoint.identity.streamId.empty()) {
        fail({RunFailureKind::Unknown, 0});
        return;
    }
    m_canceller.cancel(m_address, m_resumePoint.identity.streamId, [self = m_self](bool stopped) {
        if (*self != nullptr) {
            (*self)->fail({stopped ? RunFailureKind::Stopped : RunFailureKind::Unknown, 0});
        }
    });
}

void EngineRun::fail(const RunFailure &failure)
{
    m_finished = failure.kind != RunFailureKind::Unknown;
    const auto handler = m_handlers.failed;
    handler(failure);
}

void EngineRun::pauseReading()
{
    m_paused = true;
    if (m_stream) {
        m_stream->pauseReading();
    }
}

void EngineRun::resumeReading()
{
    m_paused = false;
    if (m_stream) {
        m_stream->resumeReading();
    }
}

void EngineRun::closeStream()
{
    if (m_stream) {
        m_stream->stop();
        net::deleteLater(m_base, std::move(m_stream));
    }
}

} // namespace ibisfork::serving
