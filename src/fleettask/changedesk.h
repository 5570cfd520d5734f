#pragma once

#include <map>
#include <string>

#include "fleettask/fleetstate.h"
#include "fleettask/messages.h"

namespace ibisfork::fleettask {

/// Takes operators' changes to the table and tells what became of them.
class ChangeDesk
{
public:
    /// @p committed is called after each commit that may have taken effect.
    ChangeDesk(platform::FleetStore &store, const FleetState &state, std::function<void()> committed);

    void submit(const SubmitChange &change);
    void find(const FindChange &question);
    /// Commits @p request, trying again while others' changes come between or the answer is lost.
    void commit(const platform::ChangeRequest &request, std::function<void(platform::ChangeOutcome)> done);

private:
    void commit(const platform::ChangeRequest &request,
                int triesLeft,
                bool mayHaveTakenEffect,
                std::function<void(platform::ChangeOutcome)> done);
    ChangeStatus statusOf(const std::string &id, const platform::ChangeOutcome &outcome) const;
    ChangeStatus statusAt(const std::string &id, coord::Revision revision) const;
    void rememberRefusal(const ChangeStatus &status);

    platform::FleetStore &m_store;
    const FleetState &m_state;
    std::function<void()> m_committed;
    std::map<std::string, ChangeStatus> m_refused;
};

} // namespace ibisfork::fleettask
