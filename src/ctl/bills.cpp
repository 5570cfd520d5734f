#include "ctl/bills.h"

#include <fmt/format.h>
#include <fmt/ostream.h>

#include "ctl/nodeclient.h"
#include "ledger/reconciliation.h"
#include "platform/billstore.h"

namespace ibisfork::ctl {

namespace {

constexpr std::chrono::seconds platformTimeout{30};
constexpr int exitOk = 0;
constexpr int exitDifferent = 1;
constexpr int exitUnknown = 3;

std::optional<std::vector<platform::BillBatch>> readBatches(const net::Address &address)
{
    const auto base = net::makeEventBase();
    platform::TableClient table(base.get(), address, platformTimeout);
    platform::BillStore store(table);
    std::optional<std::vector<platform::BillBatch>> batches;
    store.readAll([&](std::optional<std::vector<platform::BillBatch>> read) {
        batches = std::move(read);
        event_base_loopbreak(base.get());
    });
    event_base_dispatch(base.get());
    return batches;
}

std::vector<ledger::Bill> billsFrom(const std::vector<platform::BillBatch> &batches)
{
    std::vector<ledger::Bill> bills;
    for (const auto &batch : batches) {
        for (const auto &record : batch.records) {
            bills.push_back(ledger::billFrom(record));
        }
    }
    return bills;
}

ledger::RunCounts readRuns(const std::vector<net::Address> &engines)
{
    ledger::RunCounts runs;
    for (const auto &engine : engines) {
        const auto counts = NodeClient(engine).get("/counts").at("runs").get<ledger::RunCounts>();
        for (const auto &[requestId, count] : counts) {
            runs[requestId] += count;
        }
    }
    return runs;
}

void print(std::ostream &out, const ledger::Difference &difference)
{
    fmt::print(out,
               "{} request={} runs={} billed_steps={} bills={}\n",
               base::nameOf(ledger::differenceKindNames, difference.kind),
               difference.requestId,
               difference.runs,
               difference.billedSteps,
               difference.bills);
}

} // namespace

int verifyBills(const net::Address &platform, const std::vector<net::Address> &engines, std::ostream &out)
{
    // Runs are read first: a request that ends between the two reads is billed and not counted as lost.
    const auto runs = readRuns(engines);
    const auto batches = readBatches(platform);
    if (!batches) {
        fmt::print(out, "the platform's table does not answer\n");
        return exitUnknown;
    }
    const auto bills = billsFrom(*batches);
    const auto differences = ledger::reconcile(bills, runs);
    for (const auto &difference : differences) {
        print(out, difference);
    }
    fmt::print(out, "bills={} requests_run={} differences={}\n", bills.size(), runs.size(), differences.size());
    return differences.empty() ? exitOk : exitDifferent;
}

} // namespace ibisfork::ctl
