#include "upstream/enginestream.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "upstream/tokentext.h"

namespace ibisfork::upstream {

using Json = nlohmann::json;

namespace {

constexpr int statusOk = 200;
constexpr const char *endEventName = "end";

net::HttpRequest startRequest(const EngineRequest &request)
{
    net::HttpRequest out;
    out.method = net::HttpMethod::Post;
    out.path = "/v1/chat/completions";
    out.headers.add("Content-Type", "application/json");
    out.headers.add("X-Request-Id", request.requestId);
    out.headers.add("X-Priority", std::to_string(request.priority));
    out.body = request.body;
    return out;
}

net::HttpRequest resumeRequest(const EngineResumePoint &point)
{
    net::HttpRequest out;
    out.method = net::HttpMethod::Get;
    out.path = fmt::format("/v1/streams/{}?offset={}", point.identity.streamId, point.offset);
    return out;
}

EngineUsage usageOf(const Json &event)
{
    const auto &usage = event.at("usage");
    EngineUsage counted{usage.at("prompt_tokens").get<std::uint64_t>(),
                        usage.at("completion_tokens").get<std::uint64_t>()};
    if (event.contains("confidence")) {
        counted.confidence = event.at("confidence").get<double>();
    }
    return counted;
}

} // namespace

std::unique_ptr<EngineStream> EngineStream::start(event_base *base,
                                                  const net::Address &address,
                                                  const EngineRequest &request,
                                                  const net::HttpTimeouts &timeouts,
                                                  EngineStreamHandlers handlers)
{
    return std::unique_ptr<EngineStream>(
        new EngineStream(base, address, startRequest(request), {}, timeouts, std::move(handlers)));
}

std::unique_ptr<EngineStream> EngineStream::resume(event_base *base,
                                                   const net::Address &address,
                                                   const EngineResumePoint &point,
                                                   const net::HttpTimeouts &timeouts,
                                                   EngineStreamHandlers handlers)
{
    return std::unique_ptr<EngineStream>(
        new EngineStream(base, address, resumeRequest(point), point, timeouts, std::move(handlers)));
}

EngineStream::EngineStream(event_base *base,
                           const net::Address &address,
                           net::HttpRequest request,
                           const EngineResumePoint &point,
                           const net::HttpTimeouts &timeouts,
                           EngineStreamHandlers handlers)
    : m_handlers(std::move(handlers))
    , m_requestId(request.headers.find("X-Request-Id").value_or(""))
    , m_expected(point.identity)
    , m_nextOffset(point.offset)
    , m_parser([this](const ServerSentEvent &event) { onEvent(event); })
{
    net::HttpCallHandlers callHandlers;
    callHandlers.head = [this](const net::HttpHead &head) {
        onHead(head);
    };
    callHandlers.chunk = [this](std::string_view bytes) {
        if (m_status == statusOk && !m_finished && !m_parser.feed(bytes)) {
            finish(EngineFailure{EngineFailureKind::Malformed, m_status});
        }
    };
    callHandlers.done = [this](const net::HttpOutcome &outcome) {
        onDone(outcome);
    };
    m_call = std::make_unique<net::HttpCall>(base, address, std::move(request), timeouts, std::move(callHandlers));
}

void EngineStream::onHead(const net::HttpHead &head)
{
    m_status = head.status;
    if (m_status != statusOk || m_finished) {
        return;
    }
    const EngineStreamIdentity identity{head.headers.find("X-Incarnation").value_or(""),
                                        head.headers.find("X-Stream-Id").value_or("")};
    // An engine reuses stream ids after a restart, so the id alone does not identify the stream.
    const bool resumed = !m_expected.streamId.empty();
    if (resumed && identity.incarnation != m_expected.incarnation) {
        finish(EngineFailure{EngineFailureKind::WrongIncarnation, m_status});
        return;
    }
    const auto answered = head.headers.find("X-Request-Id");
    const bool isOtherRequest = answered && !m_requestId.empty() && *answered != m_requestId;
    if (isOtherRequest || (resumed && identity.streamId != m_expected.streamId)) {
        finish(EngineFailure{EngineFailureKind::WrongStream, m_status});
        return;
    }
    if (m_handlers.identity) {
        m_handlers.identity(identity);
    }
}

void EngineStream::onEvent(const ServerSentEvent &event)
{
    if (m_finished) {
        return;
    }
    try {
        if (event.event == endEventName) {
            finish(usageOf(Json::parse(event.data)));
            return;
        }
        // A repeated or missing token would corrupt the answer, so the offsets must be contiguous.
        if (event.id != std::to_string(m_nextOffset)) {
            finish(EngineFailure{EngineFailureKind::Malformed, m_status});
            return;
        }
        const auto text = tokenText(event.data);
        if (!text) {
            finish(EngineFailure{EngineFailureKind::Malformed, m_status});
            return;
        }
        m_handlers.token(m_nextOffset++, *text);
    } catch (const Json::exception &) {
        finish(EngineFailure{EngineFailureKind::Malformed, m_status});
    }
}

void EngineStream::onDone(const net::HttpOutcome &outcome)
{
    if (m_finished) {
        return;
    }
    if (const auto *failure = std::get_if<net::HttpFailure>(&outcome)) {
        const auto kind = failure->bytesLeft ? EngineFailureKind::ConnectionLost : EngineFailureKind::NotSent;
        finish(EngineFailure{kind, m_status, failure->kind == net::HttpFailureKind::Refused});
        return;
    }
    // A response with status 200 that ends without an event "end" is truncated.
    const auto kind = m_status == statusOk ? EngineFailureKind::ConnectionLost : EngineFailureKind::Refused;
    finish(EngineFailure{kind, m_status});
}

void EngineStream::finish(const std::variant<EngineUsage, EngineFailure> &result)
{
    m_finished = true;
    // The handler may destroy this object.
    const auto handlers = m_handlers;
    if (const auto *usage = std::get_if<EngineUsage>(&result)) {
        handlers.end(*usage);
    } else {
        handlers.failed(std::get<EngineFailure>(result));
    }
}

} // namespace ibisfork::upstream
