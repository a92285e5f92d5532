#pragma once

#include <QtGlobal>

#include <algorithm>

namespace Rattanpick
{

/// Limits retries and hedges to a share of the requests seen.
class RetryBudget
{
public:
    /// The most retries that an idle period can save up.
    static constexpr int maximumSavedRetries = 10;

    /// Builds a budget without credit; @p percent is in 0 to 100.
    explicit RetryBudget(int percent)
    {
        setPercent(percent);
    }

    /// Changes the share; credit that is saved up stays.
    void setPercent(int percent)
    {
        m_percent = std::clamp(percent, 0, 100);
    }

    /// A first attempt of a request has been seen; repeats, retries and hedges do not count.
    void onRequest()
    {
        m_credit = std::min(m_credit + m_percent, maximumSavedRetries * creditPerRetry);
    }

    /// Takes one retry out of the budget; false if there is none.
    bool tryTake()
    {
        if (m_credit < creditPerRetry) {
            return false;
        }
        m_credit -= creditPerRetry;
        return true;
    }

private:
    /// Credit is counted in hundredths of a retry, so that the share needs no rounding.
    static constexpr int creditPerRetry = 100;

    int m_percent = 0;
    int m_credit = 0;
};

}
