#include "runlink/load/plain_load.hpp"

#include <algorithm>
#include <cmath>

namespace runlink::load
{
namespace
{

constexpr double us_per_s = 1e6;
constexpr double s_per_1000_s = 1000;
/// Weight of the slow mean, in samples, when the fast mean has few of its own.
constexpr double slow_mean_weight = 0.5;
/// Arrivals per second below which an instance has nothing to announce.
constexpr double least_rate = 0.05;
/// Part of the busy share above which capacity that was scarce stays scarce.
constexpr double kept_share = 0.75;
/// Time for which an endpoint is closed after a refusal while no answer time is known.
constexpr milliseconds unknown_answer_time{50};

double seconds_of(duration it)
{
    return static_cast<double>(it.count()) / us_per_s;
}

duration to_duration(double us)
{
    return duration{static_cast<duration::rep>(us)};
}

} // namespace

double plain_load::decaying::get(time_point now, milliseconds over) const
{
    return now <= at ? value : value * std::exp(-seconds_of(now - at) / seconds_of(over));
}

void plain_load::decaying::add(time_point now, milliseconds over, double n)
{
    value = get(now, over) + n;
    at = std::max(at, now);
}

// Endpoints

const plain_load::endpoint* plain_load::find(endpoint_hash id) const
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

plain_load::endpoint* plain_load::find(endpoint_hash id)
{
    const auto found = endpoints_.find(id);
    return found == endpoints_.end() ? nullptr : &found->second;
}

void plain_load::put(endpoint_hash id, const core::service_id& service, std::uint32_t slots)
{
    const auto [at, is_new] = endpoints_.try_emplace(id);
    auto& it = at->second;
    it.service = service;
    it.slots = std::max(slots, 1U);
    if (!is_new)
        return;
    for (const auto& [from, report] : reports_)
        for (const auto& e : report.counts)
            if (e.endpoint == id)
                add({report.at, {e}}, 1);
}

// Events at this instance

void plain_load::arrived(time_point now, endpoint_hash at)
{
    if (auto* it = find(at))
    {
        it->arrivals.add(now, options_.rate_time, 1);
        update(now, it->service);
    }
}

void plain_load::sent(time_point now, endpoint_hash to)
{
    auto* it = find(to);
    if (it == nullptr)
        return;
    ++it->in_flight;
    auto& account = accounts_[it->service];
    account.spent = spent(now, account, divide(now, it->service).rate) + 1;
    account.at = now;
}

void plain_load::ended(endpoint_hash at)
{
    if (auto* it = find(at); it != nullptr && it->in_flight > 0)
        --it->in_flight;
}

void plain_load::answered(time_point now, endpoint_hash from, duration time)
{
    auto* it = find(from);
    if (it == nullptr || time <= duration{})
        return;
    const auto us = static_cast<double>(time.count());
    observe(now, *it, us, 1);
    it->answer_us += us;
    ++it->answers;
}

void plain_load::observe(time_point now, endpoint& to, double us, double n) const
{
    to.fast.sum.add(now, options_.fast_time, us * n);
    to.fast.weight.add(now, options_.fast_time, n);
    to.slow.sum.add(now, options_.slow_time, us * n);
    to.slow.weight.add(now, options_.slow_time, n);
}

void plain_load::refused(time_point now, endpoint_hash from)
{
    auto* it = find(from);
    if (it == nullptr)
        return;
    note_refusal(now, *it);
    it->has_new_refusal = true;
    // The request used no capacity.
    auto& account = accounts_[it->service];
    account.spent = std::max(0.0, account.spent - 1);
    update(now, it->service);
    const auto known = answer_us(now, *it);
    it->closed_until = now + (known > 0 ? to_duration(known) : duration{unknown_answer_time});
}

void plain_load::note_refusal(time_point now, endpoint& at) const
{
    const auto before = factor(now, at);
    if (!is_refusing(now, at))
        at.refusing_since = now;
    at.refused_at = now;
    if (now - at.factor_at < options_.refresh_interval)
        return; // refusals of one moment have one cause
    at.factor = std::max(before * options_.refusal_factor, options_.least_factor);
    at.factor_at = now;
}

void plain_load::on_statement(time_point now, endpoint_hash from, const load_statement& it)
{
    auto* at = find(from);
    if (at == nullptr)
        return;
    at->stated = it;
    at->stated_at = now;
}

// Other instances

void plain_load::add(const report& it, double sign)
{
    for (const auto& e : it.counts)
        if (auto* at = find(e.endpoint))
        {
            at->known.in_flight = std::max(0.0, at->known.in_flight + sign * e.in_flight);
            at->known.arrivals_per_s =
                std::max(0.0, at->known.arrivals_per_s + sign * e.arrivals_per_1000_s / s_per_1000_s);
        }
}

void plain_load::on_counts(time_point now, const core::instance_id& from,
                           const std::vector<request_counts>& all)
{
    expire(now);
    auto& it = reports_[from];
    add(it, -1);
    it = {now, all};
    add(it, 1);
    for (const auto& e : all)
    {
        auto* at = find(e.endpoint);
        if (at == nullptr)
            continue;
        if (e.is_full)
            note_refusal(now, *at);
        if (e.answer_us > 0)
            observe(now, *at, e.answer_us, 1);
        update(now, at->service);
    }
}

void plain_load::expire(time_point now)
{
    const auto dropped = std::erase_if(reports_,
                                       [&](const auto& it)
                                       {
                                           const bool is_old = now - it.second.at >= options_.expiry;
                                           if (is_old)
                                               add(it.second, -1);
                                           return is_old;
                                       });
    for (auto& [service, it] : accounts_)
        if (it.is_scarce)
            update(now, service);
    if (dropped == 0 || !reports_.empty())
        return;
    for (auto& [id, it] : endpoints_)
        it.known = {}; // without the rounding errors of the sums
}

// Estimates

double plain_load::factor(time_point now, const endpoint& it) const
{
    const auto grown = it.factor + options_.factor_growth * seconds_of(now - it.factor_at);
    return it.refused_at ? std::min(grown, options_.most_factor) : it.factor;
}

double plain_load::statement_weight(time_point now, const endpoint& it) const
{
    return it.stated ? std::exp2(-seconds_of(now - it.stated_at) / seconds_of(options_.statement_half_life))
                     : 0;
}

std::uint32_t plain_load::slots(const endpoint& it) const
{
    return it.stated && it.stated->slots > 0 ? it.stated->slots : it.slots;
}

double plain_load::answer_us(time_point now, const endpoint& it) const
{
    const auto slow_weight = it.slow.weight.get(now, options_.slow_time);
    if (slow_weight <= 0)
        return 0;
    const auto slow = it.slow.sum.get(now, options_.slow_time) / slow_weight;
    const auto sum = it.fast.sum.get(now, options_.fast_time) + slow * slow_mean_weight;
    const auto learned = sum / (it.fast.weight.get(now, options_.fast_time) + slow_mean_weight);
    const auto weight = statement_weight(now, it);
    constexpr double usual_pace = 100;
    return weight > 0 ? weight * slow * it.stated->pace / usual_pace + (1 - weight) * learned : learned;
}

double plain_load::running(time_point now, const endpoint& it) const
{
    const auto counted = it.in_flight + it.known.in_flight;
    const auto weight = statement_weight(now, it);
    return weight > 0 ? weight * (it.stated->running + it.stated->waiting) + (1 - weight) * counted : counted;
}

double plain_load::running(time_point now, endpoint_hash at) const
{
    const auto* it = find(at);
    return it == nullptr ? 0 : running(now, *it);
}

duration plain_load::expected_end(time_point now, endpoint_hash at, std::uint32_t more) const
{
    const auto* it = find(at);
    if (it == nullptr)
        return {};
    const auto in_turns = (running(now, *it) + 1 + more) / slots(*it);
    return to_duration(answer_us(now, *it) * std::max(1.0, in_turns));
}

double plain_load::capacity(time_point now, const endpoint& it) const
{
    const auto us = answer_us(now, it);
    return us <= 0 ? 0 : slots(it) * us_per_s / us * factor(now, it);
}

double plain_load::arrivals_per_s(time_point now, const endpoint& it) const
{
    return it.arrivals.get(now, options_.rate_time) / seconds_of(options_.rate_time);
}

bool plain_load::is_refusing(time_point now, const endpoint& it) const
{
    const auto memory = reports_.empty() ? options_.lone_refusal_memory : options_.refusal_memory;
    return it.refused_at && now - *it.refused_at < memory;
}

bool plain_load::is_pressed(time_point now, const core::service_id& service) const
{
    return std::any_of(endpoints_.begin(), endpoints_.end(),
                       [&](const auto& e)
                       {
                           const auto& it = e.second;
                           return it.service == service &&
                                  (is_refusing(now, it) || it.known.in_flight > 0 ||
                                   it.known.arrivals_per_s > 0 || running(now, it) * 2 > slots(it));
                       });
}

plain_load::division plain_load::divide(time_point now, const core::service_id& service) const
{
    double own = 0;
    double known = 0;
    double all = 0;
    std::optional<time_point> refusing_since;
    for (const auto& [id, it] : endpoints_)
    {
        if (it.service != service)
            continue;
        own += arrivals_per_s(now, it);
        known += it.known.arrivals_per_s;
        all += capacity(now, it);
        if (is_refusing(now, it))
            refusing_since = std::min(refusing_since.value_or(*it.refusing_since), *it.refusing_since);
    }
    const auto wanted = own + known;
    const auto even = 1.0 / static_cast<double>(instances_);
    division out;
    // Capacity that was scarce stays so a little longer: else all requests that wait would be sent at once.
    const auto account = accounts_.find(service);
    const bool was_scarce = account != accounts_.end() && account->second.is_scarce;
    const auto busy = was_scarce ? options_.busy_share * kept_share : options_.busy_share;
    out.is_scarce = refusing_since || (known > 0 && wanted > busy * all);
    // Until the other instances have had time to notice and announce what they want, the known part is too
    // small.
    const bool is_known = known > 0 && !(refusing_since && now - *refusing_since < options_.refusal_memory);
    const auto part = is_known ? (1 - options_.even_share) * own / wanted + options_.even_share * even : even;
    out.rate = part * all;
    return out;
}

double plain_load::spent(time_point now, const account& it, double rate) const
{
    return std::max(0.0, it.spent - rate * seconds_of(now - it.at));
}

void plain_load::update(time_point now, const core::service_id& service)
{
    auto& it = accounts_[service];
    const bool is_scarce = divide(now, service).is_scarce;
    if (is_scarce && !it.is_scarce)
        it = {true, options_.advance + phase_, now};
    it.is_scarce = is_scarce;
}

duration plain_load::interval(time_point now, endpoint_hash at) const
{
    const auto* it = find(at);
    if (it == nullptr)
        return {};
    const auto by = divide(now, it->service);
    return by.is_scarce && by.rate > 0 ? to_duration(us_per_s / by.rate) : duration{};
}

duration plain_load::answer_time(time_point now, endpoint_hash at) const
{
    const auto* it = find(at);
    return it == nullptr ? duration{} : to_duration(answer_us(now, *it));
}

duration plain_load::turn_interval(time_point now, endpoint_hash at) const
{
    const auto* it = find(at);
    return it == nullptr ? duration{}
                         : std::max(interval(now, at), to_duration(answer_us(now, *it) / slots(*it)));
}

bool plain_load::is_stated(time_point now, endpoint_hash at) const
{
    constexpr double least_weight = 0.5;
    const auto* it = find(at);
    return it != nullptr && statement_weight(now, *it) > least_weight;
}

bool plain_load::is_restricted(time_point now, endpoint_hash at) const
{
    const auto* it = find(at);
    return it != nullptr && is_pressed(now, it->service);
}

time_point plain_load::next_room(time_point now, endpoint_hash at) const
{
    const auto* it = find(at);
    if (it == nullptr)
        return now;
    const auto by = divide(now, it->service);
    const auto account = accounts_.find(it->service);
    const bool is_paced = by.is_scarce && by.rate > 0 && account != accounts_.end();
    const auto excess = is_paced ? spent(now, account->second, by.rate) - options_.advance : 0;
    const auto paced = excess > 0 ? now + to_duration(us_per_s * excess / by.rate) : now;
    const auto own_room =
        it->in_flight < room(slots(*it)) ? now : now + to_duration(answer_us(now, *it) / slots(*it));
    return std::max({now, it->closed_until, paced, own_room});
}

time_point plain_load::next_room_of_any(time_point now, endpoint_hash at) const
{
    const auto* it = find(at);
    if (it == nullptr)
        return now;
    const auto excess = running(now, *it) + 1 - slots(*it);
    const auto queue = excess > 0 ? to_duration(answer_us(now, *it) * excess / slots(*it)) : duration{};
    return std::max(now + queue, it->closed_until);
}

bool plain_load::has_room(time_point now, endpoint_hash at, duration time_left) const
{
    const auto* it = find(at);
    if (it == nullptr)
        return true;
    const bool is_in_time = running(now, *it) < slots(*it) || expected_end(now, at) <= time_left;
    return is_in_time && next_room(now, at) <= now;
}

// Messages

bool plain_load::calls_for_updates(time_point now, const endpoint& it, bool waiting) const
{
    const bool has_own = it.in_flight > 0 || arrivals_per_s(now, it) > least_rate || it.has_new_refusal;
    if (!has_own)
        return false;
    if (waiting || is_refusing(now, it) || running(now, it) * 2 > slots(it))
        return true;
    // More than half of the slots are in use on average if more than half of the capacity is wanted. Counts
    // alone vary too much: an instance that stops announcing makes the others send more than their part.
    double wanted = 0;
    double all = 0;
    for (const auto& [id, e] : endpoints_)
        if (e.service == it.service)
        {
            wanted += arrivals_per_s(now, e) + e.known.arrivals_per_s;
            all += capacity(now, e);
        }
    return it.known.arrivals_per_s > 0 && wanted * 2 > all;
}

request_counts plain_load::counts_of(time_point now, endpoint_hash id, const endpoint& it) const
{
    request_counts out;
    out.endpoint = id;
    out.in_flight = it.in_flight;
    out.is_full = it.has_new_refusal;
    out.arrivals_per_1000_s = static_cast<std::uint32_t>(arrivals_per_s(now, it) * s_per_1000_s);
    out.answer_us = it.answers == 0 ? 0 : static_cast<std::uint32_t>(it.answer_us / it.answers);
    return out;
}

std::vector<request_counts> plain_load::take_due(time_point now, const waiting_check& waits)
{
    const auto due = next_due(now, waits);
    std::vector<request_counts> out;
    if (!due || *due > now)
        return out;
    for (auto& [id, it] : endpoints_)
    {
        if (!calls_for_updates(now, it, waits(it.service)))
            continue;
        out.push_back(counts_of(now, id, it));
        it.has_new_refusal = false;
        it.answer_us = 0;
        it.answers = 0;
    }
    announced_at_ = now;
    return out;
}

std::optional<time_point> plain_load::next_due(time_point now, const waiting_check& waits) const
{
    bool is_called = false;
    bool is_urgent = false;
    for (const auto& [id, it] : endpoints_)
    {
        is_called = is_called || calls_for_updates(now, it, waits(it.service));
        is_urgent = is_urgent || it.has_new_refusal;
    }
    if (!is_called)
        return std::nullopt;
    return announced_at_ + (is_urgent ? options_.update_interval : options_.refresh_interval);
}

std::vector<request_counts> plain_load::local_counts(time_point now) const
{
    std::vector<request_counts> out;
    for (const auto& [id, it] : endpoints_)
    {
        auto sum = counts_of(now, id, it);
        sum.is_full = is_refusing(now, it) && now - *it.refused_at < options_.refresh_interval;
        sum.answer_us = static_cast<std::uint32_t>(answer_us(now, it));
        bool is_called = calls_for_updates(now, it, false);
        for (const auto& [from, report] : reports_)
            for (const auto& e : report.counts)
                if (!from.empty() && e.endpoint == id)
                {
                    sum.in_flight += e.in_flight;
                    sum.arrivals_per_1000_s += e.arrivals_per_1000_s;
                    is_called = true;
                }
        if (is_called)
            out.push_back(sum);
    }
    return out;
}

} // namespace runlink::load
