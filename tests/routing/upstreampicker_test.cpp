#include "routing/upstreampicker.h"

#include <map>

#include <fmt/format.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace ibisfork::routing {

class UpstreamPickerTest : public testing::Test
{
protected:
    UpstreamPickerTest()
    {
        for (const auto *domain : {"d1", "d2"}) {
            m_config.failureDomains[domain] = {domain, "r1", fleet::DomainState::In};
        }
        m_config.failureDomains["far"] = {"far", "r2", fleet::DomainState::In};
    }

    void add(const std::string &id, const std::string &domain)
    {
        fleet::Upstream upstream;
        upstream.id = id;
        upstream.failureDomain = domain;
        upstream.versions = {m_version};
        m_config.upstreams[id] = upstream;
        m_capacities[id] = {4, 0, 0};
    }

    UpstreamCapacity capacityOf(const std::string &upstream) { return m_capacities.at(upstream); }

    std::string pick(const UpstreamPicker &picker)
    {
        m_excluded.clear();
        return picker.pickEngine(
            m_version,
            {m_tried, m_domain},
            [this](const std::string &upstream) { return capacityOf(upstream); },
            m_excluded);
    }
    std::string pick() { return pick(UpstreamPicker(m_config, m_usable, 1)); }

    fleet::Config m_config;
    fleet::VersionId m_version{"report", "v1"};
    std::map<std::string, UpstreamCapacity> m_capacities;
    std::vector<std::string> m_tried;
    std::string m_domain = "d1";
    UpstreamFilter m_usable;
    std::vector<ExcludedCandidate> m_excluded;
};

TEST_F(UpstreamPickerTest, pick_equalLoad_choosesTheSameFailureDomain)
{
    add("e1", "d2");
    add("e2", "d1");
    EXPECT_EQ(pick(), "e2");
}

TEST_F(UpstreamPickerTest, pick_sameDomainBusier_choosesTheOther)
{
    add("e1", "d2");
    add("e2", "d1");
    m_capacities["e2"].occupancy = 0.5;
    EXPECT_EQ(pick(), "e1");
}

TEST_F(UpstreamPickerTest, pick_otherRegion_isChosenOnlyIfTheOwnRegionIsMuchBusier)
{
    add("e1", "far");
    add("e2", "d2");
    m_capacities["e2"].occupancy = 0.2;
    EXPECT_EQ(pick(), "e2");
    m_capacities["e2"].occupancy = 0.9;
    EXPECT_EQ(pick(), "e1");
}

TEST_F(UpstreamPickerTest, pick_closedUpstreams_namesTheReasons)
{
    add("e1", "d1");
    add("e2", "d2");
    add("e3", "d1");
    add("e4", "d1");
    m_config.upstreams["e1"].state = fleet::UpstreamState::Draining;
    m_config.failureDomains["d2"].state = fleet::DomainState::TakenOut;
    m_capacities["e3"].free = 0;
    m_tried = {"e4"};
    EXPECT_EQ(pick(), "");
    std::map<std::string, ExclusionReason> reasons;
    for (const auto &excluded : m_excluded) {
        reasons[std::string(excluded.candidate)] = excluded.reason;
    }
    EXPECT_THAT(reasons,
                testing::ElementsAre(testing::Pair("e1", ExclusionReason::Draining),
                                     testing::Pair("e2", ExclusionReason::DomainTakenOut),
                                     testing::Pair("e3", ExclusionReason::NoCapacity),
                                     testing::Pair("e4", ExclusionReason::Tried)));
}

TEST_F(UpstreamPickerTest, pick_notUsableUpstream_isNeverChosen)
{
    add("e1", "d1");
    add("e2", "d2");
    m_usable = [](const std::string &upstream) {
        return upstream == "e2";
    };
    EXPECT_EQ(pick(), "e2");
}

TEST_F(UpstreamPickerTest, pick_manyNodesWithTheSameReports_doNotAllChooseTheIdleUpstream)
{
    constexpr unsigned nodes = 100;
    for (unsigned i = 0; i < 20; ++i) {
        add(fmt::format("e{:02}", i), "d1");
        m_capacities[fmt::format("e{:02}", i)].occupancy = i == 7 ? 0.0 : 0.5;
    }
    unsigned idleChosen = 0;
    for (unsigned node = 0; node < nodes; ++node) {
        idleChosen += pick(UpstreamPicker(m_config, m_usable, node)) == "e07" ? 1 : 0;
    }
    // The idle engine is among the two random candidates of twenty with probability 1/10.
    EXPECT_GT(idleChosen, 0U);
    EXPECT_LE(idleChosen, nodes / 4);
}

} // namespace ibisfork::routing
