#include "ctl/routescommands.h"

#include <algorithm>
#include <iostream>

#include <fmt/format.h>

#include "configcheck/check.h"
#include "ctl/listing.h"
#include "ctl/textfile.h"
#include "platform/codecerror.h"
#include "platform/factcodec.h"

namespace ibisfork::ctl {

namespace {

gateway::Configuration readConfiguration(const std::string &path)
{
    try {
        return platform::decodeConfiguration(readTextFile(path));
    } catch (const platform::CodecError &error) {
        throw base::Error(fmt::format("{}: {}", path, error.what()));
    }
}

} // namespace

int routesCheck(const Invocation &invocation)
{
    const auto configuration = readConfiguration(invocation.argument);
    auto findings = configcheck::check(configuration);
    if (!invocation.inForce.empty()) {
        const auto differences = configcheck::difference(readConfiguration(invocation.inForce), configuration);
        findings.insert(findings.end(), differences.begin(), differences.end());
    }
    Listing listing({"finding", "entry", "text"});
    for (const auto &finding : findings) {
        listing.add(
            {std::string(base::nameOf(configcheck::findingKindNames, finding.kind)), finding.where, finding.text});
    }
    listing.print(std::cout, invocation.output);
    const bool hasError = std::any_of(findings.begin(), findings.end(), [](const configcheck::Finding &finding) {
        return finding.kind == configcheck::FindingKind::Error;
    });
    return hasError ? exitcode::failure : exitcode::ok;
}

} // namespace ibisfork::ctl
