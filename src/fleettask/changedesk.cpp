#include "fleettask/changedesk.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <ibisfork/base/log.h>

namespace ibisfork::fleettask {

using platform::ChangeOutcome;
using platform::ChangeState;

namespace {

constexpr int commitTries = 8;
/// Refused changes that are remembered for those who ask later.
constexpr std::size_t refusalsKept = 1000;
/// Members named in a message at most.
constexpr std::size_t membersNamed = 5;

} // namespace

ChangeDesk::ChangeDesk(platform::FleetStore &store, const FleetState &state, std::function<void()> committed)
    : m_store(store)
    , m_state(state)
    , m_committed(std::move(committed))
{ }

void ChangeDesk::submit(const SubmitChange &change)
{
    const auto id = change.request.change.id;
    commit(change.request, [this, id, reply = change.reply](const ChangeOutcome &outcome) {
        const auto status = statusOf(id, outcome);
        rememberRefusal(status);
        base::LogLine(base::LogLevel::Info, "change")
            .field("id", id)
            .field("state", base::nameOf(changeProgressNames, status.progress))
            .field("revision", status.revision)
            .field("message", status.message);
        reply(status);
    });
}

void ChangeDesk::find(const FindChange &question)
{
    if (const auto revision = m_state.findChange(question.id)) {
        question.reply(statusAt(question.id, *revision));
        return;
    }
    m_store.findChange(question.id, [this, question](std::optional<coord::Revision> revision) {
        const auto refused = m_refused.find(question.id);
        if (revision && *revision > 0) {
            question.reply(statusAt(question.id, *revision));
        } else if (refused != m_refused.end()) {
            question.reply(refused->second);
        } else {
            question.reply({question.id,
                            ChangeProgress::Unknown,
                            0,
                            revision ? "no change of this id has taken effect so far" : "the table does not answer"});
        }
    });
}

void ChangeDesk::commit(const platform::ChangeRequest &request, std::function<void(ChangeOutcome)> done)
{
    commit(request, commitTries, false, std::move(done));
}

void ChangeDesk::commit(const platform::ChangeRequest &request,
                        int triesLeft,
                        bool mayHaveTakenEffect,
                        std::function<void(ChangeOutcome)> done)
{
    m_store.commit(request,
                   [this, request, triesLeft, mayHaveTakenEffect, done = std::move(done)](ChangeOutcome outcome) {
                       const bool lost = outcome.state == ChangeState::Unknown;
                       if ((lost || outcome.state == ChangeState::HeadMoved) && triesLeft > 1) {
                           // The next try reads the row of the id first, and so finds out whether this one took effect.
                           commit(request, triesLeft - 1, mayHaveTakenEffect || lost, done);
                           return;
                       }
                       if (mayHaveTakenEffect && outcome.state == ChangeState::NotSent) {
                           outcome.state = ChangeState::Unknown;
                       }
                       done(outcome);
                       m_committed();
                   });
}

ChangeStatus ChangeDesk::statusOf(const std::string &id, const ChangeOutcome &outcome) const
{
    switch (outcome.state) {
    case ChangeState::Committed:
    case ChangeState::AlreadyCommitted:
        return statusAt(id, outcome.revision);
    case ChangeState::HeadMoved:
        return {id, ChangeProgress::Refused, 0, "too many other changes came between; nothing was changed"};
    case ChangeState::Conflict:
        return {id,
                ChangeProgress::Refused,
                0,
                fmt::format("conflict: another change touched the row {}; nothing was changed", outcome.row)};
    case ChangeState::NotSent:
        return {id, ChangeProgress::Refused, 0, "the table is out of reach; nothing was changed"};
    case ChangeState::Unknown:
        break;
    }
    return {id, ChangeProgress::Unknown, 0, "the table's answer was lost; ask again with the same id"};
}

ChangeStatus ChangeDesk::statusAt(const std::string &id, coord::Revision revision) const
{
    if (m_state.accepted() >= revision) {
        return {id, ChangeProgress::Accepted, revision, "in force at every node"};
    }
    auto awaited = m_state.awaited();
    const auto count = awaited.size();
    awaited.resize(std::min(count, membersNamed));
    return {id,
            ChangeProgress::Pending,
            revision,
            fmt::format("committed; {} members have not acknowledged it: {}", count, fmt::join(awaited, ", "))};
}

void ChangeDesk::rememberRefusal(const ChangeStatus &status)
{
    if (status.progress != ChangeProgress::Refused) {
        return;
    }
    if (m_refused.size() >= refusalsKept) {
        m_refused.erase(m_refused.begin());
    }
    m_refused[status.id] = status;
}

} // namespace ibisfork::fleettask
