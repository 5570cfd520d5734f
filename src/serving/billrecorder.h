#pragma once

#include <functional>

#include "ledger/bill.h"

namespace ibisfork::serving {

/// Records the bill of a request and then calls @p recorded; the last byte of a response is held back until then.
using BillRecorder = std::function<void(const ledger::Bill &bill, std::function<void()> recorded)>;

/// BillRecorder that discards bills.
inline void discardBill(const ledger::Bill &, const std::function<void()> &recorded)
{
    recorded();
}

} // namespace ibisfork::serving
