#pragma once

#include <string>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/error.h>

#include "net/httpmessage.h"

namespace ibisfork::serving {

/// Thrown when a caller's request is malformed; the message is sent to the caller.
class RequestError : public base::Error
{
public:
    using Error::Error;
};

/// A caller's chat completion request.
struct ChatRequest
{
    std::string model;
    bool stream = false;
    /// The unchanged JSON body.
    std::string body;
};

/// Parses the body of a chat completion request. Throws RequestError.
ChatRequest parseChatRequest(const std::string &body);

/// The body to send to an engine: the caller's body with model set to @p version and stream set to true.
std::string engineBody(const ChatRequest &request, const std::string &version);

/// The bearer key in @p headers, or an empty string.
std::string bearerKey(const net::HttpHeaders &headers);

/// The priority in X-Priority, capped at @p maxPriority, which is also the default. Throws RequestError.
int parsePriority(const net::HttpHeaders &headers, int maxPriority);

/// The deadline in X-Deadline-Ms, capped at @p maxDeadline, which is also the default. Throws RequestError.
base::Duration parseDeadline(const net::HttpHeaders &headers, base::Duration maxDeadline);

} // namespace ibisfork::serving
