#include "settings/gatewaysettings.h"

#include <gtest/gtest.h>

#include "settings/exceptions.h"

namespace ibisfork::settings {

using namespace std::chrono_literals;

class GatewaySettingsTest : public testing::Test
{
protected:
    static std::string text(const std::string &bounds = {}, const std::string &more = {})
    {
        return "node: {name: n1, failure_domain: d1, region: r1}\n"
               "listen: {callers: '10.0.0.1:1', readiness: '10.0.0.1:2', operators: '10.0.0.1:3'}\n"
               "store: {address: '10.0.0.9:8223'}\n"
               "bounds: {"
            + bounds + "}\n" + more;
    }

    static std::string errorOf(const std::string &text)
    {
        try {
            parseGatewaySettings(text, "file.yaml");
        } catch (const SettingsError &error) {
            return error.what();
        }
        return {};
    }
};

TEST_F(GatewaySettingsTest, settings_complete_areRead)
{
    const auto settings = parseGatewaySettings(text("resend_ratio: 0.9, resend_window: 10s"), "file.yaml");
    EXPECT_EQ(settings.node.failureDomain, "d1");
    EXPECT_EQ(settings.store.port, 8223);
    EXPECT_EQ(settings.bounds.resendRatio, 0.9);
    EXPECT_EQ(settings.bounds.resendWindow, 10s);
}

TEST_F(GatewaySettingsTest, forwarding_notSet_isAnyPortOfTheOperatorsAddress)
{
    EXPECT_EQ(parseGatewaySettings(text(), "file.yaml").forwarding.text(), "10.0.0.1:0");
    auto withPort = text();
    withPort.replace(withPort.find("operators"), 9, "forwarding: '10.0.0.2:7', operators");
    EXPECT_EQ(parseGatewaySettings(withPort, "file.yaml").forwarding.text(), "10.0.0.2:7");
}

TEST_F(GatewaySettingsTest, duration_withFraction_isRead)
{
    EXPECT_EQ(parseGatewaySettings(text("engine_heartbeat: 1200ms"), "file.yaml").bounds.engineHeartbeat, 1200ms);
    EXPECT_EQ(parseGatewaySettings(text("shutdown_grace: 6.5s"), "file.yaml").bounds.shutdownGrace, 6500ms);
}

TEST_F(GatewaySettingsTest, limits_given_areRead)
{
    const auto limits
        = parseGatewaySettings(text({}, "limits: {memory_mb: 110, descriptors: 4100}\n"), "file.yaml").limits;
    EXPECT_EQ(limits.memory, 110UL * 1024 * 1024);
    EXPECT_EQ(limits.descriptors, 4100UL);
}

TEST_F(GatewaySettingsTest, limits_notGiven_areNone)
{
    for (const auto *more : {"", "limits:\n"}) {
        const auto limits = parseGatewaySettings(text({}, more), "file.yaml").limits;
        EXPECT_FALSE(limits.memory);
        EXPECT_FALSE(limits.descriptors);
    }
}

TEST_F(GatewaySettingsTest, waiting_isOffUnlessGiven)
{
    EXPECT_EQ(parseGatewaySettings(text(), "file.yaml").waiting.most, 0U);
    EXPECT_EQ(parseGatewaySettings(text({}, "waiting: {most: 50}\n"), "file.yaml").waiting.most, 50U);
}

TEST_F(GatewaySettingsTest, evidenceWrites_areBounded)
{
    const auto read = [](const std::string &bounds) {
        return parseGatewaySettings(text(bounds), "file.yaml").bounds.evidenceWritesPerSecond;
    };
    EXPECT_EQ(read("evidence_writes_per_second: 0.5"), 0.5);
    EXPECT_THROW(read("evidence_writes_per_second: 0"), SettingsError);
    EXPECT_THROW(read("evidence_writes_per_second: 1000"), SettingsError);
}

TEST_F(GatewaySettingsTest, unknownField_isRefusedWithTheNearestName)
{
    const auto error = errorOf(text("resend_ration: 1"));
    EXPECT_NE(error.find("file.yaml"), std::string::npos);
    EXPECT_NE(error.find("did you mean 'resend_ratio'"), std::string::npos);
}

TEST_F(GatewaySettingsTest, unknownField_reported_theOthersAreReadAndItIsNamedWithTheNearest)
{
    const auto withUnknown = text("resend_ration: 1, cold_factor: 1.5", "newer: {a: 1}\n");
    const auto settings = parseGatewaySettings(withUnknown, "file.yaml", UnknownFields::Report);
    EXPECT_EQ(settings.bounds.coldFactor, 1.5);
    ASSERT_EQ(settings.unknownFields.size(), 2U);
    EXPECT_NE(settings.unknownFields[0].find("did you mean 'resend_ratio'"), std::string::npos);
    EXPECT_NE(settings.unknownFields[1].find("'newer'"), std::string::npos);
}

TEST_F(GatewaySettingsTest, fieldWithoutAValue_countsAsNotGiven)
{
    const FleetBounds defaults;
    const auto bounds = parseGatewaySettings(text("cold_factor: , resend_window: ~, shutdown_grace: s"), "f").bounds;
    EXPECT_EQ(bounds.coldFactor, defaults.coldFactor);
    EXPECT_EQ(bounds.resendWindow, defaults.resendWindow);
    EXPECT_EQ(bounds.shutdownGrace, defaults.shutdownGrace);
}

TEST_F(GatewaySettingsTest, neededFieldWithoutAValue_isNamed)
{
    EXPECT_NE(errorOf("node: {name: , failure_domain: d1, region: r1}\n").find("'name' is required"),
              std::string::npos);
}

TEST_F(GatewaySettingsTest, durationWithoutUnit_isRefused)
{
    EXPECT_NE(errorOf(text("shutdown_grace: 8")).find("shutdown_grace"), std::string::npos);
}

TEST_F(GatewaySettingsTest, negativeAndEndlessNumbers_areRefused)
{
    EXPECT_FALSE(errorOf(text("resend_extra: -1")).empty());
    EXPECT_FALSE(errorOf(text("resend_window: nans")).empty());
}

TEST_F(GatewaySettingsTest, missingStore_isNamed)
{
    EXPECT_NE(errorOf("node: {name: n1, failure_domain: d1, region: r1}\n").find("callers"), std::string::npos);
}

} // namespace ibisfork::settings
