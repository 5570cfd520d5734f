#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace ibisfork::http {

/// How a caller is told where the body of an answer ends, and whether another request may follow.
class AnswerFraming
{
public:
    /// Begins with a request: the answer to HEAD has no body, HTTP/1.0 has no chunks.
    void reset(bool isHeadRequest, bool isHttp10);
    /// Chooses for an answer of @p length bytes, or one whose length is not known.
    void begin(int status, std::optional<std::size_t> length);

    bool hasBody() const { return m_end != BodyEnd::None; }
    bool endsWithConnection() const { return m_end == BodyEnd::Connection; }
    /// The header lines for it and the empty line.
    std::string headerLines(bool closeAfter) const;
    /// What stands before a piece of @p bytes, and after it.
    std::string beforePiece(std::size_t bytes) const;
    std::string_view afterPiece() const;
    /// What stands after the last piece.
    std::string_view afterBody() const;

private:
    /// What ends a body.
    enum class BodyEnd {
        None, ///< There is no body.
        Length, ///< The length in the head.
        Chunk, ///< The last one of the chunks.
        Connection, ///< The end of the connection.
    };

    BodyEnd bodyEnd(int status) const;

    bool m_isHeadRequest = false;
    bool m_isHttp10 = false;
    std::optional<std::size_t> m_length;
    BodyEnd m_end = BodyEnd::None;
};

} // namespace ibisfork::http
