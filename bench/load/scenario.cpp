#include "load/scenario.h"

#include "yaml/yamlfields.h"

namespace ibisfork::bench {

using yaml::YamlFields;

namespace {

Phase phaseFrom(const YAML::Node &node)
{
    YamlFields fields(node, "phases");
    Phase phase;
    phase.name = fields.required<std::string>("name", "a name");
    phase.requestsPerSecond = fields.required<double>("requests_per_second", "a number");
    phase.length = fields.optionalMilliseconds("length", phase.length);
    fields.refuseUnknown();
    return phase;
}

} // namespace

Scenario readScenario(const std::string &path)
{
    YamlFields document(YAML::LoadFile(path), "document");
    Scenario scenario;
    for (const auto &target : document.required<std::vector<std::string>>("targets", "a list of IP:PORT")) {
        scenario.targets.push_back(net::Address::parse(target));
    }
    scenario.key = document.optional("key", scenario.key, "a bearer key");
    scenario.model = document.optional("model", scenario.model, "a model");
    scenario.tokens = document.optional("tokens", scenario.tokens, "a count of tokens");
    scenario.seed = document.optional("seed", scenario.seed, "a number");
    scenario.deadline = document.optionalMilliseconds("deadline", scenario.deadline);
    for (const auto &phase : document.list("phases")) {
        scenario.phases.push_back(phaseFrom(phase));
    }
    document.refuseUnknown();
    return scenario;
}

} // namespace ibisfork::bench
