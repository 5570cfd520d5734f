#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ctl/invocation.h"

namespace ibisfork::ctl {

/// A command: its words, what its argument is, if it takes one, and a line of help with an example.
struct Command
{
    std::string_view group;
    std::string_view verb;
    std::string_view argument;
    std::string_view help;
    std::string_view example;
    int (*run)(const Invocation &);
};

/// The command that @p words name. Throws UsageError that names the nearest ones.
const Command &findCommand(const std::vector<std::string> &words);

/// The list of commands, with examples.
std::string commandHelp();

/// A script that lets bash complete the commands.
std::string bashCompletion();

} // namespace ibisfork::ctl
