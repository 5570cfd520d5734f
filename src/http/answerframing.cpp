#include "http/answerframing.h"

#include <fmt/format.h>

#include "http/status.h"

namespace ibisfork::http {

void AnswerFraming::reset(bool isHeadRequest, bool isHttp10)
{
    m_isHeadRequest = isHeadRequest;
    m_isHttp10 = isHttp10;
    m_length.reset();
    m_end = BodyEnd::None;
}

void AnswerFraming::begin(int status, std::optional<std::size_t> length)
{
    m_length = length;
    m_end = bodyEnd(status);
}

AnswerFraming::BodyEnd AnswerFraming::bodyEnd(int status) const
{
    if (m_isHeadRequest || !status::mayHaveBody(status)) {
        return BodyEnd::None;
    }
    if (m_length) {
        return BodyEnd::Length;
    }
    return m_isHttp10 ? BodyEnd::Connection : BodyEnd::Chunk;
}

std::string AnswerFraming::headerLines(bool closeAfter) const
{
    std::string lines;
    if (m_end == BodyEnd::Length) {
        lines = fmt::format("Content-Length: {}\r\n", *m_length);
    } else if (m_end == BodyEnd::Chunk) {
        lines = "Transfer-Encoding: chunked\r\n";
    }
    if (closeAfter) {
        lines += "Connection: close\r\n";
    } else if (m_isHttp10) {
        // Its sender expects the end of the connection unless it is told otherwise.
        lines += "Connection: keep-alive\r\n";
    }
    return lines + "\r\n";
}

std::string AnswerFraming::beforePiece(std::size_t bytes) const
{
    return m_end == BodyEnd::Chunk ? fmt::format("{:x}\r\n", bytes) : std::string();
}

std::string_view AnswerFraming::afterPiece() const
{
    return m_end == BodyEnd::Chunk ? "\r\n" : "";
}

std::string_view AnswerFraming::afterBody() const
{
    return m_end == BodyEnd::Chunk ? "0\r\n\r\n" : "";
}

} // namespace ibisfork::http
