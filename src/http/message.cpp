#include "http/message.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>

#include <fmt/format.h>

extern "C" {
#include <http_parser.h>
}

namespace ibisfork::http {

namespace {

constexpr std::array<std::string_view, 10> hopByHopNames{{"connection",
                                                          "keep-alive",
                                                          "proxy-connection",
                                                          "te",
                                                          "trailer",
                                                          "transfer-encoding",
                                                          "upgrade",
                                                          "content-length",
                                                          "expect",
                                                          "proxy-authenticate"}};

char lower(char c)
{
    return static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
}

bool namedIn(std::string_view list, std::string_view name)
{
    while (!list.empty()) {
        const auto comma = std::min(list.find(','), list.size());
        auto item = list.substr(0, comma);
        list.remove_prefix(std::min(comma + 1, list.size()));
        while (!item.empty() && item.front() == ' ') {
            item.remove_prefix(1);
        }
        while (!item.empty() && item.back() == ' ') {
            item.remove_suffix(1);
        }
        if (equalNames(item, name)) {
            return true;
        }
    }
    return false;
}

void appendHeaders(std::string &out, const HeaderList &headers)
{
    for (const auto &header : headers) {
        out.append(header.name).append(": ").append(header.value).append("\r\n");
    }
}

const char *reasonOf(int status)
{
    switch (status) {
#define IBISFORK_REASON(number, name, text)                                                                            \
    case number:                                                                                                       \
        return #text;
        HTTP_STATUS_MAP(IBISFORK_REASON)
#undef IBISFORK_REASON
    default:
        return "Unknown";
    }
}

} // namespace

std::string lowerCase(std::string_view text)
{
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(), lower);
    return out;
}

bool equalNames(std::string_view left, std::string_view right)
{
    return left.size() == right.size()
        && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) { return lower(a) == lower(b); });
}

void HeaderList::add(std::string name, std::string value)
{
    m_headers.push_back({std::move(name), std::move(value)});
}

void HeaderList::set(std::string_view name, std::string value)
{
    for (auto &header : m_headers) {
        if (equalNames(header.name, name)) {
            header.value = std::move(value);
            return;
        }
    }
    add(std::string(name), std::move(value));
}

std::optional<std::string_view> HeaderList::find(std::string_view name) const
{
    for (const auto &header : m_headers) {
        if (equalNames(header.name, name)) {
            return header.value;
        }
    }
    return std::nullopt;
}

std::size_t HeaderList::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(
        m_headers.begin(), m_headers.end(), [&](const Header &header) { return equalNames(header.name, name); }));
}

bool isHopByHop(std::string_view name, std::string_view connectionValue)
{
    const auto matches = [&](std::string_view hop) {
        return equalNames(hop, name);
    };
    return std::any_of(hopByHopNames.begin(), hopByHopNames.end(), matches) || namedIn(connectionValue, name);
}

std::optional<std::size_t> contentLength(const HeaderList &headers)
{
    const auto text = headers.find("Content-Length").value_or(std::string_view());
    std::size_t length = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), length);
    return result.ec == std::errc() ? std::optional(length) : std::nullopt;
}

void splitTarget(RequestHead &head)
{
    constexpr std::string_view scheme = "http://";
    const std::string_view target = head.target;
    if (!equalNames(target.substr(0, scheme.size()), scheme)) {
        return;
    }
    const auto rest = target.substr(scheme.size());
    const auto hostSize = std::min(rest.find_first_of("/?"), rest.size());
    head.headers.set("Host", std::string(rest.substr(0, hostSize)));
    const auto path = rest.substr(hostSize);
    head.target = path.starts_with('/') ? std::string(path) : '/' + std::string(path);
}

std::string serializeRequestHead(const RequestHead &head, std::size_t bodyBytes)
{
    std::string out;
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    appendHeaders(out, head.headers);
    const bool bodyExpected = head.method != "GET" && head.method != "HEAD" && head.method != "DELETE";
    if (bodyExpected || bodyBytes > 0) {
        out.append("Content-Length: ").append(std::to_string(bodyBytes)).append("\r\n");
    }
    out.append("\r\n");
    return out;
}

std::string serializeRequest(const RequestHead &head, std::string_view body)
{
    auto out = serializeRequestHead(head, body.size());
    out.append(body);
    return out;
}

std::string serializeResponseHead(int status, const HeaderList &headers)
{
    std::string out = fmt::format("HTTP/1.1 {} {}\r\n", status, reasonOf(status));
    appendHeaders(out, headers);
    return out;
}

} // namespace ibisfork::http
