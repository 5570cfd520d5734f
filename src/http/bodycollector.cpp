#include "http/bodycollector.h"

#include <algorithm>
#include <utility>

namespace ibisfork::http {

namespace {

constexpr std::size_t growthFactor = 2;

} // namespace

BodyCollector::BodyCollector(memory::BudgetPtr budget)
    : m_budget(std::move(budget))
    , m_reservation(m_budget)
{ }

void BodyCollector::reset()
{
    m_bytes = {};
    m_droppedBytes = 0;
    m_reservation.resize(0);
    m_refusal = BodyRefusal::None;
}

void BodyCollector::refuse(BodyRefusal refusal)
{
    reset();
    m_refusal = refusal;
}

void BodyCollector::expect(std::size_t length, std::size_t maxBytes)
{
    // The bound may be raised while the body is read.
    if (!reserve(std::min(length, maxBytes))) {
        refuse(BodyRefusal::NoMemory);
    }
}

void BodyCollector::append(std::string_view bytes, std::size_t maxBytes)
{
    if (m_refusal != BodyRefusal::None) {
        return;
    }
    if (m_bytes.size() + bytes.size() > maxBytes) {
        refuse(BodyRefusal::TooLong);
    } else if (!tryAppend(bytes)) {
        refuse(BodyRefusal::NoMemory);
    }
}

void BodyCollector::drop(std::size_t bytes, std::size_t maxBytes)
{
    m_droppedBytes += bytes;
    if (m_refusal == BodyRefusal::None && m_droppedBytes > maxBytes) {
        refuse(BodyRefusal::TooLong);
    }
}

bool BodyCollector::reserve(std::size_t length)
{
    return length <= m_reservation.size() || grow(length);
}

bool BodyCollector::tryAppend(std::string_view bytes)
{
    const auto size = m_bytes.size() + bytes.size();
    // The length of a body in chunks is not known before its end.
    if (size > m_reservation.size() && !grow(std::max(size, m_reservation.size() * growthFactor))) {
        return false;
    }
    m_bytes.append(bytes);
    return true;
}

bool BodyCollector::grow(std::size_t capacity)
{
    // Both buffers are there while the bytes move.
    if (!m_reservation.resize(m_reservation.size() + capacity)) {
        return false;
    }
    std::string larger;
    larger.reserve(capacity);
    larger.append(m_bytes);
    m_bytes = std::move(larger);
    m_reservation.resize(capacity);
    return true;
}

Body BodyCollector::take()
{
    m_refusal = BodyRefusal::None;
    if (m_bytes.empty()) {
        reset();
        return {};
    }
    return {std::exchange(m_bytes, {}), std::exchange(m_reservation, memory::Reservation(m_budget))};
}

} // namespace ibisfork::http
