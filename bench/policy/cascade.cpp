#include "policy/benches.h"

#include <algorithm>
#include <random>

#include "policy/thresholdcontroller.h"

namespace ibisfork::bench {

namespace {

using nlohmann::json;

constexpr int requests = 200000;
constexpr double cheapCost = 1.0;
constexpr double dearCost = 10.0;
constexpr double dearQuality = 0.96;
constexpr double target = 0.93;
constexpr double sampled = 0.05;
constexpr int judges = 5;

enum class Policy { Random, RoundRobin, Dearest, Cheapest, Cascade, CascadeBiasedJudge, CascadeServiceDown };
constexpr std::array<std::pair<Policy, const char *>, 7> policies{{
    {Policy::Random, "random"},
    {Policy::RoundRobin, "round robin"},
    {Policy::Dearest, "always dearest"},
    {Policy::Cheapest, "always cheapest"},
    {Policy::Cascade, "cascade"},
    {Policy::CascadeBiasedJudge, "cascade, one judge of five takes 0.4 off"},
    {Policy::CascadeServiceDown, "cascade, no ratings in the second half"},
}};

struct Draw
{
    bool cheapGood;
    bool dearGood;
    double confidence;
};

/// The cheap version suffices for @p easy of the requests; its confidence tells of that with noise.
Draw drawRequest(double easyPart, std::mt19937_64 &random)
{
    const bool easy = std::bernoulli_distribution(easyPart)(random);
    const bool cheapGood = std::bernoulli_distribution(easy ? 0.97 : 0.25)(random);
    const auto confidence = std::normal_distribution<>(easy ? 0.8 : 0.4, 0.12)(random);
    return {cheapGood, std::bernoulli_distribution(dearQuality)(random), std::clamp(confidence, 0.0, 1.0)};
}

json measure(Policy policy, const char *name, double easyPart)
{
    std::mt19937_64 random(23);
    std::uniform_real_distribution<> unit(0.0, 1.0);
    policy::ThresholdController loop(target, 0.5);
    double cost = 0.0;
    double good = 0.0;
    for (int request = 0; request < requests; ++request) {
        const auto draw = drawRequest(easyPart, random);
        bool dear = policy == Policy::Dearest || (policy == Policy::RoundRobin && request % 2 == 1)
            || (policy == Policy::Random && unit(random) < 0.5);
        double spent = dear ? dearCost : cheapCost;
        if (policy >= Policy::Cascade && loop.escalates(draw.confidence)) {
            dear = true;
            spent += dearCost;
        }
        const double score = (dear ? draw.dearGood : draw.cheapGood) ? 1.0 : 0.0;
        const bool down = policy == Policy::CascadeServiceDown && request > requests / 2;
        if (policy >= Policy::Cascade && !down && unit(random) < sampled) {
            const auto judge = static_cast<int>(unit(random) * judges);
            const double bias = policy == Policy::CascadeBiasedJudge && judge == 0 ? 0.4 : 0.0;
            loop.rate(std::to_string(judge), score - bias);
        }
        cost += request >= requests / 2 ? spent : 0.0;
        good += request >= requests / 2 ? score : 0.0;
    }
    constexpr int half = requests / 2;
    constexpr double counted = requests - half;
    return {{"policy", name},
            {"cheap_suffices", easyPart},
            {"target", target},
            {"quality", good / counted},
            {"cost_of_dearest", cost / counted / dearCost}};
}

} // namespace

json cascadeBench()
{
    json rows = json::array();
    for (const double easyPart : {0.6, 0.75}) {
        for (const auto &[policy, name] : policies) {
            rows.push_back(measure(policy, name, easyPart));
        }
    }
    return rows;
}

} // namespace ibisfork::bench
