#include "ctl/configcommands.h"

#include <iostream>

#include <fmt/ostream.h>

#include <ibisfork/fleet/rows.h>
#include <ibisfork/fleet/yaml.h>

#include "ctl/listing.h"
#include "ctl/nodeclient.h"
#include "ctl/submission.h"
#include "ctl/textfile.h"

namespace ibisfork::ctl {

namespace {

fleet::Config readConfig(const std::string &path)
{
    try {
        return fleet::configFromYaml(readTextFile(path));
    } catch (const base::Error &error) {
        throw base::Error(fmt::format("{}: {}", path, error.what()));
    }
}

std::vector<coord::RowChange> changesFor(const Invocation &invocation, const coord::Snapshot &held)
{
    return fleet::difference(held.rows, fleet::rowsFromConfig(readConfig(invocation.argument)));
}

std::string keysOf(const nlohmann::json &rows)
{
    std::string keys;
    for (const auto &row : rows) {
        keys += (keys.empty() ? "" : " ") + row.at("key").get<std::string>();
    }
    return keys;
}

} // namespace

int configCheck(const Invocation &invocation)
{
    const auto config = readConfig(invocation.argument);
    fmt::print(std::cout,
               "{}: good ({} versions, {} workspaces, {} upstreams, {} failure domains, {} exceptions)\n",
               invocation.argument,
               config.versions.size(),
               config.workspaces.size(),
               config.upstreams.size(),
               config.failureDomains.size(),
               config.exceptions.size());
    return exitcode::ok;
}

int configApply(const Invocation &invocation)
{
    const auto held = readSnapshot(invocation);
    return submit(invocation, held.revision, changesFor(invocation, held));
}

int configDiff(const Invocation &invocation)
{
    const auto held = readSnapshot(invocation);
    Listing listing({"row", "held", "wanted"});
    for (const auto &row : changesFor(invocation, held)) {
        const auto old = held.rows.find(row.key);
        listing.add({row.key, old == held.rows.end() ? "-" : old->second, row.value.value_or("-")});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

int configShow(const Invocation &invocation)
{
    const auto held = readSnapshot(invocation);
    Listing listing({"row", "value"});
    for (const auto &[key, value] : held.rows) {
        listing.add({key, value});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

int configHistory(const Invocation &invocation)
{
    constexpr coord::Revision shown = 50;
    const auto revision = readSnapshot(invocation).revision;
    const auto after = revision > shown ? revision - shown : 0;
    const auto answer = NodeClient(invocation.node).get(fmt::format("/v1/changes?after={}", after));
    Listing listing({"revision", "change", "author", "reason", "rows"});
    for (const auto &change : answer.at("changes")) {
        listing.add({change.at("revision").dump(),
                     change.at("id").get<std::string>(),
                     change.at("author").get<std::string>(),
                     change.at("reason").get<std::string>(),
                     keysOf(change.at("rows"))});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

} // namespace ibisfork::ctl
