#include "runlink/routing/retry_allowance.hpp"

#include <algorithm>
#include <numeric>
#include <utility>

namespace runlink::routing
{
namespace
{

/// The credit of a request lasts for the window divided by this.
constexpr int lifetimes_per_window = 10;
/// Fractions of the slack for instances whose list of instances is current, and for those that have lost
/// contact. The remainder covers retries that arrive later than they were counted.
constexpr double current_part = 0.7;
constexpr double outdated_part = 0.2;
/// A list of instances counts as current for this long: callers keep the full share in a shorter outage of
/// the store.
constexpr core::seconds confirmation_lifetime{10};
/// Time within which an instance in contact with the store learns of one that is listed.
constexpr core::seconds news_time{5};
/// After an outage of the store, entries of instances may be missing for this long.
constexpr core::seconds count_hold_time{60};

} // namespace

std::string_view to_string(retry_cause it)
{
    switch (it)
    {
    case retry_cause::unsent: return "unsent";
    case retry_cause::loss: return "loss";
    case retry_cause::escalation: return "escalation";
    case retry_cause::move: return "move";
    case retry_cause::hedge: return "hedge";
    }
    return {};
}

double reserve_fraction(retry_cause it)
{
    switch (it)
    {
    case retry_cause::unsent:
    case retry_cause::loss: return 0;
    case retry_cause::escalation:
    case retry_cause::move: return 0.25;
    case retry_cause::hedge: return 0.5;
    }
    return 0;
}

// Share

void retry_share::set_instances(core::time_point now, std::size_t count)
{
    if (count >= count_)
    {
        count_ = count;
        fewer_since_.reset();
        return;
    }
    if (!fewer_since_)
    {
        fewer_since_ = now;
        most_since_ = 0;
    }
    most_since_ = std::max(most_since_, count);
    if (now - *fewer_since_ < count_hold_time)
        return;
    count_ = most_since_;
    fewer_since_.reset();
}

double retry_share::at(core::time_point now) const
{
    if (!has_been_listed_for(now, confirmation_lifetime + news_time))
        return 0;
    // Without contact since then, this instance may not know those that started together with it.
    if (!confirmed_at_ || *confirmed_at_ < *listed_at_ + news_time)
        return 0;
    const bool is_current = now - *confirmed_at_ < confirmation_lifetime;
    const auto part = is_current ? current_part : outdated_part;
    return slack_ * part / static_cast<double>(std::max<std::size_t>(count_, 1));
}

// Allowance

retry_allowance::retry_allowance(retry_options options) : window_{options.window}
{
    span_ = window_ / lifetimes_per_window / bucket_count;
    // Requests of one lifetime before a window can pay for retries within it.
    credit_per_request_ = options.ratio * lifetimes_per_window / (lifetimes_per_window + 1);
}

std::int64_t retry_allowance::number_of(core::time_point at) const
{
    return at.time_since_epoch() / span_;
}

void retry_allowance::on_request(core::time_point at)
{
    const auto number = number_of(at);
    auto& it = recent_[static_cast<std::size_t>(number % bucket_count)];
    if (it.number > number)
        return; // older than a lifetime
    if (it.number < number)
    {
        saved_ += it.credit; // `save` limits it before it is used
        it = {number, 0};
    }
    it.credit += credit_per_request_;
}

void retry_allowance::save(core::time_point now, const retry_share& share)
{
    const auto oldest = number_of(now) - bucket_count + 1;
    for (auto& it : recent_)
        if (it.number < oldest)
            saved_ += std::exchange(it.credit, 0);
    // Retries of an earlier process of this instance are also out of the window by then.
    const bool is_unused =
        share.has_been_listed_for(now, window_) && (!last_retry_ || now - *last_retry_ >= window_);
    saved_ = is_unused ? share.at(now) : std::min(saved_, share.at(now));
}

double retry_allowance::left(core::time_point now, const retry_share& share)
{
    save(now, share);
    // Fractions that add up to a whole retry may fall short of it by a rounding error.
    constexpr double rounding_error = 1e-6;
    return rounding_error + std::accumulate(recent_.begin(), recent_.end(), saved_,
                                            [](double sum, const bucket& it) { return sum + it.credit; });
}

bool retry_allowance::try_take(core::time_point now, const retry_share& share)
{
    if (left(now, share) < 1)
        return false;
    last_retry_ = now;
    double due = 1;
    const auto take = [&due](double& from)
    {
        const auto part = std::min(from, due);
        from -= part;
        due -= part;
    };
    take(saved_);
    std::array<bucket*, bucket_count> by_age{};
    std::transform(recent_.begin(), recent_.end(), by_age.begin(), [](bucket& it) { return &it; });
    std::sort(by_age.begin(), by_age.end(),
              [](const auto* a, const auto* b) { return a->number < b->number; });
    for (auto* it : by_age)
        take(it->credit);
    return true;
}

} // namespace runlink::routing
