#include "runlink/core/version_guard.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace runlink::core
{

void badness_test::add(std::uint64_t good, std::uint64_t bad)
{
    for (std::size_t n = 0; n < sums_.size(); ++n)
    {
        const double p0 = options_->accepted_bad;
        const double p1 = options_->looked_for[n];
        const double gain = static_cast<double>(bad) * std::log(p1 / p0) +
                            static_cast<double>(good) * std::log((1 - p1) / (1 - p0));
        sums_[n] = std::max(0.0, sums_[n] + gain);
    }
}

double badness_test::highest() const
{
    return *std::max_element(sums_.begin(), sums_.end());
}

bool badness_test::is_bad() const
{
    return highest() >= options_->stop_threshold;
}

version_guard::version_guard(guard_options options, std::function<std::size_t()> live_instances)
    : options_{options}, live_instances_{std::move(live_instances)}
{
}

version_guard::record& version_guard::at(const version_ref& version)
{
    const auto found = records_.find(version);
    if (found != records_.end())
        return found->second;
    record it{{}, {}, options_.first_window, badness_test{options_}, false, false};
    it.own.version = version;
    return records_.emplace(version, std::move(it)).first->second;
}

bool version_guard::admits(time_point now, const version_ref& version, version_state state)
{
    auto& it = at(version);
    if (it.stopped)
        return false;
    if (state != version_state::rolling_out)
        return true;
    while (!it.unrated.empty() && now - it.unrated.front() > options_.unrated_expires)
        it.unrated.pop_front();
    const double share = it.window / static_cast<double>(std::max<std::size_t>(live_instances_(), 1));
    return static_cast<double>(it.unrated.size()) < std::max(share, 1.0);
}

bool version_guard::is_stopped(const version_ref& version) const
{
    const auto found = records_.find(version);
    return found != records_.end() && found->second.stopped;
}

void version_guard::started(time_point now, const version_ref& version)
{
    auto& it = at(version);
    ++it.own.started;
    it.unrated.push_back(now);
    const auto bound = static_cast<std::size_t>(options_.widest_window);
    if (it.unrated.size() > bound)
        it.unrated.pop_front();
}

void version_guard::rated(const version_ref& version, bool good)
{
    auto& it = at(version);
    if (!it.unrated.empty())
        it.unrated.pop_front();
    ++(good ? it.own.good : it.own.bad);
    evidence(version, it, good ? 1 : 0, good ? 0 : 1);
}

void version_guard::failed(const version_ref& version)
{
    auto& it = at(version);
    if (!it.unrated.empty())
        it.unrated.pop_back();
    ++it.own.failed;
    evidence(version, it, 0, 1);
}

void version_guard::evidence(const version_ref& version, record& it, std::uint64_t good, std::uint64_t bad)
{
    it.window =
        std::min(options_.widest_window, it.window + static_cast<double>(good) * options_.growth_per_good);
    it.window = std::max(options_.first_window,
                         it.window * std::pow(options_.shrink_on_bad, static_cast<double>(bad)));
    it.test.add(good, bad);
    if (it.test.is_bad())
        stop(version, it);
}

void version_guard::stop(const version_ref& version, record& it)
{
    const bool may = may_stop(version);
    const bool is_news = !it.stopped && (may || !it.reported);
    it.stopped = it.stopped || may;
    it.own.stopped = it.stopped;
    it.reported = true;
    if (is_news && on_bad)
        on_bad(version, it.stopped);
}

std::vector<version_counts> version_guard::counts() const
{
    std::vector<version_counts> out;
    for (const auto& [unused, it] : records_)
        out.push_back(it.own);
    return out;
}

void version_guard::on_peer(const incarnation_id& peer, const std::vector<version_counts>& counts)
{
    auto& known = peers_[peer];
    for (const auto& now : counts)
    {
        auto& before = known[now.version];
        auto& it = at(now.version);
        const auto good = now.good - std::min(now.good, before.good);
        const auto bad = now.bad + now.failed - std::min(now.bad + now.failed, before.bad + before.failed);
        before = now;
        if (good + bad > 0)
            evidence(now.version, it, good, bad);
        if (now.stopped)
            stop(now.version, it);
    }
}

void version_guard::clear(const version_ref& version)
{
    records_.erase(version);
    for (auto& [unused, it] : peers_)
        it.erase(version);
}

double version_guard::window(const version_ref& version) const
{
    const auto found = records_.find(version);
    return found == records_.end() ? options_.first_window : found->second.window;
}

} // namespace runlink::core
