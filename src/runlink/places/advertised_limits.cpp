#include "runlink/places/advertised_limits.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::places
{
namespace
{

constexpr double us_per_s = 1e6;
/// Additional senders per request per second of a limit. An endpoint handles 1.5 times its advertised limit.
constexpr double senders_per_request_per_s = 2;
/// Divides the interval to get the range of the random delay before a sender's next send. The delay lets the
/// other senders learn of the send in time.
constexpr int phase_divisor = 4;
/// Maximum sends counted from one report, because the counter of an instance jumps when it has restarted.
constexpr std::uint64_t max_sends_per_report = 16;

} // namespace

std::string_view to_string(limit_change it)
{
    switch (it)
    {
    case limit_change::none: return "none";
    case limit_change::named: return "named";
    case limit_change::lowered: return "lowered";
    case limit_change::raised: return "raised";
    case limit_change::ended: return "ended";
    }
    return "unknown";
}

const advertised_limits::record* advertised_limits::find(const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

const advertised_limits::record* advertised_limits::find_limited(const endpoint_id& id) const
{
    const auto* it = find(id);
    return it != nullptr && it->requests_per_s ? it : nullptr;
}

std::optional<double> advertised_limits::limit_of(const endpoint_id& id) const
{
    const auto* it = find(id);
    return it == nullptr ? std::nullopt : it->requests_per_s;
}

// Statements

limit_change advertised_limits::on_answer(time_point now, const endpoint_id& id,
                                          std::optional<double> requests_per_s, time_point asked_at)
{
    const auto found = records_.find(id);
    if (found == records_.end() && !requests_per_s)
        return limit_change::none;
    auto& it = found == records_.end() ? records_[id] : found->second;
    if (!requests_per_s && !it.requests_per_s)
        return limit_change::none;
    const bool is_lower = requests_per_s && (!it.requests_per_s || *requests_per_s < *it.requests_per_s);
    // An answer to a request that was sent before the limit was advertised does not show that it has ended.
    if (!is_lower && it.requests_per_s && asked_at < it.lowered_at)
        return limit_change::none;
    const auto out = apply(now, id, it, requests_per_s, now);
    // Only the instance that received the answer reports the change to all others.
    it.needs_broadcast = it.needs_broadcast || out != limit_change::none;
    return out;
}

limit_update advertised_limits::on_report(time_point now, const core::instance_id& by, const limit_report& it)
{
    const auto found = records_.find(it.endpoint);
    if (found == records_.end() && !it.requests_per_s)
        return {};
    auto& to = found == records_.end() ? records_[it.endpoint] : found->second;
    limit_update out{limit_change::none, it.age};
    const auto stated_at = now - it.age;
    if (found == records_.end() || stated_at > to.stated_at)
        out.change = apply(now, it.endpoint, to, it.requests_per_s, stated_at);
    to.last_report_at = now;
    const auto known = to.peers.find(by);
    if (known == to.peers.end() || it.sends != known->second.sends)
        to.last_send_at = now;
    if (known != to.peers.end() && it.sends > known->second.sends)
    {
        const auto n = std::min(it.sends - known->second.sends, max_sends_per_report);
        to.next_send =
            std::max(to.next_send, now) + interval(now, it.endpoint, to) * static_cast<duration::rep>(n);
    }
    to.peers[by] = {it.sends, now};
    return out;
}

limit_change advertised_limits::apply(time_point now, const endpoint_id& id, record& to,
                                      std::optional<double> requests_per_s, time_point stated_at)
{
    const auto before = to.requests_per_s;
    to.requests_per_s = requests_per_s;
    to.stated_at = stated_at;
    if (before == requests_per_s)
        return limit_change::none;
    to.next_report_at = now;
    if (!requests_per_s)
        return limit_change::ended;
    if (before && *requests_per_s > *before)
        return limit_change::raised;
    to.lowered_at = now;
    to.last_send_at = now;
    delay_first_send(now, id, to);
    return before ? limit_change::lowered : limit_change::named;
}

void advertised_limits::settle(time_point now)
{
    settled_ = true;
    restart_pace(now);
}

void advertised_limits::restart_pace(time_point now)
{
    for (auto& [id, it] : records_)
        delay_first_send(now, id, it);
}

void advertised_limits::delay_first_send(time_point now, const endpoint_id& id, record& it)
{
    it.next_send = std::max(it.next_send, now + phase(id, it.sends, isolated_interval(it)));
}

// Senders

std::size_t advertised_limits::sender_count(const record& it) const
{
    const auto most = static_cast<double>(options_.max_senders);
    const auto more = std::min(senders_per_request_per_s * it.requests_per_s.value_or(0), most);
    const auto n = options_.base_senders + static_cast<std::size_t>(more);
    return std::min({n, options_.max_senders, instances_.size()});
}

std::size_t advertised_limits::sender_count(const endpoint_id& id) const
{
    const auto* it = find(id);
    return it == nullptr ? instances_.size() : sender_count(*it);
}

bool advertised_limits::is_sender(const endpoint_id& id) const
{
    return settled_ && instances_.is_sender(id, sender_count(id), domain_of_(id));
}

const std::vector<core::instance_id>& advertised_limits::other_senders(const endpoint_id& id) const
{
    return instances_.other_senders(id, sender_count(id), domain_of_(id));
}

// Spacing of sends

double advertised_limits::rate(const record& it) const
{
    return std::max(it.requests_per_s.value_or(0) * options_.rate_fraction, options_.min_requests_per_s);
}

std::size_t advertised_limits::count_live_peers(time_point now, const endpoint_id& id, const record& it) const
{
    const auto& others = instances_.other_senders(id, sender_count(it), domain_of_(id));
    return static_cast<std::size_t>(std::count_if(others.begin(), others.end(),
                                                  [&](const auto& e)
                                                  {
                                                      const auto found = it.peers.find(e);
                                                      return found != it.peers.end() &&
                                                             now - found->second.heard_at <
                                                                 options_.peer_timeout;
                                                  }));
}

duration advertised_limits::isolated_interval(const record& it) const
{
    return duration{static_cast<duration::rep>(us_per_s * static_cast<double>(sender_count(it)) / rate(it))};
}

duration advertised_limits::interval(time_point now, const endpoint_id& id, const record& it) const
{
    return isolated_interval(it) / static_cast<duration::rep>(1 + count_live_peers(now, id, it));
}

duration advertised_limits::interval(time_point now, const endpoint_id& id) const
{
    const auto* it = find_limited(id);
    return it == nullptr ? duration{} : interval(now, id, *it);
}

time_point advertised_limits::next_send_in_silence(time_point now, const endpoint_id& id,
                                                   const record& it) const
{
    const auto from = it.last_send_at + options_.silence_threshold;
    const bool has_contact = settled_ && it.last_report_at != time_point::min() &&
                             now - it.last_report_at < options_.contact_timeout;
    if (!has_contact)
    {
        const auto instances = static_cast<double>(instances_.size());
        const duration all{static_cast<duration::rep>(us_per_s * instances / options_.min_requests_per_s)};
        return from + all / 2 + phase(id, it.sends, all);
    }
    const auto rank = static_cast<double>(instances_.rank(id, domain_of_(id)) + 1);
    const auto doublings = std::max(std::log2(rank / static_cast<double>(sender_count(it))), 0.0);
    const duration time = options_.sender_doubling_time;
    const duration turn{static_cast<duration::rep>(static_cast<double>(time.count()) * doublings)};
    return from + turn + phase(id, it.sends, time);
}

duration advertised_limits::phase(const endpoint_id& id, std::uint64_t number, duration of) const
{
    if (of.count() <= 0)
        return {};
    const auto seed = core::stable_hash(id.str(), number);
    const auto n = core::stable_hash(self_.str(), seed) % static_cast<std::uint64_t>(of.count());
    return duration{static_cast<duration::rep>(n)};
}

void advertised_limits::sent(time_point now, const endpoint_id& id)
{
    const auto found = records_.find(id);
    if (found == records_.end() || !found->second.requests_per_s)
        return;
    auto& it = found->second;
    ++it.sends;
    it.last_send_at = now;
    it.next_report_at = now;
    it.needs_broadcast =
        it.needs_broadcast || !is_sender(id); // all other instances wait until no sends are reported
    it.next_send = std::max(it.next_send, now) + interval(now, id, it);
}

time_point advertised_limits::next_send(time_point now, const endpoint_id& id) const
{
    const auto* it = find_limited(id);
    if (it == nullptr)
        return now;
    if (!is_sender(id))
        return std::max(now, next_send_in_silence(now, id, *it));
    return std::max(now, it->next_send + phase(id, it->sends, interval(now, id, *it) / phase_divisor));
}

time_point advertised_limits::next_send_of_any(time_point now, const endpoint_id& id) const
{
    const auto* it = find_limited(id);
    if (it == nullptr || is_sender(id))
        return next_send(now, id);
    return now + duration{static_cast<duration::rep>(us_per_s / rate(*it))};
}

bool advertised_limits::may_send(time_point now, const endpoint_id& id) const
{
    return next_send(now, id) <= now;
}

bool advertised_limits::is_counted(const endpoint_id& id, time_point counted_at) const
{
    const auto* it = find_limited(id);
    return it == nullptr || counted_at >= it->lowered_at;
}

// Reports

limit_report advertised_limits::report(time_point now, const endpoint_id& id) const
{
    limit_report out;
    out.endpoint = id;
    if (const auto* it = find(id))
    {
        out.requests_per_s = it->requests_per_s;
        out.age = std::chrono::ceil<milliseconds>(now - it->stated_at);
        out.sends = it->sends;
    }
    return out;
}

std::vector<limit_report> advertised_limits::all(time_point now) const
{
    std::vector<limit_report> out;
    for (const auto& [id, it] : records_)
        out.push_back(report(now, id));
    return out;
}

advertised_limits::due_reports advertised_limits::take_due(time_point now)
{
    due_reports out;
    for (auto& [id, it] : records_)
    {
        if (now < it.next_report_at)
            continue;
        it.next_report_at = now + options_.report_interval;
        // Datagrams may be lost, so the first sender repeats the current limit.
        const bool repeats = settled_ && instances_.is_sender(id, 1, domain_of_(id)) &&
                             (it.last_broadcast_at == time_point::min() ||
                              now - it.last_broadcast_at >= options_.broadcast_interval);
        if (std::exchange(it.needs_broadcast, false) || repeats)
        {
            it.last_broadcast_at = now;
            out.to_all.push_back(id);
        }
        else if (is_sender(id))
            out.to_senders.push_back(id);
    }
    return out;
}

std::optional<time_point> advertised_limits::next_due() const
{
    std::optional<time_point> out;
    for (const auto& [id, it] : records_)
        out = out ? std::min(*out, it.next_report_at) : it.next_report_at;
    return out;
}

} // namespace runlink::places
