/// \file
/// Limit on the load that retries add.
#pragma once

#include <algorithm>

namespace runlink::core
{

/// Each first attempt adds `ratio` to the balance, up to `burst`; each retry takes 1 from it.
class retry_budget
{
public:
    explicit retry_budget(double ratio = 0.1, double burst = 10)
        : ratio_{ratio}, burst_{burst}, balance_{burst}
    {
    }

    void on_first_attempt() { balance_ = std::min(burst_, balance_ + ratio_); }

    bool try_take()
    {
        if (balance_ < 1)
            return false;
        balance_ -= 1;
        return true;
    }

private:
    double ratio_;
    double burst_;
    double balance_;
};

} // namespace runlink::core
