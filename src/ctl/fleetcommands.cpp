#include "ctl/fleetcommands.h"

#include <iostream>

#include <fmt/format.h>

#include <ibisfork/fleet/rows.h>

#include "ctl/listing.h"
#include "ctl/submission.h"

namespace ibisfork::ctl {

namespace {

/// The item @p name of @p items. Throws UsageError that names those that are there.
template<typename Items, typename Key>
auto itemOf(const Items &items, const Key &key, const std::string &kind, const std::string &name)
{
    const auto item = items.find(key);
    if (item == items.end()) {
        throw UsageError(fmt::format("there is no {} '{}'; '{} list' shows them", kind, name, kind));
    }
    return item->second;
}

void requireReason(const Invocation &invocation)
{
    if (invocation.reason.empty()) {
        throw UsageError("a written reason is required: --reason TEXT");
    }
}

int setDomainState(const Invocation &invocation, fleet::DomainState state)
{
    const auto held = readSnapshot(invocation);
    const auto config = fleet::configFromRows(held);
    auto domain = itemOf(config.failureDomains, invocation.argument, "domain", invocation.argument);
    if (domain.state == state) {
        return submit(invocation, held.revision, {});
    }
    domain.state = state;
    return submit(
        invocation, held.revision, {{fleet::rowprefix::failureDomain + domain.name, fleet::failureDomainRow(domain)}});
}

int setUpstreamState(const Invocation &invocation, fleet::UpstreamState state)
{
    const auto held = readSnapshot(invocation);
    const auto config = fleet::configFromRows(held);
    auto upstream = itemOf(config.upstreams, invocation.argument, "upstream", invocation.argument);
    if (upstream.state == state) {
        return submit(invocation, held.revision, {});
    }
    upstream.state = state;
    return submit(
        invocation, held.revision, {{fleet::rowprefix::upstream + upstream.id, fleet::upstreamRow(upstream)}});
}

std::string versionsText(const fleet::Upstream &upstream)
{
    std::string text;
    for (const auto &version : upstream.versions) {
        text += (text.empty() ? "" : " ") + version.text();
    }
    return text.empty() ? upstream.service : text;
}

} // namespace

int exceptionAdd(const Invocation &invocation)
{
    requireReason(invocation);
    if (invocation.workspace.empty() || invocation.field.empty() || invocation.value.empty()) {
        throw UsageError("an exception needs --workspace, --field and --value");
    }
    const auto held = readSnapshot(invocation);
    const auto config = fleet::configFromRows(held);
    itemOf(config.workspaces, invocation.workspace, "workspace", invocation.workspace);
    const fleet::Exception exception{invocation.argument,
                                     invocation.workspace,
                                     invocation.field,
                                     invocation.value,
                                     invocation.reason,
                                     invocation.until};
    return submit(
        invocation, held.revision, {{fleet::rowprefix::exception + exception.id, fleet::exceptionRow(exception)}});
}

int exceptionList(const Invocation &invocation)
{
    Listing listing({"id", "workspace", "field", "value", "until", "reason"});
    for (const auto &[id, exception] : fleet::configFromRows(readSnapshot(invocation)).exceptions) {
        listing.add({id, exception.workspace, exception.field, exception.value, exception.until, exception.reason});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

int exceptionRemove(const Invocation &invocation)
{
    const auto held = readSnapshot(invocation);
    const auto config = fleet::configFromRows(held);
    const auto exception = itemOf(config.exceptions, invocation.argument, "exception", invocation.argument);
    return submit(invocation, held.revision, {{fleet::rowprefix::exception + exception.id, std::nullopt}});
}

int versionList(const Invocation &invocation)
{
    Listing listing({"version", "state", "cost", "quality", "share"});
    for (const auto &[id, version] : fleet::configFromRows(readSnapshot(invocation)).versions) {
        listing.add({id.text(),
                     std::string(base::nameOf(fleet::versionStateNames, version.state)),
                     fmt::format("{}", version.costPerRequest),
                     fmt::format("{}", version.expectedQuality),
                     fmt::format("{}", version.rolloutShare)});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

int versionWithdraw(const Invocation &invocation)
{
    requireReason(invocation);
    const auto held = readSnapshot(invocation);
    const auto config = fleet::configFromRows(held);
    const auto id = fleet::VersionId::parse(invocation.argument);
    auto version = itemOf(config.versions, id, "version", invocation.argument);
    version.state = fleet::VersionState::Withdrawn;
    return submit(invocation, held.revision, {{fleet::rowprefix::version + id.text(), fleet::versionRow(version)}});
}

int domainList(const Invocation &invocation)
{
    Listing listing({"failure-domain", "region", "state"});
    for (const auto &[name, domain] : fleet::configFromRows(readSnapshot(invocation)).failureDomains) {
        listing.add({name, domain.region, std::string(base::nameOf(fleet::domainStateNames, domain.state))});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

int domainTakeOut(const Invocation &invocation)
{
    return setDomainState(invocation, fleet::DomainState::TakenOut);
}

int domainBringBack(const Invocation &invocation)
{
    return setDomainState(invocation, fleet::DomainState::In);
}

int upstreamList(const Invocation &invocation)
{
    Listing listing({"upstream", "kind", "state", "failure-domain", "address", "cold", "warm", "serves"});
    for (const auto &[id, upstream] : fleet::configFromRows(readSnapshot(invocation)).upstreams) {
        listing.add({id,
                     std::string(base::nameOf(fleet::upstreamKindNames, upstream.kind)),
                     std::string(base::nameOf(fleet::upstreamStateNames, upstream.state)),
                     upstream.failureDomain,
                     upstream.address,
                     fmt::format("{}", upstream.limit.cold),
                     fmt::format("{}", upstream.limit.warm),
                     versionsText(upstream)});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

int upstreamDrain(const Invocation &invocation)
{
    return setUpstreamState(invocation, fleet::UpstreamState::Draining);
}

int upstreamUndrain(const Invocation &invocation)
{
    return setUpstreamState(invocation, fleet::UpstreamState::Live);
}

int nodeList(const Invocation &invocation)
{
    Listing listing({"node", "incarnation", "failure-domain", "region", "peer-address"});
    for (const auto &[name, member] : fleet::configFromRows(readSnapshot(invocation)).members) {
        listing.add({name, member.incarnation, member.failureDomain, member.region, member.peerAddress});
    }
    listing.print(std::cout, invocation.output);
    return exitcode::ok;
}

} // namespace ibisfork::ctl
