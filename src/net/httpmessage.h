#pragma once

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace ibisfork::net {

enum class HttpMethod { Get, Post, Put, Delete, Patch, Head, Options };

/// Header fields in the order in which they came.
class HttpHeaders
{
public:
    void add(std::string name, std::string value) { m_fields.emplace_back(std::move(name), std::move(value)); }
    /// The first value of @p name, whatever its case.
    std::optional<std::string> find(const std::string &name) const;
    const std::vector<std::pair<std::string, std::string>> &fields() const { return m_fields; }

private:
    std::vector<std::pair<std::string, std::string>> m_fields;
};

/// A request to an outside system.
struct HttpRequest
{
    HttpMethod method = HttpMethod::Get;
    std::string path;
    HttpHeaders headers;
    std::string body;
};

/// Status and headers of an answer.
struct HttpHead
{
    int status = 0;
    HttpHeaders headers;
};

/// A whole answer.
struct HttpResponse
{
    HttpHead head;
    std::string body;
};

/// Refused: nobody listens at the address. Connect: the connection was not made for another reason.
enum class HttpFailureKind { Refused, Connect, Timeout, Closed, Malformed, TooLong };

/// Why no whole answer came, and whether a byte of the request may have left.
struct HttpFailure
{
    HttpFailureKind kind = HttpFailureKind::Closed;
    bool bytesLeft = false;
};

} // namespace ibisfork::net
