#include "ledger/billdraft.h"

namespace ibisfork::ledger {

BillDraft::BillDraft(std::string requestId, std::string workspace, std::string node)
{
    m_bill.requestId = std::move(requestId);
    m_bill.workspace = std::move(workspace);
    m_bill.node = std::move(node);
}

void BillDraft::sent(const std::string &version, const std::string &upstream, double cost)
{
    m_bill.steps.push_back({version, upstream, 0, 0, cost});
}

void BillDraft::notRun()
{
    if (!m_bill.steps.empty()) {
        m_bill.steps.pop_back();
    }
}

void BillDraft::piece()
{
    if (!m_bill.steps.empty()) {
        ++m_bill.steps.back().completionTokens;
    }
}

void BillDraft::counted(std::uint64_t promptTokens, std::uint64_t completionTokens)
{
    if (!m_bill.steps.empty()) {
        m_bill.steps.back().promptTokens = promptTokens;
        m_bill.steps.back().completionTokens = completionTokens;
    }
}

std::optional<Bill> BillDraft::close(BillOutcome outcome)
{
    if (m_closed || m_bill.steps.empty()) {
        return std::nullopt;
    }
    m_closed = true;
    m_bill.outcome = outcome;
    return m_bill;
}

} // namespace ibisfork::ledger
