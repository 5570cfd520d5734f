#include "ledger/billlog.h"

#include <algorithm>

namespace ibisfork::ledger {

BillLog::BillLog(std::string incarnation, std::size_t capacity)
    : m_incarnation(std::move(incarnation))
    , m_capacity(capacity)
{ }

void BillLog::add(std::string record, std::uint64_t ticket)
{
    m_entries.push_back({std::move(record), ticket});
}

std::optional<platform::BillBatch> BillLog::batch(std::size_t most)
{
    // A batch whose fate is not known may be in the table already, so it is never cut anew.
    if (m_batched == 0) {
        m_batched = std::min(most, m_entries.size());
    }
    if (m_batched == 0) {
        return std::nullopt;
    }
    platform::BillBatch batch{m_incarnation, m_first, {}};
    for (std::size_t index = 0; index < m_batched; ++index) {
        batch.records.push_back(m_entries[index].record);
    }
    return batch;
}

std::vector<std::uint64_t> BillLog::appended()
{
    return drop(std::exchange(m_batched, 0));
}

std::vector<std::uint64_t> BillLog::closedAt(std::uint64_t next, std::string newIncarnation)
{
    const auto inTable = next > m_first ? std::min<std::uint64_t>(next - m_first, m_entries.size()) : 0;
    auto tickets = drop(inTable);
    m_incarnation = std::move(newIncarnation);
    m_first = 0;
    m_batched = 0;
    return tickets;
}

std::vector<std::uint64_t> BillLog::drop(std::size_t count)
{
    std::vector<std::uint64_t> tickets;
    for (std::size_t index = 0; index < count; ++index) {
        tickets.push_back(m_entries.front().ticket);
        m_entries.pop_front();
    }
    m_first += count;
    return tickets;
}

} // namespace ibisfork::ledger
