#pragma once

#include <optional>

#include "ledger/bill.h"

namespace ibisfork::ledger {

/// The bill of a request while it runs. It is closed once, and only if something may have run.
class BillDraft
{
public:
    BillDraft(std::string requestId, std::string workspace, std::string node);

    /// A run was sent to @p upstream.
    void sent(const std::string &version, const std::string &upstream, double cost);
    /// The last run that was sent has not run and will not.
    void notRun();
    /// A piece of the last run's answer came.
    void piece();
    /// What the upstream counted for the last run.
    void counted(std::uint64_t promptTokens, std::uint64_t completionTokens);

    /// The bill, the first time that it is asked for; nothing if nothing may have run.
    std::optional<Bill> close(BillOutcome outcome);

private:
    Bill m_bill;
    bool m_closed = false;
};

} // namespace ibisfork::ledger
