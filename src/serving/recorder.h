#pragma once

#include <functional>

#include "ledger/bill.h"

namespace ibisfork::serving {

/// Takes the bill of a request; an answer's last byte is held back until @p recorded is called.
using Recorder = std::function<void(const ledger::Bill &bill, std::function<void()> recorded)>;

inline void recordNothing(const ledger::Bill &, const std::function<void()> &recorded)
{
    recorded();
}

} // namespace ibisfork::serving
