#include "ctl/nodecommands.h"

#include <iostream>
#include <map>

#include <fmt/ostream.h>

#include <ibisfork/fleet/rows.h>

#include "ctl/bills.h"
#include "ctl/listing.h"
#include "ctl/nodeclient.h"
#include "ctl/submission.h"

namespace ibisfork::ctl {

namespace {

/// Counts of what stands in one failure domain.
struct DomainCounts
{
    unsigned nodes = 0;
    unsigned engines = 0;
    unsigned services = 0;
    unsigned draining = 0;
};

std::map<std::string, DomainCounts> countByDomain(const fleet::Config &config)
{
    std::map<std::string, DomainCounts> counts;
    for (const auto &[name, domain] : config.failureDomains) {
        counts[name];
    }
    for (const auto &[name, member] : config.members) {
        ++counts[member.failureDomain].nodes;
    }
    for (const auto &[id, upstream] : config.upstreams) {
        auto &domain = counts[upstream.failureDomain];
        ++(upstream.kind == fleet::UpstreamKind::Engine ? domain.engines : domain.services);
        domain.draining += upstream.state == fleet::UpstreamState::Draining ? 1 : 0;
    }
    return counts;
}

Listing domainPicture(const fleet::Config &config)
{
    Listing listing({"region", "failure-domain", "state", "nodes", "engines", "services", "draining"});
    for (const auto &[name, counts] : countByDomain(config)) {
        const auto domain = config.failureDomains.find(name);
        const bool known = domain != config.failureDomains.end();
        listing.add({known ? domain->second.region : "?",
                     name,
                     known ? std::string(base::nameOf(fleet::domainStateNames, domain->second.state)) : "unknown",
                     fmt::format("{}", counts.nodes),
                     fmt::format("{}", counts.engines),
                     fmt::format("{}", counts.services),
                     fmt::format("{}", counts.draining)});
    }
    return listing;
}

} // namespace

int explain(const Invocation &invocation)
{
    const auto answer = NodeClient(invocation.node).get("/v1/explain/" + invocation.argument);
    if (invocation.output == OutputFormat::Json) {
        fmt::print(std::cout, "{}\n", answer.dump(2));
        return exitcode::ok;
    }
    for (const auto &decision : answer.at("decisions")) {
        fmt::print(std::cout, "{}\n", decision.get<std::string>());
    }
    return exitcode::ok;
}

int billsVerify(const Invocation &invocation)
{
    if (invocation.platform.empty()) {
        throw UsageError("the platform's address is required: --platform IP:PORT");
    }
    std::vector<net::Address> engines;
    for (const auto &[id, upstream] : fleet::configFromRows(readSnapshot(invocation)).upstreams) {
        if (upstream.kind == fleet::UpstreamKind::Engine) {
            engines.push_back(net::Address::parse(upstream.address));
        }
    }
    return verifyBills(net::Address::parse(invocation.platform), engines, std::cout);
}

int status(const Invocation &invocation)
{
    const auto held = readSnapshot(invocation);
    const auto config = fleet::configFromRows(held);
    if (invocation.output == OutputFormat::Text) {
        fmt::print(std::cout,
                   "revision {}: {} nodes, {} upstreams, {} versions, {} workspaces, {} exceptions\n\n",
                   held.revision,
                   config.members.size(),
                   config.upstreams.size(),
                   config.versions.size(),
                   config.workspaces.size(),
                   config.exceptions.size());
    }
    domainPicture(config).print(std::cout, invocation.output);
    return exitcode::ok;
}

} // namespace ibisfork::ctl
