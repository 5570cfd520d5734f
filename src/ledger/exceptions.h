#pragma once

#include <ibisfork/base/error.h>

namespace ibisfork::ledger {

namespace errormessage {
inline constexpr const char *badBill = "a bill can't be read: {}";
} // namespace errormessage

/// A record of the ledger that can't be taken.
class LedgerError : public base::Error
{
public:
    using Error::Error;
};

} // namespace ibisfork::ledger
