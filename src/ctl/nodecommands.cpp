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

int nodeView(const Invocation &invocation)
{
    const auto view = NodeClient(invocation.node).get("/status");
    if (invocation.output == OutputFormat::Json) {
        std::cout << view.dump(2) << '\n';
        return exitcode::ok;
    }
    const auto part = [&](const char *name) {
        return view.value(name, nlohmann::json::object()).dump();
    };
    fmt::print(std::cout,
               "node {}, ready {}, reads store {}, nodes {}, configuration {}\n",
               part("node"),
               part("ready"),
               part("reads_store"),
               part("nodes"),
               part("configuration"));
    fmt::print(
        std::cout, "ages, ms: {}\nevacuated: {}\nroll-outs: {}\n", part("age_ms"), part("evacuated"), part("rollouts"));
    Listing listing({"engine", "service", "failure-domain", "software", "leaving", "cold", "in-flight", "faults"});
    for (const auto &engine : view.value("engines", nlohmann::json::array())) {
        listing.add({engine.value("id", "?"),
                     engine.value("service", "?"),
                     engine.value("failure_domain", "?"),
                     engine.value("software", "?"),
                     engine.value("leaving", false) ? "yes" : "no",
                     engine.value("cold", false) ? "yes" : "no",
                     fmt::format("{}", engine.value("in_flight", 0)),
                     fmt::format("{:.2f}", engine.value("fault_share", 0.0))});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

int nodeEvidence(const Invocation &invocation)
{
    const auto evidence = NodeClient(invocation.node).get("/status").value("evidence", nlohmann::json::object());
    if (invocation.output == OutputFormat::Text) {
        const auto from = evidence.value("sums_from", std::string());
        fmt::print(std::cout,
                   "sums from {}, undelivered: {}\n",
                   from.empty() ? "no other node" : from,
                   evidence.value("undelivered", false) ? "yes" : "no");
    }
    Listing listing({"node", "incarnation", "serial", "age-ms", "rollouts", "engines-ended"});
    for (const auto &held : evidence.value("held", nlohmann::json::array())) {
        listing.add({held.value("node", "?"),
                     held.value("incarnation", "?"),
                     fmt::format("{}", held.value("serial", 0U)),
                     fmt::format("{}", held.value("age_ms", 0)),
                     held.value("rollouts", nlohmann::json::array()).dump(),
                     fmt::format("{}", held.value("engines_ended", 0U))});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

} // namespace ibisfork::ctl
