#include "cutplan.h"

#include <algorithm>
#include <numeric>
#include <random>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace ibisfork::gateway::test {

namespace {

using std::chrono::milliseconds;

constexpr std::array<base::Name<PathCut>, 4> pathCutNames{{
    {PathCut::Silent, "silent"},
    {PathCut::OneWay, "one-way"},
    {PathCut::Reset, "reset"},
    {PathCut::Lossy, "lossy"},
}};
constexpr std::array<base::Name<Beside>, 5> besideNames{{
    {Beside::Nothing, "nothing"},
    {Beside::EngineDown, "an engine down"},
    {Beside::StoreAway, "the store away"},
    {Beside::NodeStarts, "a node that starts"},
    {Beside::Configuration, "a new configuration"},
}};

constexpr std::size_t fewestNodes = 5;
constexpr std::size_t mostNodes = 7;
constexpr std::size_t fewestEngines = 3;
constexpr std::size_t mostEngines = 6;
constexpr std::size_t spells = 2;
constexpr milliseconds shortestCut{3000};
constexpr milliseconds longestCut{5000};
constexpr unsigned sparesOneIn = 6;
/// One cut in so many is of a single service.
constexpr unsigned singleServiceOneIn = 4;

class Draw
{
public:
    explicit Draw(std::uint64_t seed)
        : m_random(seed)
    { }

    std::size_t between(std::size_t least, std::size_t most)
    {
        return std::uniform_int_distribution<std::size_t>(least, most)(m_random);
    }

    bool oneIn(unsigned count) { return between(1, count) == 1; }

    template<typename Enum, std::size_t Size>
    Enum of(const std::array<base::Name<Enum>, Size> &names)
    {
        return names.at(between(0, Size - 1)).value;
    }

    /// @p count of the numbers below @p end.
    std::set<std::size_t> some(std::size_t count, std::size_t end)
    {
        std::vector<std::size_t> all(end);
        std::iota(all.begin(), all.end(), std::size_t{0});
        std::shuffle(all.begin(), all.end(), m_random);
        return {all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count)};
    }

private:
    std::mt19937_64 m_random;
};

CutSpell drawSpell(Draw &draw, const CutPlan &plan)
{
    CutSpell spell;
    spell.way = draw.of(pathCutNames);
    spell.beside = draw.of(besideNames);
    spell.lasts = milliseconds(
        draw.between(static_cast<std::size_t>(shortestCut.count()), static_cast<std::size_t>(longestCut.count())));
    spell.sparesOne = draw.oneIn(sparesOneIn);
    const bool isSingle = draw.oneIn(singleServiceOneIn);
    for (const auto &[service, engines] : plan.engines) {
        if (isSingle && !spell.nodes.empty()) {
            break;
        }
        const auto third = (plan.nodes + 2) / 3;
        spell.nodes[service] = draw.some(draw.between(third, plan.nodes - 1), plan.nodes);
    }
    return spell;
}

} // namespace

CutPlan drawCutPlan(std::uint64_t seed)
{
    Draw draw(seed);
    CutPlan plan;
    plan.nodes = draw.between(fewestNodes, mostNodes);
    plan.engines["s"] = fewestEngines;
    plan.engines["t"] = draw.between(fewestEngines, mostEngines);
    for (std::size_t i = 0; i < spells; ++i) {
        plan.spells.push_back(drawSpell(draw, plan));
    }
    return plan;
}

std::string describe(const CutSpell &spell)
{
    auto out = fmt::format("{} for {} ms beside {}{}",
                           base::nameOf(pathCutNames, spell.way),
                           base::toMilliseconds(spell.lasts),
                           base::nameOf(besideNames, spell.beside),
                           spell.sparesOne ? ", one engine spared" : "");
    for (const auto &[service, nodes] : spell.nodes) {
        out += fmt::format(", from {} nodes {}", service, fmt::join(nodes, " "));
    }
    return out;
}

} // namespace ibisfork::gateway::test
