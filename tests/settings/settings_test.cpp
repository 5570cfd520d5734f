#include "settings/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "settings/exceptions.h"

namespace ibisfork::settings {

using namespace std::chrono_literals;

class SettingsTest : public testing::Test
{
protected:
    std::string m_good = "node: {name: n1, failure_domain: a, region: r1}\n"
                         "listen: {callers: 127.0.0.1:0, operators: 127.0.0.1:0, peers: 127.0.0.1:0}\n"
                         "platform: {address: 127.0.0.1:9000}\n";

    static std::string errorOf(const std::string &text)
    {
        try {
            parseSettings(text, "node.yaml");
        } catch (const SettingsError &error) {
            return error.what();
        }
        return {};
    }
};

TEST_F(SettingsTest, parse_goodText_isTaken)
{
    const auto settings = parseSettings(m_good + "timing: {confirm_within: 4s}\n", "node.yaml");
    EXPECT_EQ(settings.node.name, "n1");
    EXPECT_EQ(settings.timing.confirmWithin, 4s);
}

TEST_F(SettingsTest, parse_unknownField_namesLineAndNearest)
{
    EXPECT_EQ(errorOf(m_good + "timing: {confirm_witin: 4s}\n"),
              "node.yaml: line 4: timing: unknown field 'confirm_witin'; did you mean 'confirm_within'?");
}

TEST_F(SettingsTest, parse_durationWithoutUnit_namesTheUnit)
{
    EXPECT_THAT(errorOf(m_good + "timing: {confirm_within: 4}\n"), testing::HasSubstr("250ms, 6s or 2m"));
}

TEST_F(SettingsTest, parse_hostName_isRefused)
{
    auto text = m_good;
    text.replace(text.find("127.0.0.1:9000"), 14, "localhost:9000");
    EXPECT_THAT(errorOf(text), testing::HasSubstr("IP:PORT"));
}

TEST_F(SettingsTest, parse_fieldMissing_isNamed)
{
    EXPECT_THAT(errorOf("node: {name: n1}\n"), testing::HasSubstr("'failure_domain' is required"));
}

} // namespace ibisfork::settings
