#pragma once

#include <cstdint>
#include <vector>

#include "gateway/enginebook.h"

namespace ibisfork::gateway {

/// Keeps long prompts and short ones on engines of their own.
///
/// While an engine reads a long prompt, all other requests there wait for their tokens. So the engines of a service are
/// divided by rendezvous hashing: as many as the long prompts' share of the work needs take these, the others the rest.
/// All nodes divide them alike, as far as they see the same mix of requests.
class PromptLanes
{
public:
    /// A prompt of at least this many tokens is long, whether an engine has cached a part or not: requests that share a
    /// part would else be sent to both kinds of engines, each of which would read it.
    static constexpr std::uint32_t longTokens = 6000;

    /// Counts a request whose prompt has @p tokens.
    void count(std::uint32_t tokens);
    /// The engines for a prompt of @p tokens; all of them if there are too few to divide.
    std::vector<Engine *> enginesFor(std::uint32_t tokens, const std::vector<Engine *> &engines) const;
    /// Share of the work that long prompts make, from 0 to 1.
    double longShare() const { return m_longShare; }

private:
    double m_longShare = 0;
    double m_work = 0;
};

} // namespace ibisfork::gateway
