#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisfork::http {

struct Header
{
    std::string name;
    std::string value;
};

/// Headers in the order of the message; names compare without regard to case.
class HeaderList
{
public:
    void add(std::string name, std::string value);
    /// Gives the first header @p name this value, or adds it.
    void set(std::string_view name, std::string value);
    /// The value of the first header @p name, or nothing.
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;

    std::vector<Header>::const_iterator begin() const { return m_headers.begin(); }
    std::vector<Header>::const_iterator end() const { return m_headers.end(); }
    bool empty() const { return m_headers.empty(); }

private:
    std::vector<Header> m_headers;
};

struct RequestHead
{
    std::string method;
    std::string target;
    HeaderList headers;
};

struct ResponseHead
{
    int status = 0;
    HeaderList headers;
};

std::string lowerCase(std::string_view text);

bool equalNames(std::string_view left, std::string_view right);

/// True if the header concerns one connection only, or frames the body, and so is never passed on.
/// @p connectionValue is the value of the message's Connection header.
bool isHopByHop(std::string_view name, std::string_view connectionValue);

/// Turns a target that names its host ("http://host/path") into a path and the header Host.
void splitTarget(RequestHead &head);

/// The value of Content-Length, or nothing if there is none that can be read.
std::optional<std::size_t> contentLength(const HeaderList &headers);

/// The head of a request with a Content-Length for a body of @p bodyBytes, up to and with the empty line.
std::string serializeRequestHead(const RequestHead &head, std::size_t bodyBytes);

/// The request with a Content-Length for @p body, ready to be sent.
std::string serializeRequest(const RequestHead &head, std::string_view body);

/// The status line and @p headers up to and without the empty line.
std::string serializeResponseHead(int status, const HeaderList &headers);

} // namespace ibisfork::http
