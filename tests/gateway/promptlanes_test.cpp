#include "gateway/promptlanes.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include "gateway/placement.h"

namespace ibisfork::gateway {

using namespace std::chrono_literals;

/// Plays the mix of a heavy day: long prompts that share a large part with others, and short ones.
class PromptLanesTest : public testing::Test
{
protected:
    static constexpr std::size_t engineCount = 60;
    static constexpr unsigned subjects = 375;

    PromptLanesTest()
    {
        for (std::size_t i = 0; i < engineCount; ++i) {
            EngineEntry entry;
            entry.id = "e" + std::to_string(i);
            entry.service = "s";
            entry.slots = 64;
            m_book.put(entry, now);
        }
    }

    void countMix()
    {
        for (int i = 0; i < 200; ++i) {
            m_lanes.count(12000);
            m_lanes.count(900);
            m_lanes.count(2400);
        }
    }

    /// Engines differ in load as they do on a heavy day, now these are busier, now those.
    void reportLoads()
    {
        std::normal_distribution<double> load(15, 4);
        for (auto *engine : m_book.ofService("s")) {
            const auto running = static_cast<std::uint32_t>(std::max(0.0, load(m_random)));
            m_book.noteLoad(engine->entry.id, {running, 0, 64}, now);
        }
    }

    static constexpr base::TimePoint now{1000s};
    EngineBook m_book;
    PromptLanes m_lanes;
    std::mt19937_64 m_random{7};
};

TEST_F(PromptLanesTest, longAndShortPrompts_shareNoEngine_andNoneIsLeftOut)
{
    countMix();
    const auto all = m_book.ofService("s");
    const auto forLong = m_lanes.enginesFor(12000, all);
    const auto forShort = m_lanes.enginesFor(900, all);
    std::set<Engine *> used(forLong.begin(), forLong.end());
    used.insert(forShort.begin(), forShort.end());
    EXPECT_EQ(used.size(), engineCount);
    EXPECT_EQ(forLong.size() + forShort.size(), engineCount);
    EXPECT_GT(forLong.size(), forShort.size()) << "long prompts make most of the work";
}

TEST_F(PromptLanesTest, promptsOfOneSubject_whateverTheirOwnPart_findTheEngineThatHasReadIt)
{
    countMix();
    EnginePlacement placement(7);
    std::uniform_int_distribution<unsigned> subject(0, subjects - 1);
    std::lognormal_distribution<double> ownPart(8.6, 0.6);
    std::map<std::string, std::set<std::string>> readBy;
    unsigned readAgain = 0;
    constexpr unsigned requests = 4000;
    for (unsigned i = 0; i < requests; ++i) {
        if (i % 40 == 0) {
            reportLoads();
        }
        PlacementRequest request;
        request.sharedPart = "p" + std::to_string(subject(m_random));
        const auto tokens = static_cast<std::uint32_t>(5400 + ownPart(m_random));
        const auto placed = placement.choose(m_lanes.enginesFor(tokens, m_book.ofService("s")), request, now);
        auto &engines = readBy[request.sharedPart];
        readAgain += !engines.empty() && !engines.contains(placed.engine->entry.id) ? 1 : 0;
        engines.insert(placed.engine->entry.id);
    }
    EXPECT_LT(readAgain, requests / 20);
}

} // namespace ibisfork::gateway
