#include <cstdlib>
#include <filesystem>
#include <iostream>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "world.h"

namespace {

using namespace ibisfork;

std::vector<soak::Fault> planFor(const soak::WorldSettings &settings, soak::FaultSet set)
{
    return settings.upgrade ? soak::changesDuringUpgrade(settings.seed, settings.length)
                            : soak::planOf(settings.seed, settings.length, set);
}

void printHistory(const soak::Upgrade *upgrade)
{
    if (upgrade != nullptr) {
        for (const auto &line : upgrade->history()) {
            std::cout << "  " << line << '\n';
        }
    }
}

/// Plays one seed; true if no promise was broken.
bool play(const soak::WorldSettings &settings, soak::FaultSet set, bool verbose)
{
    const auto plan = planFor(settings, set);
    // Logs of an earlier run of this seed would be taken for those of this one.
    std::filesystem::remove_all(settings.folder);
    std::filesystem::create_directories(settings.folder);
    soak::World world(settings);
    world.run(plan);
    const auto &violations = world.ledger().violations();
    std::cout << fmt::format("seed {}: {} requests, {} faults, {} broken promises{}\n",
                             settings.seed,
                             world.ledger().all().size(),
                             plan.size(),
                             violations.size(),
                             settings.crowd ? fmt::format(", nodes had up to {} MB", world.mostMemory()) : "")
              << std::flush;
    if (verbose || !violations.empty()) {
        for (const auto &fault : plan) {
            std::cout << "  " << soak::describe(fault) << '\n';
        }
        printHistory(world.upgrade());
    }
    for (const auto &violation : violations) {
        std::cout << "  BROKEN " << violation << '\n';
    }
    if (violations.empty()) {
        std::filesystem::remove_all(settings.folder);
    } else {
        std::cout << "  logs in " << settings.folder << '\n';
    }
    return violations.empty();
}

} // namespace

int main(int argc, char **argv)
{
    cxxopts::Options options("ibisfork-soak",
                             "Runs nodes as processes, harms them at random, and checks the promises.");
    options.add_options()("seed", "first seed", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seeds", "how many seeds", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "seconds of faults a seed", cxxopts::value<unsigned>()->default_value("15"))(
        "nodes", "nodes", cxxopts::value<std::size_t>()->default_value("5"))(
        "engines", "engines of each of the two services", cxxopts::value<std::size_t>()->default_value("4"))(
        "callers", "callers", cxxopts::value<std::size_t>()->default_value("20"))(
        "folder", "where logs of failed seeds stay", cxxopts::value<std::string>()->default_value("soak-logs"))(
        "sayings-only", "harm no process and no path: only what engines and the store say of themselves")(
        "older-daemon",
        "path of an older ibisforkd: all nodes start with it and are replaced one after the other",
        cxxopts::value<std::string>())("roll-back", "with --older-daemon: the nodes go back to it in the end")(
        "daemon", "path of the ibisforkd that the nodes run", cxxopts::value<std::string>())(
        "lost-paths", "three nodes, some of which lose their paths to engines")(
        "pauses", "only engines that fall silent or are full, and planned work")(
        "unsure-models", "nodes choose among models, and engines are often unsure of the answers of the smallest")(
        "crowd", "callers and engines that do what few others do, beside starts, ends and planned work")(
        "memory-mb",
        "with --crowd: a node with more is killed; 0 for none",
        cxxopts::value<std::size_t>()->default_value("110"))(
        "descriptors", "with --crowd: of a node; 0 for no limit", cxxopts::value<std::size_t>()->default_value("400"))(
        "verbose", "print each plan")("help", "print this");
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << options.help();
            return EXIT_SUCCESS;
        }
        auto set = given.count("sayings-only") > 0 ? soak::FaultSet::EnginesAndStoreSay : soak::FaultSet::All;
        if (given.count("pauses") > 0) {
            set = soak::FaultSet::PausesAndPlannedWork;
        }
        if (given.count("lost-paths") > 0) {
            set = soak::FaultSet::LostPaths;
        }
        if (given.count("crowd") > 0) {
            set = soak::FaultSet::Crowd;
        }
        bool kept = true;
        const auto first = given["seed"].as<std::uint64_t>();
        for (auto seed = first; seed < first + given["seeds"].as<std::uint64_t>(); ++seed) {
            soak::WorldSettings settings;
            settings.seed = seed;
            settings.nodes = given["nodes"].as<std::size_t>();
            settings.enginesPerService = given["engines"].as<std::size_t>();
            settings.callers = given["callers"].as<std::size_t>();
            settings.nodesHavePaths = set == soak::FaultSet::LostPaths;
            if (settings.nodesHavePaths) {
                settings.nodes = soak::nodesWithPaths;
                settings.callers *= soak::callersPerUsual;
            }
            if (set == soak::FaultSet::Crowd) {
                settings.crowd = true;
                settings.callers *= soak::callersPerUsual;
                settings.limits = {given["memory-mb"].as<std::size_t>(), given["descriptors"].as<std::size_t>()};
            }
            settings.hasUnsureModels = given.count("unsure-models") > 0;
            if (given.count("daemon") > 0) {
                settings.daemon = std::filesystem::absolute(given["daemon"].as<std::string>()).string();
            }
            settings.length = std::chrono::seconds(given["seconds"].as<unsigned>());
            if (given.count("older-daemon") > 0) {
                const auto older = std::filesystem::absolute(given["older-daemon"].as<std::string>());
                settings.upgrade = {older.string(), given.count("roll-back") > 0};
                settings.length = std::max(settings.length, soak::usualLength(*settings.upgrade, settings.nodes));
            }
            settings.folder = fmt::format("{}/seed-{}", given["folder"].as<std::string>(), seed);
            kept = play(settings, set, given.count("verbose") > 0) && kept;
        }
        return kept ? EXIT_SUCCESS : EXIT_FAILURE;
    } catch (const std::exception &error) {
        std::cerr << "ibisfork-soak: " << error.what() << '\n';
        return EXIT_FAILURE;
    }
}
