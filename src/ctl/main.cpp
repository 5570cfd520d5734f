#include <iostream>
#include <random>

#include <cxxopts.hpp>
#include <fmt/format.h>

#include "ctl/commandtable.h"
#include "ctl/invocation.h"

namespace {

using namespace ibisfork;

std::string newChangeId()
{
    std::random_device random;
    return fmt::format("chg-{:08x}{:08x}", random(), random());
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("ibisforkctl", "Steers a fleet of ibisforkd.");
    options.custom_help("[OPTIONS]").positional_help("COMMAND [ARGUMENT]");
    const auto text = [](const char *preset) {
        return cxxopts::value<std::string>()->default_value(preset);
    };
    auto add = options.add_options();
    add("node", "operators' address of any node", text("127.0.0.1:8081"), "IP:PORT");
    add("output", "text or json", text("text"), "FORMAT");
    add("reason", "why the change is made", text(""), "TEXT");
    add("author", "who makes the change", text("operator"), "NAME");
    add("change-id", "id of the change, to ask again", text(""), "ID");
    add("wait",
        "seconds to wait until a change is in force",
        cxxopts::value<unsigned>()->default_value("30"),
        "SECONDS");
    add("workspace", "workspace of an exception", text(""), "NAME");
    add("field", "field that an exception sets", text(""), "NAME");
    add("value", "value that an exception gives it", text(""), "VALUE");
    add("until", "last day of an exception", text(""), "YYYY-MM-DD");
    add("platform", "the platform's address, for bills verify", text(""), "IP:PORT");
    add("in-force", "configuration in force, for routes check", text(""), "FILE");
    add("log", "saved output of nodes, for log explain", text(""), "FILE");
    add("words", "", cxxopts::value<std::vector<std::string>>(), "COMMAND");
    add("h,help", "show this help");
    options.parse_positional({"words"});
    return options;
}

ctl::Invocation invocationFrom(const cxxopts::ParseResult &arguments)
{
    ctl::Invocation invocation;
    invocation.node = net::Address::parse(arguments["node"].as<std::string>());
    const auto output = base::valueOf(ctl::outputFormatNames, arguments["output"].as<std::string>());
    if (!output) {
        throw ctl::UsageError("--output must be text or json");
    }
    invocation.output = *output;
    invocation.reason = arguments["reason"].as<std::string>();
    invocation.author = arguments["author"].as<std::string>();
    invocation.changeId = arguments["change-id"].as<std::string>();
    invocation.wait = std::chrono::seconds(arguments["wait"].as<unsigned>());
    invocation.workspace = arguments["workspace"].as<std::string>();
    invocation.field = arguments["field"].as<std::string>();
    invocation.value = arguments["value"].as<std::string>();
    invocation.until = arguments["until"].as<std::string>();
    invocation.log = arguments["log"].as<std::string>();
    invocation.inForce = arguments["in-force"].as<std::string>();
    invocation.platform = arguments["platform"].as<std::string>();
    if (invocation.changeId.empty()) {
        invocation.changeId = newChangeId();
    }
    return invocation;
}

int run(int argc, char **argv)
{
    auto options = makeOptions();
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help") > 0) {
        std::cout << options.help() << ctl::commandHelp();
        return ctl::exitcode::ok;
    }
    if (arguments.count("words") == 0) {
        throw ctl::UsageError("a command is required; --help lists them");
    }
    const auto words = arguments["words"].as<std::vector<std::string>>();
    const auto &command = ctl::findCommand(words);
    auto invocation = invocationFrom(arguments);
    if (!command.argument.empty()) {
        invocation.argument = words.back();
    }
    return command.run(invocation);
}

int fail(const std::exception &error, int code)
{
    std::cerr << "ibisforkctl: " << error.what() << '\n';
    return code;
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const cxxopts::exceptions::exception &error) {
        return fail(error, ctl::exitcode::usage);
    } catch (const ctl::UsageError &error) {
        return fail(error, ctl::exitcode::usage);
    } catch (const std::exception &error) {
        return fail(error, ctl::exitcode::failure);
    }
}
