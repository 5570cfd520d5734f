#include "servedshares.h"

#include <fmt/format.h>

#include "http/status.h"

namespace ibisfork::soak {

namespace {

/// At nodes without a path at least this part of the share is served that is served at the others.
constexpr double leastPart = 2.0 / 3.0;
/// Shares of fewer requests say little.
constexpr unsigned fewestRequests = 20;

struct Share
{
    unsigned served = 0;
    unsigned asked = 0;

    double value() const { return asked == 0 ? 0 : static_cast<double>(served) / asked; }
};

/// The service of a path that always goes to the same one; empty for others.
std::string serviceOf(const std::string &path)
{
    if (path == "/read/") {
        return "a";
    }
    return path == "/book/" ? "b" : "";
}

/// What nodes served of the service of a loss while it lasted.
struct SharesInLoss
{
    std::map<std::size_t, Share> atNodesWithout;
    Share atOthers;
};

SharesInLoss sharesIn(const Ledger &ledger, const LostPaths &loss)
{
    SharesInLoss out;
    for (const auto &[id, request] : ledger.all()) {
        const bool isMeanwhile = request.sentAt >= loss.from && request.sentAt < loss.until;
        const bool isAllowed = request.status != http::status::unauthorized;
        if (serviceOf(request.path) != loss.service || !isMeanwhile || !isAllowed) {
            continue;
        }
        auto &share = loss.nodes.contains(request.node) ? out.atNodesWithout[request.node] : out.atOthers;
        ++share.asked;
        share.served += request.status == http::status::ok ? 1 : 0;
    }
    return out;
}

} // namespace

std::vector<std::string> unfairLosses(const Ledger &ledger, const std::vector<LostPaths> &losses)
{
    std::vector<std::string> out;
    for (const auto &loss : losses) {
        const auto shares = sharesIn(ledger, loss);
        const auto &others = shares.atOthers;
        for (const auto &[node, share] : shares.atNodesWithout) {
            if (share.asked < fewestRequests || share.value() >= leastPart * others.value()) {
                continue;
            }
            out.push_back(fmt::format("node {} without a path to {} for {} ms served {} of {}, the others {} of {}",
                                      node,
                                      loss.service,
                                      base::toMilliseconds(loss.until - loss.from),
                                      share.served,
                                      share.asked,
                                      others.served,
                                      others.asked));
        }
    }
    return out;
}

} // namespace ibisfork::soak
