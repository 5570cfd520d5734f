#include "configcheck/check.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace ibisfork::configcheck {

using namespace std::chrono_literals;
using testing::Contains;
using testing::IsEmpty;

class ConfigurationCheckTest : public testing::Test
{
protected:
    ConfigurationCheckTest()
    {
        m_configuration.version = 7;
        m_configuration.services["s"].name = "s";
        m_configuration.services["s"].models = {{"small", 1}, {"large", 10}};
        m_configuration.routes = {route("chat", "/chat/"), route("read", "/read/")};
        m_configuration.hasWorkspaces = true;
        m_configuration.workspacesByKey["key1"] = {"w1", {}};
    }

    static gateway::Route route(const std::string &name, const std::string &path)
    {
        gateway::Route route;
        route.name = name;
        route.host = "h.example";
        route.pathPrefix = path;
        route.maxUpstreams = 3;
        route.services = {{"s", 1}};
        return route;
    }

    static std::vector<std::string> textsOf(const std::vector<Finding> &findings)
    {
        std::vector<std::string> texts;
        for (const auto &finding : findings) {
            texts.push_back(std::string(base::nameOf(findingKindNames, finding.kind)) + ": " + finding.where + ": "
                            + finding.text);
        }
        return texts;
    }

    std::vector<std::string> checked() const { return textsOf(check(m_configuration)); }

    gateway::Configuration m_configuration;
};

TEST_F(ConfigurationCheckTest, check_soundConfiguration_findsNothing)
{
    EXPECT_THAT(checked(), IsEmpty());
}

TEST_F(ConfigurationCheckTest, check_unknownServiceAndModel_areErrors)
{
    m_configuration.routes[0].services = {{"gone", 1}};
    m_configuration.routes[1].models = {"small", "huge"};
    EXPECT_THAT(checked(), Contains("error: route chat: unknown service gone"));
    EXPECT_THAT(checked(), Contains("error: route read: s has no model huge"));
}

TEST_F(ConfigurationCheckTest, check_serviceThatListsNoModels_mayHaveAny)
{
    m_configuration.services["s"].models.clear();
    m_configuration.routes[1].models = {"small", "huge"};
    EXPECT_THAT(checked(), IsEmpty());
}

TEST_F(ConfigurationCheckTest, check_secondRouteOfOnePlace_neverMatches)
{
    m_configuration.routes.push_back(route("other", "/chat/"));
    EXPECT_THAT(checked(),
                Contains("never matches: route other: route chat has the same host and path and goes first"));
}

TEST_F(ConfigurationCheckTest, check_hostWithPort_andServiceWithoutRoute_neverMatch)
{
    m_configuration.routes[0].host = "h.example:80";
    m_configuration.services["spare"].name = "spare";
    EXPECT_THAT(checked(), Contains("never matches: route chat: no host is 'h.example:80'; ports are left out"));
    EXPECT_THAT(checked(), Contains("never matches: service spare: no route leads to it"));
}

TEST_F(ConfigurationCheckTest, check_limitsThatContradictEachOther_areNamed)
{
    m_configuration.routes[0].objective = 40s;
    m_configuration.routes[1].objective = 0s;
    m_configuration.routes[1].models = {"small", "large"};
    m_configuration.routes[1].maxUpstreams = 1;
    EXPECT_THAT(checked(), Contains("contradiction: route read: objective of 0 ms: no answer is in time"));
    EXPECT_THAT(checked(),
                Contains("contradiction: route chat: objective of 40000 ms is longer than the timeout of 30000 ms"));
    EXPECT_THAT(checked(),
                Contains("contradiction: route read: several models, but one attempt: only the smallest ever answers"));
}

TEST_F(ConfigurationCheckTest, check_noWorkspaceHasAKey_isAnError)
{
    m_configuration.workspacesByKey.clear();
    EXPECT_THAT(checked(), Contains("error: workspaces: none has a key, but there are routes that need one"));
}

TEST_F(ConfigurationCheckTest, difference_entriesAndFields_areNamed_andKeysOnlyCounted)
{
    auto next = m_configuration;
    next.version = 8;
    next.routes[0].timeout = 5s;
    next.routes[1] = route("write", "/write/");
    next.workspacesByKey = {{"secret", {"w1", {}}}};
    const auto texts = textsOf(difference(m_configuration, next));
    EXPECT_THAT(texts,
                testing::UnorderedElementsAre("difference: route chat: timeout: 30000 ms to 5000 ms",
                                              "difference: route read: removed",
                                              "difference: route write: added",
                                              "difference: workspace w1: 1 keys added, 1 removed"));
}

TEST_F(ConfigurationCheckTest, difference_priorityOfAWorkspace_andWhetherKeysAreNeeded_areNamed)
{
    auto next = m_configuration;
    next.version = 8;
    next.workspacesByKey["key1"].priority = 2;
    next.hasWorkspaces = false;
    EXPECT_THAT(textsOf(difference(m_configuration, next)),
                testing::UnorderedElementsAre("difference: workspace w1: priority: that of the route to 2",
                                              "difference: workspaces: keys needed: yes to no"));
}

TEST_F(ConfigurationCheckTest, difference_versionIsNotNewer_isAnError)
{
    EXPECT_THAT(textsOf(difference(m_configuration, m_configuration)),
                Contains("error: version: 7 is not above 7, which is in force"));
}

} // namespace ibisfork::configcheck
