#pragma once

#include <string>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/error.h>

#include "net/httpmessage.h"

namespace ibisfork::serving {

/// A request of a caller that can't be read.
class RequestError : public base::Error
{
public:
    using Error::Error;
};

/// A chat completion as a caller asks for it.
struct ChatRequest
{
    std::string model;
    bool stream = false;
    /// The caller's JSON, whole.
    std::string body;
};

/// Reads the body of a chat completion. Throws RequestError.
ChatRequest parseChatRequest(const std::string &body);

/// The body for an engine: the caller's with model and stream set.
std::string engineBody(const ChatRequest &request, const std::string &version);

/// The bearer key in @p headers, or an empty text.
std::string bearerKey(const net::HttpHeaders &headers);

/// The priority that the caller gives, from X-Priority; at most @p most, which also stands where it gives none. Throws
/// RequestError.
int priorityOf(const net::HttpHeaders &headers, int most);

/// The time that the caller gives, from X-Deadline-Ms; @p fallback where it gives none. Throws RequestError.
base::Duration deadlineOf(const net::HttpHeaders &headers, base::Duration fallback);

} // namespace ibisfork::serving
