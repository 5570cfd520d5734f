#include "fleettask/membership.h"

#include <algorithm>

#include <fmt/format.h>

#include <ibisfork/base/log.h>
#include <ibisfork/fleet/rows.h>

namespace ibisfork::fleettask {

namespace {

/// Silence after which others are asked about a member, and after which it is removed.
constexpr std::chrono::seconds suspectedAfter{10};
constexpr std::chrono::seconds removedAfter{30};

} // namespace

Membership::Membership(const settings::Settings &settings, FleetState &state, ChangeDesk &desk, platform::VmList &vms)
    : m_settings(settings)
    , m_state(state)
    , m_desk(desk)
    , m_vms(vms)
{ }

void Membership::joinOnce()
{
    if (m_joining || m_left || m_state.isMember()) {
        return;
    }
    m_joining = true;
    const fleet::Member self{m_settings.node.name,
                             m_state.incarnation(),
                             m_peerAddress.text(),
                             m_settings.node.failureDomain,
                             m_settings.node.region};
    // A node that was removed by mistake joins once more, at a later revision.
    const auto id = fmt::format("{}{}-{}", changeid::join, m_state.incarnation(), m_state.revision());
    const coord::Change change{
        0, id, self.node, "node joins", {{fleet::rowprefix::member + self.node, fleet::memberRow(self)}}};
    m_desk.commit({change, std::nullopt, std::nullopt}, [this](const platform::ChangeOutcome &) { m_joining = false; });
}

void Membership::leave(std::function<void()> left)
{
    m_left = true;
    const auto *self = m_state.members().find(m_state.incarnation());
    if (self == nullptr) {
        left();
        return;
    }
    const auto key = fleet::rowprefix::member + self->node;
    const coord::Change change{
        0, changeid::leave + m_state.incarnation(), self->node, "node leaves", {{key, std::nullopt}}};
    const platform::ExpectedRow expected{key, m_state.members().rows().at(key)};
    m_desk.commit({change, std::nullopt, expected},
                  [left = std::move(left)](const platform::ChangeOutcome &) { left(); });
}

void Membership::removeDead(base::TimePoint now)
{
    if (!m_state.isRelay()) {
        m_relaySince.reset();
        m_knownSince.clear();
        return;
    }
    if (!m_relaySince) {
        m_relaySince = now;
    }
    recordMembers(now);
    m_vms.read([this](const std::optional<std::vector<platform::Vm>> &vms) {
        if (vms) {
            onVms(*vms);
        }
    });
    removeSilent(now);
}

void Membership::recordMembers(base::TimePoint now)
{
    const auto incarnations = m_state.members().incarnations();
    std::erase_if(m_knownSince, [&](const auto &entry) { return !incarnations.contains(entry.first); });
    for (const auto &incarnation : incarnations) {
        m_knownSince.emplace(incarnation, now);
    }
}

void Membership::onVms(const std::vector<platform::Vm> &vms)
{
    for (const auto &vm : vms) {
        if (vm.state != platform::VmState::Gone) {
            continue;
        }
        m_state.recordEnded(vm.incarnation, base::monotonicNow());
        if (const auto *member = m_state.members().find(vm.incarnation)) {
            remove(*member, changeid::gone + vm.incarnation, "the platform says that the VM is gone");
        }
    }
}

bool Membership::suspects(base::TimePoint now) const
{
    return m_relaySince && now - *m_relaySince >= suspectedAfter && !silentFor(suspectedAfter, now).empty();
}

std::vector<const fleet::Member *> Membership::silentFor(base::Duration silence, base::TimePoint now) const
{
    std::vector<const fleet::Member *> silent;
    for (const auto &[node, member] : m_state.members().members()) {
        const auto statement = m_state.statements().all().find(member.incarnation);
        const auto known = m_knownSince.find(member.incarnation);
        if (member.incarnation == m_state.incarnation() || known == m_knownSince.end()) {
            continue;
        }
        const auto heard = statement == m_state.statements().all().end() ? base::TimePoint{} : statement->second.asOf;
        if (now - std::max(heard, known->second) >= silence) {
            silent.push_back(&member);
        }
    }
    return silent;
}

void Membership::removeSilent(base::TimePoint now)
{
    // While a revision is not accepted, those unheard may still confirm one another under an older member list.
    if (now - *m_relaySince < removedAfter || m_state.accepted() < m_state.newest()) {
        return;
    }
    // A node that hears few is itself the one cut off.
    const auto heard = m_state.statements().majorityAsOf(m_state.members().incarnations(), m_state.newest());
    if (!heard || now - *heard >= suspectedAfter) {
        return;
    }
    for (const auto *member : silentFor(removedAfter, now)) {
        const auto id = fmt::format("{}{}-{}", changeid::silent, member->incarnation, m_state.revision());
        remove(*member, id, "nobody hears the node");
    }
}

void Membership::remove(const fleet::Member &member, const std::string &id, const std::string &reason)
{
    if (!m_removing.insert(member.incarnation).second) {
        return;
    }
    const auto key = fleet::rowprefix::member + member.node;
    base::LogLine(base::LogLevel::Warning, "remove-member")
        .field("node", member.node)
        .field("incarnation", member.incarnation)
        .field("reason", reason);
    const coord::Change change{0, id, m_settings.node.name, reason, {{key, std::nullopt}}};
    // The row names the incarnation, so that a node born anew under the same name stays.
    const platform::ExpectedRow expected{key, m_state.members().rows().at(key)};
    m_desk.commit(
        {change, std::nullopt, expected},
        [this, incarnation = member.incarnation](const platform::ChangeOutcome &) { m_removing.erase(incarnation); });
}

} // namespace ibisfork::fleettask
