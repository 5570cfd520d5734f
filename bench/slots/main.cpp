#include <iostream>

#include <cxxopts.hpp>

#include <ibisfork/base/log.h>

#include "slots/baselines.h"
#include "slots/routecost.h"
#include "slots/updatecost.h"

int main(int argc, char **argv)
{
    try {
        ibisfork::base::setLogLevel(ibisfork::base::LogLevel::Error);
        cxxopts::Options options("bench-slots", "Measures slots, decisions and their baselines.");
        auto add = options.add_options();
        add("part", "update, decision or baselines", cxxopts::value<std::string>()->default_value("update"));
        add("seed", "seed of the baselines", cxxopts::value<unsigned>()->default_value("1"));
        const auto arguments = options.parse(argc, argv);
        const auto part = arguments["part"].as<std::string>();
        if (part == "update") {
            ibisfork::bench::measureUpdate();
        } else if (part == "decision") {
            ibisfork::bench::measureDecision();
        } else if (part == "baselines") {
            ibisfork::bench::compareBaselines(arguments["seed"].as<unsigned>());
        } else {
            std::cerr << "bench-slots: there is no part '" << part << "'\n";
            return 2;
        }
        return 0;
    } catch (const std::exception &error) {
        std::cerr << "bench-slots: " << error.what() << '\n';
        return 1;
    }
}
