#include "upstream/servicecall.h"

#include <algorithm>
#include <array>

#include <strings.h>

namespace ibisfork::upstream {

namespace {

/// Headers that are not forwarded: hop-by-hop headers, and Host, Content-Length and Expect, which are specific to one
/// connection; the sender computes the length again.
constexpr std::array<const char *, 12> droppedHeaders{"Connection",
                                                      "Keep-Alive",
                                                      "Proxy-Authenticate",
                                                      "Proxy-Authorization",
                                                      "Proxy-Connection",
                                                      "TE",
                                                      "Trailer",
                                                      "Transfer-Encoding",
                                                      "Upgrade",
                                                      "Expect",
                                                      "Content-Length",
                                                      "Host"};

bool sameName(const std::string &left, const std::string &right)
{
    return strcasecmp(left.c_str(), right.c_str()) == 0;
}

/// Whether @p list, a comma-separated header value, contains @p name (case-insensitive).
bool listContains(const std::string &list, const std::string &name)
{
    std::size_t begin = 0;
    while (begin <= list.size()) {
        const auto end = std::min(list.find(',', begin), list.size());
        const auto first = std::min(list.find_first_not_of(" \t", begin), end);
        const auto last = list.find_last_not_of(" \t", end == 0 ? 0 : end - 1);
        if (first < end && sameName(list.substr(first, last - first + 1), name)) {
            return true;
        }
        begin = end + 1;
    }
    return false;
}

} // namespace

ServiceCall::ServiceCall(event_base *base,
                         const net::Address &address,
                         net::HttpRequest request,
                         const ServiceCallLimits &limits,
                         std::function<void(const ServiceOutcome &)> done)
    : m_maxAnswerBytes(limits.maxResponseBytes)
    , m_done(std::move(done))
{
    net::HttpCallHandlers handlers;
    handlers.chunk = [this](std::string_view bytes) {
        onChunk(bytes);
    };
    handlers.done = [this](const net::HttpOutcome &outcome) {
        onDone(outcome);
    };
    m_call = std::make_unique<net::HttpCall>(base, address, std::move(request), limits.timeout, std::move(handlers));
}

void ServiceCall::onChunk(std::string_view bytes)
{
    if (!m_done) {
        return;
    }
    if (m_body.size() + bytes.size() > m_maxAnswerBytes) {
        finish(net::HttpFailure{net::HttpFailureKind::TooLong, true});
        return;
    }
    m_body.append(bytes);
}

void ServiceCall::onDone(const net::HttpOutcome &outcome)
{
    if (!m_done) {
        return;
    }
    if (const auto *failure = std::get_if<net::HttpFailure>(&outcome)) {
        finish(*failure);
        return;
    }
    finish(net::HttpResponse{std::get<net::HttpHead>(outcome), std::move(m_body)});
}

void ServiceCall::finish(const ServiceOutcome &outcome)
{
    // The handler may destroy this object.
    const auto done = std::exchange(m_done, nullptr);
    done(outcome);
}

net::HttpHeaders endToEndHeaders(const net::HttpHeaders &headers)
{
    const auto connectionOptions = headers.find("Connection").value_or("");
    net::HttpHeaders out;
    for (const auto &[name, value] : headers.fields()) {
        const bool isDropped = std::any_of(droppedHeaders.begin(),
                                           droppedHeaders.end(),
                                           [&name = name](const char *other) { return sameName(name, other); });
        if (!isDropped && !listContains(connectionOptions, name)) {
            out.add(name, value);
        }
    }
    return out;
}

} // namespace ibisfork::upstream
