#pragma once

#include <QtGlobal>

#include <algorithm>

namespace Rattanpick
{

/// Limits retries and hedges to a share of the requests.
class RetryBudget
{
public:
    /// The most retries for which credit can accumulate.
    static constexpr int maximumSavedRetries = 10;

    /// Creates a budget without credit; @p percent is in the range 0 to 100.
    explicit RetryBudget(int percent)
    {
        setPercent(percent);
    }

    /// Changes the share; accumulated credit is kept.
    void setPercent(int percent)
    {
        m_percent = std::clamp(percent, 0, 100);
    }

    /// Adds the credit for the first attempt of a request; not to be called for repeats, retries and hedges.
    void onRequest()
    {
        m_credit = std::min(m_credit + m_percent, maximumSavedRetries * creditPerRetry);
    }

    /// Takes one retry from the budget; false if the credit does not suffice.
    bool tryTake()
    {
        if (m_credit < creditPerRetry) {
            return false;
        }
        m_credit -= creditPerRetry;
        return true;
    }

private:
    /// Credit is counted in hundredths of a retry, which avoids rounding of the share.
    static constexpr int creditPerRetry = 100;

    int m_percent = 0;
    int m_credit = 0;
};

}
