#include "http/messageparser.h"

#include <gtest/gtest.h>

namespace ibisfork::http {

constexpr std::size_t maxHead = 1024;

class MessageParserTest : public testing::Test
{
protected:
    MessageParser &parse(MessageKind kind, const std::string &bytes, std::size_t step = std::string::npos)
    {
        m_parser = std::make_unique<MessageParser>(kind, maxHead, [this](std::string_view part) { m_body += part; });
        m_used = 0;
        while (m_used < bytes.size()) {
            const auto used = m_parser->feed(std::string_view(bytes).substr(m_used, step));
            m_used += used;
            if (used == 0) {
                break;
            }
        }
        return *m_parser;
    }

    std::unique_ptr<MessageParser> m_parser;
    std::string m_body;
    std::size_t m_used = 0;
};

struct HeadCase
{
    const char *name;
    const char *bytes;
    ParseState state;
    const char *body = "";
};

std::ostream &operator<<(std::ostream &out, const HeadCase &item)
{
    return out << item.name;
}

class RequestCasesTest : public MessageParserTest, public testing::WithParamInterface<HeadCase>
{
};

TEST_P(RequestCasesTest, request_fedWhole_endsAsExpected)
{
    const auto &parser = parse(MessageKind::Request, GetParam().bytes);
    EXPECT_EQ(parser.state(), GetParam().state);
    if (GetParam().state == ParseState::Complete) {
        EXPECT_EQ(m_body, GetParam().body);
    }
}

TEST_P(RequestCasesTest, request_fedByteByByte_endsAsExpected)
{
    const auto &parser = parse(MessageKind::Request, GetParam().bytes, 1);
    EXPECT_EQ(parser.state(), GetParam().state);
}

INSTANTIATE_TEST_SUITE_P(
    Framing,
    RequestCasesTest,
    testing::Values(
        HeadCase{"plain", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", ParseState::Complete},
        HeadCase{"length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", ParseState::Complete, "abc"},
        HeadCase{"chunked",
                 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
                 ParseState::Complete,
                 "abc"},
        HeadCase{"chunk extension",
                 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n",
                 ParseState::Complete,
                 "abc"},
        HeadCase{"trailer",
                 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
                 ParseState::Complete,
                 "abc"},
        HeadCase{"space before colon",
                 "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 70\r\n\r\n",
                 ParseState::Malformed},
        HeadCase{"two lengths that differ",
                 "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 5\r\n\r\nabcde",
                 ParseState::Malformed},
        HeadCase{"two lengths alike",
                 "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
                 ParseState::Malformed},
        HeadCase{"signed length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: +7\r\n\r\n", ParseState::Malformed},
        HeadCase{"negative length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n", ParseState::Malformed},
        HeadCase{"length list", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3, 3\r\n\r\n", ParseState::Malformed},
        HeadCase{"bare line feed", "GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n", ParseState::Malformed},
        HeadCase{"bare carriage return", "GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n", ParseState::Malformed},
        HeadCase{"folded line", "GET /a HTTP/1.1\r\nHost: h\r\n folded\r\n\r\n", ParseState::Malformed},
        HeadCase{"length and chunks",
                 "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                 ParseState::Malformed},
        HeadCase{"unknown encoding",
                 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: xchunked\r\n\r\n",
                 ParseState::Malformed},
        HeadCase{"two encodings",
                 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
                 ParseState::Malformed},
        HeadCase{"chunk size that is no number",
                 "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n-3\r\nabc\r\n",
                 ParseState::Malformed},
        HeadCase{"empty line before", "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", ParseState::Complete},
        HeadCase{"two empty lines before", "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", ParseState::Complete},
        HeadCase{"empty value", "GET /a HTTP/1.1\r\nHost: h\r\nX:\r\n\r\n", ParseState::Complete},
        HeadCase{"HTTP/1.0", "GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", ParseState::Complete},
        HeadCase{"offer of another protocol",
                 "POST /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 3\r\n\r\nabc",
                 ParseState::Complete,
                 "abc"},
        HeadCase{"offer of another protocol without a body",
                 "GET /a HTTP/1.1\r\nHost: h\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
                 ParseState::Complete},
        HeadCase{"bare line feed before", "\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", ParseState::Malformed},
        HeadCase{"no method", "HELLO\r\n\r\n", ParseState::Malformed},
        HeadCase{"control byte in a value", "GET /a HTTP/1.1\r\nHost: h\x01\r\n\r\n", ParseState::Malformed},
        HeadCase{"empty header name", "GET /a HTTP/1.1\r\n: h\r\n\r\n", ParseState::Malformed},
        HeadCase{"upgrade by CONNECT", "CONNECT a:1 HTTP/1.1\r\nHost: h\r\n\r\n", ParseState::Malformed},
        HeadCase{"unfinished head", "GET /a HTTP/1.1\r\nHost: h\r\n", ParseState::Head},
        HeadCase{"unfinished body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nabc", ParseState::Body}));

class ResponseCasesTest : public MessageParserTest, public testing::WithParamInterface<HeadCase>
{
};

TEST_P(ResponseCasesTest, response_fedWhole_endsAsExpected)
{
    const auto &parser = parse(MessageKind::Response, GetParam().bytes);
    EXPECT_EQ(parser.state(), GetParam().state);
    EXPECT_EQ(m_body, GetParam().body);
}

TEST_P(ResponseCasesTest, response_fedByteByByte_endsAsExpected)
{
    const auto &parser = parse(MessageKind::Response, GetParam().bytes, 1);
    EXPECT_EQ(parser.state(), GetParam().state);
    EXPECT_EQ(m_body, GetParam().body);
}

INSTANTIATE_TEST_SUITE_P(
    Interim,
    ResponseCasesTest,
    testing::Values(
        HeadCase{"continue",
                 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                 ParseState::Complete,
                 "abc"},
        HeadCase{"three of two kinds",
                 "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n"
                 "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
                 ParseState::Complete,
                 "abc"},
        HeadCase{"with a length", "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n", ParseState::Head},
        HeadCase{"status 000", "HTTP/1.1 000 Trouble\r\nContent-Length: 3\r\n\r\nabc", ParseState::Malformed},
        HeadCase{"status 099", "HTTP/1.1 099 Trouble\r\nContent-Length: 3\r\n\r\nabc", ParseState::Malformed},
        HeadCase{"status 600", "HTTP/1.1 600 Trouble\r\nContent-Length: 3\r\n\r\nabc", ParseState::Malformed},
        HeadCase{"status of two digits", "HTTP/1.1 20 OK\r\nContent-Length: 3\r\n\r\nabc", ParseState::Malformed},
        HeadCase{"status of four digits", "HTTP/1.1 0200 OK\r\nContent-Length: 3\r\n\r\nabc", ParseState::Malformed},
        HeadCase{"status with a letter", "HTTP/1.1 20a OK\r\nContent-Length: 3\r\n\r\nabc", ParseState::Malformed},
        HeadCase{"two spaces before the status",
                 "HTTP/1.1  200 OK\r\nContent-Length: 3\r\n\r\nabc",
                 ParseState::Malformed},
        HeadCase{"no reason", "HTTP/1.1 200\r\nContent-Length: 3\r\n\r\nabc", ParseState::Complete, "abc"},
        HeadCase{"highest status", "HTTP/1.0 599 X\r\nContent-Length: 3\r\n\r\nabc", ParseState::Complete, "abc"},
        HeadCase{"no final answer yet", "HTTP/1.1 102 Processing\r\n\r\n", ParseState::Head},
        HeadCase{"change of protocol",
                 "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\n",
                 ParseState::Malformed},
        HeadCase{"change of protocol that names none",
                 "HTTP/1.1 101 Switching Protocols\r\n\r\n",
                 ParseState::Malformed}));

TEST_F(MessageParserTest, onHead_ofInterimAnswers_isCalledForTheFinalOneOnly)
{
    std::vector<int> statuses;
    std::unique_ptr<MessageParser> parser;
    parser = std::make_unique<MessageParser>(
        MessageKind::Response,
        maxHead,
        [](std::string_view) {},
        [&] { statuses.push_back(parser->response().status); });
    parser->feed("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
    EXPECT_TRUE(statuses.empty());
    parser->feed("HTTP/1.1 204 No Content\r\n\r\n");
    EXPECT_EQ(statuses, std::vector<int>{204});
    EXPECT_FALSE(parser->response().headers.find("Link"));
}

TEST_F(MessageParserTest, interimAnswers_withoutEnd_areMalformed)
{
    MessageParser parser(MessageKind::Response, maxHead, [](std::string_view) {});
    for (int i = 0; i < 2000 && parser.state() == ParseState::Head; ++i) {
        parser.feed("HTTP/1.1 102 Processing\r\n\r\n");
    }
    EXPECT_EQ(parser.state(), ParseState::Malformed);
}

TEST_F(MessageParserTest, interimAnswers_toHead_leaveTheFinalOneWithoutBody)
{
    MessageParser parser(MessageKind::Response, maxHead, [](std::string_view) {});
    parser.reset(true);
    parser.feed("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    EXPECT_EQ(parser.state(), ParseState::Complete);
}

TEST_F(MessageParserTest, emptyLines_afterARequest_beginNone)
{
    MessageParser parser(MessageKind::Request, maxHead, [](std::string_view) {});
    EXPECT_EQ(parser.feed("\r\n\r\n"), 4U);
    EXPECT_TRUE(parser.untouched());
}

TEST_F(MessageParserTest, twoRequests_inOneRead_firstOnlyIsTaken)
{
    const std::string first = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc";
    const auto &parser = parse(MessageKind::Request, first);
    EXPECT_EQ(parser.state(), ParseState::Complete);
    MessageParser again(MessageKind::Request, maxHead, [](std::string_view) {});
    EXPECT_EQ(again.feed(first + "GET /b HTTP/1.1\r\n\r\n"), first.size());
}

TEST_F(MessageParserTest, head_longerThanAllowed_isRefusedAsTooLong)
{
    const auto &parser = parse(MessageKind::Request, "GET /a HTTP/1.1\r\nX: " + std::string(2 * maxHead, 'x'));
    EXPECT_EQ(parser.state(), ParseState::Malformed);
    EXPECT_TRUE(parser.headTooLong());
}

TEST_F(MessageParserTest, responseWithoutLength_connectionEnds_isComplete)
{
    auto &parser = parse(MessageKind::Response, "HTTP/1.1 200 OK\r\n\r\nabc");
    EXPECT_EQ(parser.state(), ParseState::Body);
    EXPECT_TRUE(parser.lengthUnknown());
    parser.finish();
    EXPECT_EQ(parser.state(), ParseState::Complete);
    EXPECT_EQ(m_body, "abc");
    EXPECT_FALSE(parser.keepsAlive());
}

TEST_F(MessageParserTest, responseWithLength_connectionEndsEarly_isNotComplete)
{
    auto &parser = parse(MessageKind::Response, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
    parser.finish();
    EXPECT_NE(parser.state(), ParseState::Complete);
}

TEST_F(MessageParserTest, chunkedResponse_connectionEndsEarly_isNotComplete)
{
    auto &parser = parse(MessageKind::Response, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
    parser.finish();
    EXPECT_NE(parser.state(), ParseState::Complete);
}

TEST_F(MessageParserTest, responseToHead_withLength_hasNoBody)
{
    MessageParser parser(MessageKind::Response, maxHead, [this](std::string_view part) { m_body += part; });
    parser.reset(true);
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
    EXPECT_EQ(parser.state(), ParseState::Complete);
}

TEST_F(MessageParserTest, onHead_ofResponseWithBody_comesBeforeTheBody)
{
    std::string order;
    MessageParser parser(
        MessageKind::Response, maxHead, [&](std::string_view) { order += 'b'; }, [&] { order += 'h'; });
    parser.feed("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
    EXPECT_EQ(order, "hb");
}

} // namespace ibisfork::http
