#include "ctl/commandtable.h"

#include <algorithm>
#include <iostream>
#include <map>

#include <fmt/format.h>

#include "ctl/configcommands.h"
#include "ctl/fleetcommands.h"
#include "ctl/logcutoffs.h"
#include "ctl/logexplain.h"
#include "ctl/nodecommands.h"
#include "ctl/rolloutcommands.h"
#include "ctl/routescommands.h"

namespace ibisfork::ctl {

namespace {

int completion(const Invocation &)
{
    std::cout << bashCompletion();
    return exitcode::ok;
}

constexpr std::array<Command, 30> commands{{
    {"config", "check", "FILE", "check a fleet configuration", "config check fleet.yaml", configCheck},
    {"config", "apply", "FILE", "make it the fleet's", "config apply fleet.yaml --reason 'new engine'", configApply},
    {"config", "diff", "FILE", "rows that apply would change", "config diff fleet.yaml", configDiff},
    {"config", "show", "", "rows in force", "config show --output json", configShow},
    {"config", "history", "", "the last changes", "config history", configHistory},
    {"routes",
     "check",
     "FILE",
     "check routes and services before they are sent to the platform's store",
     "routes check next.json --in-force now.json",
     routesCheck},
    {"exception",
     "add",
     "ID",
     "set a field of one workspace apart from the defaults",
     "exception add finals --workspace judging --field quality_target --value 0.98 --reason 'state finals'",
     exceptionAdd},
    {"exception", "list", "", "exceptions and their reasons", "exception list", exceptionList},
    {"exception", "remove", "ID", "back to the defaults", "exception remove finals", exceptionRemove},
    {"version", "list", "", "versions and their states", "version list", versionList},
    {"version",
     "withdraw",
     "MODEL@VERSION",
     "give it no new work",
     "version withdraw report@v7 --reason 'bad scores'",
     versionWithdraw},
    {"rollout", "start", "MODEL@VERSION", "begin, or begin again", "rollout start report@v8", rolloutStart},
    {"rollout", "status", "", "how far each has come", "rollout status", rolloutStatus},
    {"rollout", "step", "MODEL@VERSION", "go to the next step", "rollout step report@v8", rolloutStep},
    {"rollout",
     "halt",
     "MODEL@VERSION",
     "give it no new work",
     "rollout halt report@v8 --reason 'judges complain'",
     rolloutHalt},
    {"domain", "list", "", "failure domains and their states", "domain list", domainList},
    {"domain", "take-out", "NAME", "give it no new work", "domain take-out a --reason 'switch repair'", domainTakeOut},
    {"domain", "bring-back", "NAME", "give it work again", "domain bring-back a", domainBringBack},
    {"upstream", "list", "", "upstreams and their states", "upstream list", upstreamList},
    {"upstream", "drain", "ID", "give it no new work", "upstream drain engine-3", upstreamDrain},
    {"upstream", "undrain", "ID", "give it work again", "upstream undrain engine-3", upstreamUndrain},
    {"node", "list", "", "nodes of the fleet", "node list", nodeList},
    {"node", "view", "", "what one node believes of the platform", "node view --node 10.0.0.1:7301", nodeView},
    {"node", "evidence", "", "who has told one node what", "node evidence --node 10.0.0.1:7301", nodeEvidence},
    {"log",
     "explain",
     "REQUEST-ID",
     "the lines of a saved log that explain a request",
     "log explain 9c41 --log node.log",
     logExplain},
    {"log",
     "cut-offs",
     "",
     "what nodes without a path to engines served, beside the others",
     "log cut-offs --log nodes.log",
     logCutOffs},
    {"bills",
     "verify",
     "",
     "compare bills with what engines ran",
     "bills verify --platform 127.0.0.1:7000",
     billsVerify},
    {"explain", "", "REQUEST-ID", "why a request was routed so", "explain req-0123", explain},
    {"status", "", "", "a picture of the fleet", "status", status},
    {"completion",
     "bash",
     "",
     "a completion script",
     "completion bash > /etc/bash_completion.d/ibisforkctl",
     completion},
}};

std::vector<std::string_view> wordsOf(const Command &command)
{
    std::vector<std::string_view> words{command.group};
    if (!command.verb.empty()) {
        words.push_back(command.verb);
    }
    return words;
}

bool matches(const Command &command, const std::vector<std::string> &words)
{
    const auto own = wordsOf(command);
    const std::size_t wanted = own.size() + (command.argument.empty() ? 0 : 1);
    return words.size() == wanted && std::equal(own.begin(), own.end(), words.begin());
}

std::string usageOf(const Command &command)
{
    std::string usage;
    for (const auto word : wordsOf(command)) {
        usage += (usage.empty() ? "" : " ") + std::string(word);
    }
    return command.argument.empty() ? usage : fmt::format("{} {}", usage, command.argument);
}

} // namespace

const Command &findCommand(const std::vector<std::string> &words)
{
    std::string sameGroup;
    for (const auto &command : commands) {
        if (matches(command, words)) {
            return command;
        }
        if (!words.empty() && command.group == words.front()) {
            sameGroup += fmt::format("\n  ibisforkctl {}", usageOf(command));
        }
    }
    throw UsageError(sameGroup.empty() ? "no such command; --help lists them" : "usage:" + sameGroup);
}

std::string commandHelp()
{
    std::string help = "\nCommands:\n";
    for (const auto &command : commands) {
        help += fmt::format("  {:<32} {}\n", usageOf(command), command.help);
    }
    help += "\nExamples:\n";
    for (const auto &command : commands) {
        help += fmt::format("  ibisforkctl {}\n", command.example);
    }
    help += "\nExit codes: 0 done, 1 refused or failed, 2 usage, 3 unknown whether it took effect, 4 still pending\n";
    return help;
}

std::string bashCompletion()
{
    std::map<std::string_view, std::string> verbs;
    for (const auto &command : commands) {
        verbs[command.group] += fmt::format("{} ", command.verb);
    }
    std::string groups;
    std::string cases;
    for (const auto &[group, list] : verbs) {
        groups += fmt::format("{} ", group);
        cases += fmt::format("        {}) COMPREPLY=($(compgen -W '{}' -- \"$word\")) ;;\n", group, list);
    }
    return fmt::format("_ibisforkctl() {{\n"
                       "    local word=${{COMP_WORDS[COMP_CWORD]}}\n"
                       "    if [ \"$COMP_CWORD\" -eq 1 ]; then\n"
                       "        COMPREPLY=($(compgen -W '{}' -- \"$word\"))\n"
                       "        return\n"
                       "    fi\n"
                       "    case ${{COMP_WORDS[1]}} in\n"
                       "{}"
                       "    esac\n"
                       "}}\n"
                       "complete -o default -F _ibisforkctl ibisforkctl\n",
                       groups,
                       cases);
}

} // namespace ibisfork::ctl
