#include <fstream>
#include <iostream>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include <ibisfork/base/error.h>

#include "load/loadgenerator.h"
#include "load/report.h"
#include "load/scenario.h"

namespace {

using namespace ibisfork;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("bench-load", "Sends an open-loop load of streamed chats and measures the answers.");
    auto add = options.add_options();
    add("scenario", "load to send, in YAML", cxxopts::value<std::string>(), "FILE");
    add("targets", "addresses in place of the scenario's", cxxopts::value<std::vector<std::string>>(), "IP:PORT,...");
    add("svg", "also draw the first-token latencies", cxxopts::value<std::string>(), "FILE");
    add("h,help", "show this help");
    return options;
}

int run(int argc, char **argv)
{
    auto options = makeOptions();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0 || arguments.count("scenario") == 0) {
        std::cout << options.help();
        return arguments.count("help") > 0 ? 0 : 2;
    }
    auto scenario = bench::readScenario(arguments["scenario"].as<std::string>());
    if (arguments.count("targets") > 0) {
        scenario.targets.clear();
        for (const auto &target : arguments["targets"].as<std::vector<std::string>>()) {
            scenario.targets.push_back(net::Address::parse(target));
        }
    }
    if (scenario.targets.empty() || scenario.phases.empty()) {
        throw base::Error("a scenario needs targets and phases");
    }
    const auto base = net::makeEventBase();
    const auto results = bench::LoadGenerator(base.get(), scenario).run();
    std::cout << bench::reportJson(results);
    if (arguments.count("svg") > 0) {
        std::ofstream(arguments["svg"].as<std::string>()) << bench::reportSvg(results);
    }
    return 0;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "bench-load: " << error.what() << '\n';
        return 1;
    }
}
