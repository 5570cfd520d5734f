#include "serving/session.h"

#include <gtest/gtest.h>

namespace ibisfork::serving {

class SessionTest : public testing::Test
{
protected:
    SessionTest()
    {
        m_keys["k1"] = {"k1", "the first secret of the fleet", fleet::SessionKeyState::Signing};
        m_session = newSession("w");
        m_session.version = fleet::VersionId{"report", "v1"};
        extendSession(m_session, m_now);
    }

    std::string token() const { return signSession(m_session, *signingKey(m_keys)); }

    /// "ok", or the error text.
    std::string read(const std::string &token, const std::string &workspace = "w") const
    {
        const auto result = readSession(token, m_keys, workspace, m_now + std::chrono::seconds(1));
        const auto *error = std::get_if<SessionError>(&result);
        return error != nullptr ? std::string(base::nameOf(sessionErrorTexts, *error)) : "ok";
    }

    static std::string text(SessionError error) { return std::string(base::nameOf(sessionErrorTexts, error)); }

    WallTime m_now{std::chrono::seconds(1'800'000'000)};
    SessionKeys m_keys;
    Session m_session;
};

TEST_F(SessionTest, token_ofThisFleet_givesBackSession)
{
    const auto result = readSession(token(), m_keys, "w", m_now);
    const auto &session = std::get<Session>(result);
    EXPECT_EQ(session.id, m_session.id);
    EXPECT_EQ(session.version, m_session.version);
    EXPECT_EQ(session.expiresAt, m_session.expiresAt);
}

TEST_F(SessionTest, token_anyByteChanged_isRefused)
{
    const auto good = token();
    // The low bits of the last base64 character are padding, so another character may decode to the same bytes; the
    // signature must be compared as text.
    for (std::size_t i = 0; i < good.size(); ++i) {
        auto bad = good;
        bad[i] = bad[i] == 'A' ? 'B' : 'A';
        EXPECT_NE(read(bad), "ok") << i;
    }
}

TEST_F(SessionTest, token_truncatedAnywhere_isRefused)
{
    const auto good = token();
    for (std::size_t length = 0; length < good.size(); ++length) {
        EXPECT_NE(read(good.substr(0, length)), "ok") << length;
    }
    EXPECT_NE(read(good + "A"), "ok");
    EXPECT_EQ(read(std::string(100000, '.')), text(SessionError::Malformed));
}

TEST_F(SessionTest, token_signedWithOtherSecret_isForged)
{
    const auto forged = signSession(m_session, {"k1", "a secret that was guessed", fleet::SessionKeyState::Signing});
    EXPECT_EQ(read(forged), text(SessionError::BadSignature));
}

TEST_F(SessionTest, token_ofOtherWorkspace_isRefused)
{
    EXPECT_EQ(read(token(), "other"), text(SessionError::WrongWorkspace));
}

TEST_F(SessionTest, token_afterItsEnd_isExpired)
{
    const auto result = readSession(token(), m_keys, "w", m_session.expiresAt);
    EXPECT_EQ(std::get<SessionError>(result), SessionError::Expired);
}

TEST_F(SessionTest, keyRotated_oldKeyAccepting_oldTokensHoldAndNewOnesUseNewKey)
{
    const auto old = token();
    m_keys["k1"].state = fleet::SessionKeyState::Accepting;
    m_keys["k2"] = {"k2", "the second secret of the fleet", fleet::SessionKeyState::Signing};
    EXPECT_EQ(read(old), "ok");
    EXPECT_TRUE(token().starts_with("s1.k2."));
    m_keys.erase("k1");
    EXPECT_EQ(read(old), text(SessionError::UnknownKey));
}

} // namespace ibisfork::serving
