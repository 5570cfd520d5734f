#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <fmt/format.h>

#include <ibisfork/fleet/check.h>
#include <ibisfork/fleet/exceptions.h>
#include <ibisfork/fleet/rows.h>
#include <ibisfork/fleet/rules.h>
#include <ibisfork/fleet/yaml.h>

namespace ibisfork::fleet {

class ExceptionTest : public testing::Test
{
protected:
    static std::string document(const std::string &exception)
    {
        return "defaults: {quality_target: 0.8}\n"
               "failure_domains: [{name: a, region: r}]\n"
               "versions: [{model: m, version: v1}]\n"
               "workspaces: [{name: w1, keys: [k1], versions: [m@v1]}, {name: w2, keys: [k2], versions: [m@v1]}]\n"
               "upstreams: [{id: e1, address: '127.0.0.1:1', failure_domain: a, versions: [m@v1]}]\n"
               "exceptions: ["
            + exception + "]\n";
    }

    static std::string exception(const std::string &field, const std::string &value, const std::string &rest = "")
    {
        return fmt::format("{{id: x, workspace: w1, field: {}, value: '{}', reason: finals{}}}", field, value, rest);
    }

    static Config inForce(const std::string &text, const std::string &day)
    {
        return configFromRows({7, rowsFromConfig(configFromYaml(text))}, day);
    }

    static std::string refusal(const std::string &text)
    {
        try {
            configFromYaml(text);
        } catch (const ConfigError &error) {
            return error.what();
        }
        return {};
    }
};

TEST_F(ExceptionTest, apply_oneField_overridesOneWorkspaceOnly)
{
    const auto config = inForce(document(exception("quality_target", "0.95")), "2026-12-03");
    EXPECT_EQ(config.workspaces.at("w1").rules.qualityTarget, 0.95);
    EXPECT_EQ(config.workspaces.at("w2").rules.qualityTarget, 0.8);
}

TEST_F(ExceptionTest, apply_everyField_takesEffect)
{
    WorkspaceRules rules;
    rules = withField(rules, "quality_target", "0.5");
    rules = withField(rules, "cost_bound", "12");
    rules = withField(rules, "priority", "3");
    rules = withField(rules, "share", "2.5");
    rules = withField(rules, "withdrawn_session", "end");
    rules = withField(rules, "cascade", "false");
    EXPECT_EQ(rules.qualityTarget, 0.5);
    EXPECT_EQ(rules.costBound, 12.0);
    EXPECT_EQ(rules.priority, 3);
    EXPECT_EQ(rules.share, 2.5);
    EXPECT_EQ(rules.withdrawnSession, WithdrawnSessionRule::End);
    EXPECT_FALSE(rules.cascade);
}

TEST_F(ExceptionTest, apply_endDate_holdsToTheEndOfThatDay)
{
    const auto text = document(exception("priority", "5", ", until: '2026-12-31'"));
    EXPECT_EQ(inForce(text, "2026-12-31").workspaces.at("w1").rules.priority, 5);
    EXPECT_EQ(inForce(text, "2027-01-01").workspaces.at("w1").rules.priority, 1);
}

TEST_F(ExceptionTest, check_badException_isNamed)
{
    const std::vector<std::pair<std::string, std::string>> table{
        {exception("qualty_target", "1"), "exception x: unknown field 'qualty_target'"},
        {exception("quality_target", "1.5"), "not a number from 0 to 1"},
        {exception("quality_target", "nan"), "not a number from 0 to 1"},
        {exception("priority", "high"), "not a number from 0 to 9"},
        {exception("share", "0"), "not a number from 0.001"},
        {exception("cascade", "yes"), "neither true nor false"},
        {exception("withdrawn_session", "stay"), "is not end or move"},
        {exception("priority", "2", ", until: '2026-02-30'"), "is not a day"},
        {exception("priority", "2", ", until: 'soon'"), "is not a day"},
        {"{id: x, workspace: w1, field: priority, value: '2', reason: ' '}", "a written reason is required"},
        {"{id: x, workspace: w1, field: priority, value: '2'}", "reason"},
        {"{id: x, workspace: w9, field: priority, value: '2', reason: r}", "exception x: unknown workspace w9"},
        {exception("priority", "2") + "," + exception("priority", "3"), "exception x is given twice"},
    };
    for (const auto &[text, message] : table) {
        EXPECT_THAT(refusal(document(text)), testing::HasSubstr(message)) << text;
    }
}

class ConfigCheckTest : public ExceptionTest
{
protected:
    coord::Rows m_rows = rowsFromConfig(configFromYaml(document(exception("priority", "2"))));

    std::string refusalOfChange(const std::vector<coord::RowChange> &change) const
    {
        try {
            checkChange(m_rows, change);
        } catch (const ConfigError &error) {
            return error.what();
        }
        return {};
    }
};

TEST_F(ConfigCheckTest, check_namesThatLeadNowhere_areAllNamed)
{
    const auto message
        = refusal("versions: [{model: m, version: v1}]\n"
                  "workspaces: [{name: w1, keys: [k], versions: [m@v2], services: [booking]},"
                  " {name: w2, keys: [k]}]\n"
                  "upstreams: [{id: e1, address: '127.0.0.1:1', failure_domain: z, versions: [m@v3]}]\n");
    EXPECT_THAT(message, testing::HasSubstr("workspace w1: unknown version m@v2"));
    EXPECT_THAT(message, testing::HasSubstr("workspace w1: no upstream serves booking"));
    EXPECT_THAT(message, testing::HasSubstr("workspace w2: a key is held by w1 too"));
    EXPECT_THAT(message, testing::HasSubstr("upstream e1: unknown failure domain z"));
    EXPECT_THAT(message, testing::HasSubstr("upstream e1: unknown version m@v3"));
}

TEST_F(ConfigCheckTest, change_unreadableRow_isRefused)
{
    EXPECT_THAT(refusalOfChange({{"config/version/m@v2", "{"}}), testing::HasSubstr("config/version/m@v2"));
    EXPECT_THAT(refusalOfChange({{"config/exception/y", R"({"workspace":"w1","field":"p","value":"1","reason":"r"})"}}),
                testing::HasSubstr("config/exception/y"));
}

TEST_F(ConfigCheckTest, change_removesWhatIsStillNamed_isRefused)
{
    EXPECT_THAT(refusalOfChange({{"config/version/m@v1", std::nullopt}}), testing::HasSubstr("unknown version m@v1"));
}

TEST_F(ConfigCheckTest, change_mendsOneOfTwoProblems_isTaken)
{
    m_rows.erase("config/failure-domain/a");
    m_rows.erase("config/version/m@v1");
    EXPECT_EQ(refusalOfChange({{"config/failure-domain/a", R"({"region":"r"})"}}), "");
}

TEST_F(ConfigCheckTest, rows_namesThatLeadNowhere_arePassedOver)
{
    m_rows.erase("config/workspace/w1");
    m_rows.erase("config/version/m@v1");
    EXPECT_NO_THROW(configFromRows({8, m_rows}));
}

} // namespace ibisfork::fleet
