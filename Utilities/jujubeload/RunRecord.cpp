#include <jujubeload/RunRecord.h>

namespace Load {

double RunTotals::cachedShare() const
{
    if (usage.promptTokens == 0)
        return 0;
    return static_cast<double>(usage.cachedTokens) / static_cast<double>(usage.promptTokens);
}

void RunRecord::note(const RequestOutcome &outcome)
{
    const std::scoped_lock lock(m_mutex);
    if (!outcome.error.empty()) {
        ++m_totals.errors[outcome.error];
        return;
    }
    ++m_totals.answered;
    m_totals.usage.promptTokens += outcome.usage.promptTokens;
    m_totals.usage.cachedTokens += outcome.usage.cachedTokens;
    m_totals.usage.completionTokens += outcome.usage.completionTokens;
    m_totals.firstToken.observe(outcome.firstToken);
    m_totals.whole.observe(outcome.whole);
    for (const auto gap : outcome.gaps)
        m_totals.betweenTokens.observe(gap);
}

RunTotals RunRecord::totals() const
{
    const std::scoped_lock lock(m_mutex);
    return m_totals;
}

} // namespace Load
