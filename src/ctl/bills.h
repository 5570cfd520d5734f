#pragma once

#include <ostream>
#include <vector>

#include "net/address.h"

namespace ibisfork::ctl {

/// Compares the bills in the platform's table with the runs that @p engines counted and names each difference.
/// Gives 0 if there is none, 1 if there are some and 3 if one of them did not answer.
int verifyBills(const net::Address &platform, const std::vector<net::Address> &engines, std::ostream &out);

} // namespace ibisfork::ctl
