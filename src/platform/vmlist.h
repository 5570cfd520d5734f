#pragma once

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <ibisfork/base/clock.h>
#include <ibisfork/base/names.h>

#include "net/address.h"
#include "net/httpcall.h"

namespace ibisfork::platform {

enum class VmState { Live, Leaving, Gone };
inline constexpr std::array<base::Name<VmState>, 3> vmStateNames{{
    {VmState::Live, "live"},
    {VmState::Leaving, "leaving"},
    {VmState::Gone, "gone"},
}};

/// A VM of the platform and the incarnation of the node that runs on it.
struct Vm
{
    std::string node;
    std::string incarnation;
    VmState state = VmState::Live;
};

/// The platform's list of VMs, which lags behind. Lives on one event loop.
class VmList
{
public:
    VmList(event_base *base, net::Address address, base::Duration timeout);

    /// Gives nothing if the list can't be read. Ignored while a read is under way.
    void read(std::function<void(const std::optional<std::vector<Vm>> &)> done);

private:
    event_base *m_base;
    net::Address m_address;
    base::Duration m_timeout;
    std::unique_ptr<net::HttpCall> m_call;
};

} // namespace ibisfork::platform
