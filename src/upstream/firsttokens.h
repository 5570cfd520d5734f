#pragma once

#include <cstdint>

#include <ibisfork/base/clock.h>

namespace ibisfork::upstream {

/// Times to the first token of one upstream, to tell a sudden slow one.
class FirstTokens
{
public:
    /// Takes the next time; returns whether it is suddenly slow.
    bool add(base::Duration after);

private:
    double m_mean = 0;
    std::uint32_t m_count = 0;
};

} // namespace ibisfork::upstream
