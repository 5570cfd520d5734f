#include "ctl/logexplain.h"

#include <algorithm>
#include <iostream>
#include <set>

#include "ctl/logfields.h"

namespace ibisfork::ctl {

namespace {

bool isEngineState(const std::string &line)
{
    const auto event = logField(line, "event");
    return event == "engine" || event == "engine_unlisted" || event == "engine_gone";
}

} // namespace

std::vector<std::string> linesAbout(const std::string &id, std::istream &log)
{
    std::vector<std::string> all;
    std::set<std::string> engines;
    for (std::string line; std::getline(log, line);) {
        if (logField(line, "id") == id) {
            engines.insert(logField(line, "engine"));
        }
        all.push_back(line);
    }
    engines.erase(std::string());
    std::vector<std::string> out;
    std::copy_if(all.begin(), all.end(), std::back_inserter(out), [&](const std::string &line) {
        return logField(line, "id") == id || (isEngineState(line) && engines.contains(logField(line, "engine")));
    });
    return out;
}

int logExplain(const Invocation &invocation)
{
    auto file = openLog(invocation);
    const auto lines = linesAbout(invocation.argument, file);
    for (const auto &line : lines) {
        std::cout << line << '\n';
    }
    return lines.empty() ? exitcode::failure : exitcode::ok;
}

} // namespace ibisfork::ctl
