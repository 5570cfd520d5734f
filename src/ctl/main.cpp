#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <cxxopts.hpp>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <ibisfork/fleet/rows.h>
#include <ibisfork/fleet/yaml.h>

#include "ctl/nodeclient.h"

namespace {

using namespace ibisfork;
using Json = nlohmann::json;

constexpr int exitOk = 0;
constexpr int exitFailure = 1;
constexpr int exitUsage = 2;
constexpr int exitUnknown = 3;

/// What a command line asks for.
struct Invocation
{
    std::vector<std::string> words;
    net::Address node;
    std::string reason;
    std::string author;
    std::string changeId;
};

std::string newChangeId()
{
    std::random_device random;
    return fmt::format("chg-{:08x}{:08x}", random(), random());
}

std::string readFile(const std::string &path)
{
    const std::ifstream file(path);
    if (!file) {
        throw base::Error(fmt::format("{}: can't be read", path));
    }
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

int submit(const Invocation &invocation, const std::vector<coord::RowChange> &rows)
{
    Json list = Json::array();
    for (const auto &row : rows) {
        list.push_back({{"key", row.key}, {"value", row.value ? Json(*row.value) : Json()}});
    }
    const Json change{
        {"id", invocation.changeId}, {"author", invocation.author}, {"reason", invocation.reason}, {"rows", list}};
    const auto answer = ctl::NodeClient(invocation.node).post("/v1/changes", change);
    const auto state = answer.at("state").get<std::string>();
    fmt::print(std::cout, "change {} {} at revision {}\n", invocation.changeId, state, answer.at("revision").dump());
    if (state == "committed" || state == "already-committed") {
        return exitOk;
    }
    return state == "unknown" ? exitUnknown : exitFailure;
}

int configCheck(const Invocation &invocation)
{
    fleet::configFromYaml(readFile(invocation.words.at(2)));
    std::cout << "the configuration is good\n";
    return exitOk;
}

int configApply(const Invocation &invocation)
{
    const auto wanted = fleet::rowsFromConfig(fleet::configFromYaml(readFile(invocation.words.at(2))));
    const auto held = ctl::NodeClient(invocation.node).get("/v1/rows").at("rows").get<coord::Rows>();
    const auto rows = fleet::difference(held, wanted);
    if (rows.empty()) {
        std::cout << "nothing to change\n";
        return exitOk;
    }
    return submit(invocation, rows);
}

int configShow(const Invocation &invocation)
{
    const auto answer = ctl::NodeClient(invocation.node).get("/v1/rows");
    fmt::print(std::cout, "revision {}\n", answer.at("revision").dump());
    for (const auto &[key, value] : answer.at("rows").items()) {
        fmt::print(std::cout, "{} {}\n", key, value.get<std::string>());
    }
    return exitOk;
}

struct Command
{
    std::string_view group;
    std::string_view verb;
    std::size_t words;
    int (*run)(const Invocation &);
};

constexpr std::array<Command, 3> commands{{
    {"config", "check", 3, configCheck},
    {"config", "apply", 3, configApply},
    {"config", "show", 2, configShow},
}};

cxxopts::Options makeOptions()
{
    cxxopts::Options options("ibisforkctl",
                             "Steers a fleet of ibisforkd.\n\nCommands: config check|apply FILE, config show");
    options.positional_help("COMMAND");
    auto add = options.add_options();
    add("node", "operators' address of a node", cxxopts::value<std::string>()->default_value("127.0.0.1:8081"));
    add("reason", "why the change is made", cxxopts::value<std::string>()->default_value(""));
    add("author", "who makes the change", cxxopts::value<std::string>()->default_value("operator"));
    add("change-id", "id of the change, to ask again", cxxopts::value<std::string>()->default_value(""));
    add("words", "", cxxopts::value<std::vector<std::string>>()->default_value(""));
    add("h,help", "show this help");
    options.parse_positional({"words"});
    return options;
}

int run(const Invocation &invocation)
{
    for (const auto &command : commands) {
        if (invocation.words.size() == command.words && invocation.words[0] == command.group
            && invocation.words[1] == command.verb) {
            return command.run(invocation);
        }
    }
    std::cerr << "ibisforkctl: unknown command; see --help\n";
    return exitUsage;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        auto options = makeOptions();
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << options.help();
            return exitOk;
        }
        Invocation invocation;
        invocation.words = arguments["words"].as<std::vector<std::string>>();
        invocation.node = net::Address::parse(arguments["node"].as<std::string>());
        invocation.reason = arguments["reason"].as<std::string>();
        invocation.author = arguments["author"].as<std::string>();
        invocation.changeId = arguments["change-id"].as<std::string>();
        if (invocation.changeId.empty()) {
            invocation.changeId = newChangeId();
        }
        return run(invocation);
    } catch (const cxxopts::exceptions::exception &error) {
        std::cerr << "ibisforkctl: " << error.what() << '\n';
        return exitUsage;
    } catch (const std::exception &error) {
        std::cerr << "ibisforkctl: " << error.what() << '\n';
        return exitFailure;
    }
}
