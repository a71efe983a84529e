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
/// Senders for each request a second of a limit: a limit bears half as many requests again as it names.
constexpr double senders_per_rate = 2;
/// A sender that comes late draws its moment from this part of the interval: the others see its send in time.
constexpr int part_for_phase = 4;
/// Sends of another instance that one report may put off: an earlier life of it has counted higher.
constexpr std::uint64_t most_sends_in_a_report = 16;

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

const named_limits::record* named_limits::find(const endpoint_id& id) const
{
    const auto found = records_.find(id);
    return found == records_.end() ? nullptr : &found->second;
}

const named_limits::record* named_limits::bound(const endpoint_id& id) const
{
    const auto* it = find(id);
    return it != nullptr && it->requests_per_s ? it : nullptr;
}

std::optional<double> named_limits::limit_of(const endpoint_id& id) const
{
    const auto* it = find(id);
    return it == nullptr ? std::nullopt : it->requests_per_s;
}

// Statements

limit_change named_limits::answered(time_point now, const endpoint_id& id,
                                    std::optional<double> requests_per_s, time_point asked_at)
{
    const auto found = records_.find(id);
    if (found == records_.end() && !requests_per_s)
        return limit_change::none;
    auto& it = found == records_.end() ? records_[id] : found->second;
    if (!requests_per_s && !it.requests_per_s)
        return limit_change::none;
    const bool is_lower = requests_per_s && (!it.requests_per_s || *requests_per_s < *it.requests_per_s);
    // An answer that was under way when the limit was named says nothing of its end.
    if (!is_lower && it.requests_per_s && asked_at < it.lowered_at)
        return limit_change::none;
    const auto out = take(now, id, it, requests_per_s, now);
    // Only who has heard it in an answer tells all others.
    it.has_news = it.has_news || out != limit_change::none;
    return out;
}

limit_news named_limits::told(time_point now, const core::instance_id& by, const limit_report& it)
{
    const auto found = records_.find(it.endpoint);
    if (found == records_.end() && !it.requests_per_s)
        return {};
    auto& to = found == records_.end() ? records_[it.endpoint] : found->second;
    limit_news out{limit_change::none, it.age};
    const auto said_at = now - it.age;
    if (found == records_.end() || said_at > to.said_at)
        out.change = take(now, it.endpoint, to, it.requests_per_s, said_at);
    to.told_at = now;
    const auto known = to.peers.find(by);
    if (known == to.peers.end() || it.sends != known->second.sends)
        to.active_at = now;
    if (known != to.peers.end() && it.sends > known->second.sends)
    {
        const auto n = std::min(it.sends - known->second.sends, most_sends_in_a_report);
        to.next_send =
            std::max(to.next_send, now) + interval(now, it.endpoint, to) * static_cast<duration::rep>(n);
    }
    to.peers[by] = {it.sends, now};
    return out;
}

limit_change named_limits::take(time_point now, const endpoint_id& id, record& to,
                                std::optional<double> requests_per_s, time_point said_at)
{
    const auto before = to.requests_per_s;
    to.requests_per_s = requests_per_s;
    to.said_at = said_at;
    if (before == requests_per_s)
        return limit_change::none;
    to.report_at = now;
    if (!requests_per_s)
        return limit_change::ended;
    if (before && *requests_per_s > *before)
        return limit_change::raised;
    to.lowered_at = now;
    to.active_at = now;
    begin_pace(now, id, to);
    return before ? limit_change::lowered : limit_change::named;
}

void named_limits::settle(time_point now)
{
    settled_ = true;
    restart_pace(now);
}

void named_limits::restart_pace(time_point now)
{
    for (auto& [id, it] : records_)
        begin_pace(now, id, it);
}

void named_limits::begin_pace(time_point now, const endpoint_id& id, record& it)
{
    it.next_send = std::max(it.next_send, now + phase(id, it.sends, lone_interval(it)));
}

// Senders

std::size_t named_limits::sender_count(const record& it) const
{
    const auto most = static_cast<double>(options_.most_senders);
    const auto more = std::min(senders_per_rate * it.requests_per_s.value_or(0), most);
    const auto n = options_.least_senders + static_cast<std::size_t>(more);
    return std::min({n, options_.most_senders, instances_.size()});
}

std::size_t named_limits::sender_count(const endpoint_id& id) const
{
    const auto* it = find(id);
    return it == nullptr ? instances_.size() : sender_count(*it);
}

bool named_limits::is_sender(const endpoint_id& id) const
{
    return settled_ && instances_.is_sender(id, sender_count(id), domain_of_(id));
}

const std::vector<core::instance_id>& named_limits::other_senders(const endpoint_id& id) const
{
    return instances_.other_senders(id, sender_count(id), domain_of_(id));
}

// Pace

double named_limits::rate(const record& it) const
{
    return std::max(it.requests_per_s.value_or(0) * options_.rate_part, options_.trickle_per_s);
}

std::size_t named_limits::count_heard(time_point now, const endpoint_id& id, const record& it) const
{
    const auto& others = instances_.other_senders(id, sender_count(it), domain_of_(id));
    return static_cast<std::size_t>(
        std::count_if(others.begin(), others.end(),
                      [&](const auto& e)
                      {
                          const auto found = it.peers.find(e);
                          return found != it.peers.end() && now - found->second.heard_at < options_.heard_for;
                      }));
}

duration named_limits::lone_interval(const record& it) const
{
    return duration{static_cast<duration::rep>(us_per_s * static_cast<double>(sender_count(it)) / rate(it))};
}

duration named_limits::interval(time_point now, const endpoint_id& id, const record& it) const
{
    return lone_interval(it) / static_cast<duration::rep>(1 + count_heard(now, id, it));
}

duration named_limits::interval(time_point now, const endpoint_id& id) const
{
    const auto* it = bound(id);
    return it == nullptr ? duration{} : interval(now, id, *it);
}

time_point named_limits::next_send_in_silence(time_point now, const endpoint_id& id, const record& it) const
{
    const auto from = it.active_at + options_.silence;
    const bool is_in_touch =
        settled_ && it.told_at != time_point::min() && now - it.told_at < options_.in_touch_for;
    if (!is_in_touch)
    {
        const auto instances = static_cast<double>(instances_.size());
        const duration all{static_cast<duration::rep>(us_per_s * instances / options_.trickle_per_s)};
        return from + all / 2 + phase(id, it.sends, all);
    }
    const auto rank = static_cast<double>(instances_.rank(id, domain_of_(id)) + 1);
    const auto doublings = std::max(std::log2(rank / static_cast<double>(sender_count(it))), 0.0);
    const duration time = options_.widening_time;
    const duration turn{static_cast<duration::rep>(static_cast<double>(time.count()) * doublings)};
    return from + turn + phase(id, it.sends, time);
}

duration named_limits::phase(const endpoint_id& id, std::uint64_t number, duration of) const
{
    if (of.count() <= 0)
        return {};
    const auto seed = core::stable_hash(id.str(), number);
    const auto n = core::stable_hash(self_.str(), seed) % static_cast<std::uint64_t>(of.count());
    return duration{static_cast<duration::rep>(n)};
}

void named_limits::sent(time_point now, const endpoint_id& id)
{
    const auto found = records_.find(id);
    if (found == records_.end() || !found->second.requests_per_s)
        return;
    auto& it = found->second;
    ++it.sends;
    it.active_at = now;
    it.report_at = now;
    it.has_news = it.has_news || !is_sender(id); // all others wait for silence
    it.next_send = std::max(it.next_send, now) + interval(now, id, it);
}

time_point named_limits::next_send(time_point now, const endpoint_id& id) const
{
    const auto* it = bound(id);
    if (it == nullptr)
        return now;
    if (!is_sender(id))
        return std::max(now, next_send_in_silence(now, id, *it));
    return std::max(now, it->next_send + phase(id, it->sends, interval(now, id, *it) / part_for_phase));
}

time_point named_limits::next_send_of_any(time_point now, const endpoint_id& id) const
{
    const auto* it = bound(id);
    if (it == nullptr || is_sender(id))
        return next_send(now, id);
    return now + duration{static_cast<duration::rep>(us_per_s / rate(*it))};
}

bool named_limits::may_send(time_point now, const endpoint_id& id) const
{
    return next_send(now, id) <= now;
}

bool named_limits::is_counted(const endpoint_id& id, time_point counted_at) const
{
    const auto* it = bound(id);
    return it == nullptr || counted_at >= it->lowered_at;
}

// Reports

limit_report named_limits::report(time_point now, const endpoint_id& id) const
{
    limit_report out;
    out.endpoint = id;
    if (const auto* it = find(id))
    {
        out.requests_per_s = it->requests_per_s;
        out.age = std::chrono::ceil<milliseconds>(now - it->said_at);
        out.sends = it->sends;
    }
    return out;
}

std::vector<limit_report> named_limits::all(time_point now) const
{
    std::vector<limit_report> out;
    for (const auto& [id, it] : records_)
        out.push_back(report(now, id));
    return out;
}

named_limits::due_reports named_limits::take_due(time_point now)
{
    due_reports out;
    for (auto& [id, it] : records_)
    {
        if (now < it.report_at)
            continue;
        it.report_at = now + options_.report_interval;
        // A datagram may be lost: the first sender repeats what holds.
        const bool repeats =
            settled_ && instances_.is_sender(id, 1, domain_of_(id)) &&
            (it.spread_at == time_point::min() || now - it.spread_at >= options_.spread_interval);
        if (std::exchange(it.has_news, false) || repeats)
        {
            it.spread_at = now;
            out.to_all.push_back(id);
        }
        else if (is_sender(id))
            out.to_senders.push_back(id);
    }
    return out;
}

std::optional<time_point> named_limits::next_due() const
{
    std::optional<time_point> out;
    for (const auto& [id, it] : records_)
        out = out ? std::min(*out, it.report_at) : it.report_at;
    return out;
}

} // namespace runlink::places
