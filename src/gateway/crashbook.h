#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include <ibisfork/base/clock.h>

namespace ibisfork::gateway {

/// Knows requests by what they ask for, and how many engines fell while they ran them, here and at other nodes.
class CrashBook
{
public:
    /// Engines that a request may take down before it is refused everywhere.
    static constexpr unsigned condemnedAt = 3;

    /// The name under which the same request is known again: its workspace, path and body.
    static std::string fingerprintOf(const std::string &workspace, const std::string &path, const std::string &body);

    /// @p engine fell while it ran the request. Returns the count that other nodes should be told, if they should.
    std::optional<unsigned> noteCrash(const std::string &fingerprint,
                                      const std::string &engine,
                                      bool repeatable,
                                      base::TimePoint now);
    /// Whether any request is blamed for the loss of an engine.
    bool hasSuspects() const { return !m_suspects.empty(); }
    /// The request was answered, so what it was blamed for had another cause.
    void noteAnswered(const std::string &fingerprint);
    /// What all nodes together have counted.
    void noteShared(const std::string &fingerprint, unsigned crashes);

    bool condemned(const std::string &fingerprint) const;

private:
    struct Suspect
    {
        std::set<std::string> engines;
        base::TimePoint last{};
    };

    void forgetOld(base::TimePoint now);

    std::map<std::string, Suspect> m_suspects;
    std::map<std::string, unsigned> m_shared;
};

} // namespace ibisfork::gateway
