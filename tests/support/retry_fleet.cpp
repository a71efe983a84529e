#include "support/retry_fleet.hpp"

#include <algorithm>
#include <utility>

namespace runlink::tests
{
namespace
{

constexpr time_point start_time{seconds{100}};
constexpr duration step = milliseconds{10};
constexpr duration retry_after = milliseconds{40};
constexpr duration restart_after = milliseconds{500};
constexpr duration proof_age = milliseconds{1500};

} // namespace

retry_fleet::retry_fleet(retry_case of) : case_{std::move(of)}, random_{case_.seed}, now_{start_time}
{
    instances_.resize(static_cast<std::size_t>(case_.instances + case_.joining));
    for (std::size_t n = 0; n < instances_.size(); ++n)
    {
        auto& it = instances_[n];
        it.first_start =
            n < static_cast<std::size_t>(case_.instances) ? now_ - seconds{60} : now_ + case_.join_at;
        it.down_until = it.first_start;
        if (n < static_cast<std::size_t>(case_.instances) && random() < case_.cut_share)
            it.cut_at = start_time + case_.cut_at;
    }
    for (std::size_t n = 0; n < static_cast<std::size_t>(case_.instances); ++n)
        start(n);
}

std::size_t retry_fleet::count_known(const instance& to) const
{
    const auto heard_until = std::min(now_, to.cut_at);
    const auto is_known = [&](const instance& it) {
        return &it == &to || (it.first_start < it.cut_at && it.first_start + case_.news_delay <= heard_until);
    };
    return static_cast<std::size_t>(std::count_if(instances_.begin(), instances_.end(), is_known));
}

void retry_fleet::start(std::size_t n)
{
    routing::retry_options options;
    options.window = std::chrono::duration_cast<milliseconds>(case_.bound.window);
    options.ratio = case_.bound.ratio;
    options.slack = case_.bound.slack;
    auto& it = instances_[n];
    it.allowance = routing::retry_allowance{options};
    it.share = routing::retry_share{options.slack};
    if (*it.down_until < it.cut_at)
        it.share.on_listed(*it.down_until);
    it.down_until.reset();
    ++it.life;
}

void retry_fleet::kill_some()
{
    for (auto& it : instances_)
        if (!it.down_until && random() < case_.kill_share)
        {
            it.down_until = now_ + restart_after;
            ++it.life;
        }
}

void retry_fleet::suspend_some()
{
    constexpr double share = 0.1;
    constexpr double most_ms = 3000;
    for (auto& it : instances_)
        if (random() < share)
            it.suspended_until = now_ + milliseconds{static_cast<int>(random() * most_ms)};
}

void retry_fleet::move_callers()
{
    constexpr double most_targets = 5;
    targets_.resize(1 + static_cast<std::size_t>(random() * most_targets));
    for (auto& it : targets_)
        it = static_cast<std::size_t>(random() * static_cast<double>(instances_.size()));
}

std::size_t retry_fleet::pick()
{
    const auto of = targets_.empty() ? instances_.size() : targets_.size();
    const auto n = static_cast<std::size_t>(random() * static_cast<double>(of));
    return targets_.empty() ? n : targets_[n];
}

void retry_fleet::send_requests()
{
    requests_due_ += case_.requests_per_s * std::chrono::duration<double>(step).count();
    for (; requests_due_ >= 1; requests_due_ -= 1)
    {
        record_.on_first(now_);
        request it;
        it.at = pick();
        it.life = instances_[it.at].life;
        it.sent = now_;
        if (is_up(it.at)) // otherwise the caller's connection is refused
            requests_.push_back(it);
    }
}

bool retry_fleet::take(instance& it)
{
    it.share.set_instances(now_, count_known(it));
    if (now_ < it.cut_at)
        it.share.confirm(now_ - proof_age);
    return it.allowance.try_take(now_, it.share);
}

void retry_fleet::advance(request& it)
{
    auto& at = instances_[it.at];
    if (!std::exchange(it.is_read, true))
    {
        at.allowance.on_request(it.sent);
        if (now_ - start_time < case_.fail_from)
            it.retries_left = 0;
    }
    else if (take(at))
    {
        --it.retries_left;
        record_.on_retry(now_);
    }
    else
        it.retries_left = 0;
    it.next = now_ + retry_after;
}

void retry_fleet::change_instances()
{
    const auto passed = now_ - start_time;
    const auto is_due = [&](duration interval)
    { return interval > duration{} && passed > duration{} && passed % interval == duration{}; };
    for (std::size_t n = 0; n < instances_.size(); ++n)
        if (instances_[n].down_until && *instances_[n].down_until <= now_)
            start(n);
    if (std::find(case_.kills.begin(), case_.kills.end(), passed) != case_.kills.end())
        kill_some();
    if (is_due(case_.move_interval))
        move_callers();
    if (is_due(case_.suspend_interval))
        suspend_some();
}

retry_record retry_fleet::run()
{
    for (; now_ < start_time + case_.length; now_ += step)
    {
        change_instances();
        send_requests();
        for (auto& it : requests_)
            if (it.life == instances_[it.at].life && instances_[it.at].suspended_until <= now_ &&
                it.next <= now_)
                advance(it);
        std::erase_if(requests_, [this](const auto& it)
                      { return it.retries_left == 0 || it.life != instances_[it.at].life; });
    }
    return record_;
}

} // namespace runlink::tests
