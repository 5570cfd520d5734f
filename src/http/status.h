#pragma once

/// Status codes that the project sets or decides by.
namespace ibisfork::http::status {

inline constexpr int firstInterim = 100;
inline constexpr int switchingProtocols = 101;
inline constexpr int ok = 200;
inline constexpr int firstSuccess = 200;
inline constexpr int noContent = 204;
inline constexpr int firstRedirect = 300;
inline constexpr int notModified = 304;
inline constexpr int badRequest = 400;
inline constexpr int unauthorized = 401;
inline constexpr int notFound = 404;
inline constexpr int requestTimeout = 408;
inline constexpr int gone = 410;
inline constexpr int conditionFailed = 412;
inline constexpr int bodyTooLarge = 413;
inline constexpr int misdirected = 421;
inline constexpr int tooManyRequests = 429;
inline constexpr int headTooLarge = 431;
inline constexpr int firstServerError = 500;
inline constexpr int badGateway = 502;
inline constexpr int unavailable = 503;
inline constexpr int gatewayTimeout = 504;

constexpr bool isSuccess(int status)
{
    return status >= firstSuccess && status < firstRedirect;
}

constexpr bool isServerError(int status)
{
    return status >= firstServerError;
}

/// True if a final answer with @p status may have a body.
constexpr bool mayHaveBody(int status)
{
    return status >= firstSuccess && status != noContent && status != notModified;
}

} // namespace ibisfork::http::status
