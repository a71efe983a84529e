#include "support/statement_fleet.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace runlink::tests
{

using namespace routing;

namespace
{

const core::service_id app{"app"};
/// An instance may act this much later on what it has told its caller.
constexpr milliseconds told_slack{500};
constexpr milliseconds housekeeping_interval{1000};

routing_table_ptr make_table()
{
    std::vector<route> routes;
    for (const auto kind : {route_kind::safe, route_kind::unsafe})
    {
        route out;
        out.name = kind == route_kind::safe ? "look" : "pay";
        out.host = "h";
        out.path_prefix = "/" + out.name + "/";
        out.kind = kind;
        out.timeout = milliseconds{3000};
        out.target_latency = milliseconds{300};
        out.max_attempts = 3;
        out.priority = kind == route_kind::safe ? 1 : 0;
        out.services = {{app, 1}};
        routes.push_back(out);
    }
    routing::service it;
    it.id = app;
    return std::make_shared<const routing_table>(1, routes, std::vector<routing::service>{it},
                                                 std::vector<account>{}, caller_limits{});
}

/// True for one request in five. These use the unsafe route with priority 0; see `make_table`.
bool is_urgent(flow_id it)
{
    return it.value() % 5 == 0;
}

core::instance_id instance_id(int n)
{
    return core::instance_id{"i" + std::to_string(n)};
}

said_words words_of(const endpoint_statement& it)
{
    const auto rest = it.rest ? std::optional{std::chrono::floor<milliseconds>(*it.rest)} : std::nullopt;
    return {it.requests_per_s, it.is_leaving, rest};
}

endpoint_entry entry(int n, std::uint32_t slots = 1)
{
    endpoint_entry out;
    out.name = core::endpoint_name{"e" + std::to_string(n)};
    out.id = endpoint_id_of(out.name, {});
    out.service = app;
    out.version = core::version_id{"v1"};
    out.failure_domain = core::failure_domain_id{std::to_string(n % 3)};
    out.slots = slots;
    return out;
}

} // namespace

int number_from(const char* variable, int otherwise)
{
    const char* text = std::getenv(variable);
    return text == nullptr ? otherwise : std::atoi(text);
}

std::uint64_t statement_outcome::arrivals_after(int endpoint, milliseconds from) const
{
    const auto found = arrival_times.find(endpoint);
    if (found == arrival_times.end())
        return 0;
    return static_cast<std::uint64_t>(
        std::count_if(found->second.begin(), found->second.end(), [from](auto it) { return it >= from; }));
}

statement_fleet::statement_fleet(const statement_case& of) : case_{of}, random_{of.seed}
{
    instances_.resize(static_cast<std::size_t>(of.instances));
    for (int n = 0; n < of.instances; ++n)
        start_instance(n);
}

void statement_fleet::start_instance(int n)
{
    auto& it = at(n);
    ++it.generation;
    it.attempts.clear();
    record_.forget(n);
    forwarder_options options;
    options.directory.last_resort_time = case_.last_resort_time;
    it.forwarder = std::make_unique<request_forwarder>(
        options, core::failure_domain_id{std::to_string(n % 3)}, instance_id(n), hooks(n));
    it.forwarder->apply(make_table());
    it.forwarder->proven_current(now_);
    for (int other = 0; other < case_.instances; ++other)
        it.forwarder->bounds().put_instance(now_, instance_id(other),
                                            core::failure_domain_id{std::to_string(other % 3)});
    it.forwarder->bounds().settle(now_);
    it.forwarder->own_retry_share().on_listed(now_);
    for (int e = 0; e < case_.endpoints; ++e)
        it.forwarder->on_endpoint(now_, entry(e, case_.slots));
    if (it.generation == 1)
        return;
    const auto seed = (n + 1) % case_.instances;
    it.forwarder->on_limits_told(now_, {instance_id(seed), at(seed).forwarder->bounds().limits().all(now_)});
    it.forwarder->on_leaving_told(now_, at(seed).forwarder->leaving_endpoints(now_));
}

void statement_fleet::restart(int n)
{
    start_instance(n);
}

void statement_fleet::pause(int n, milliseconds time)
{
    at(n).paused_since = now_;
    later(time,
          [this, n]
          {
              auto& it = at(n);
              it.forwarder->on_wake(now_, *it.paused_since);
              it.paused_since.reset();
              it.forwarder->end_wake();
          });
}

forwarder_hooks statement_fleet::hooks(int n)
{
    forwarder_hooks to;
    to.start = [this, n](const attempt_order& it) { on_start(n, it); };
    to.cancel = [this, n](core::attempt_id id)
    {
        auto found = at(n).attempts.extract(id);
        if (found.empty())
            return;
        found.mapped()->is_over = true;
        // A brittle endpoint drops a request once its connection is closed.
        if (const auto it = found.mapped(); words_[it->endpoint].refusals_per_s)
            later(milliseconds{1}, [this, n, it] { end_run(n, it); });
    };
    to.ask = [](const endpoint_entry&) {};
    to.forward_answer = [this](flow_id it, core::attempt_id)
    {
        ++outcome_.answered;
        outcome_.urgent_answered += is_urgent(it) ? 1 : 0;
    };
    to.forward_head = [](flow_id, core::attempt_id) {};
    to.forward_bytes = [](flow_id, std::string_view) {};
    to.forward_end = [](flow_id) {};
    to.break_off = [](flow_id) {};
    to.refuse = [this](flow_id it, const refusal& why)
    {
        ++outcome_.refused;
        outcome_.urgent_refused += is_urgent(it) ? 1 : 0;
        outcome_.refused_after.push_back(now_ - came_at_.at(it));
        if (!why.why.retry_after)
            return;
        outcome_.put_off.push_back(*why.why.retry_after);
        outcome_.back_at.push_back(std::chrono::floor<milliseconds>(now_ - started_at_) +
                                   *why.why.retry_after);
    };
    to.announce_session_run = [](const session_run&) {};
    to.announce_prompt_sent = [](const prompt_sent&) {};
    to.announce_prompt_answered = [](const prompt_answered&) {};
    to.announce_limits = [this, n](const std::vector<core::instance_id>& ids,
                                   const std::vector<places::limit_report>& it) { send_limits(n, ids, it); };
    to.announce_leaving = [this, n](const leaving_notices& it)
    {
        send_datagram(
            n, [](int) { return true; },
            [this, it](request_forwarder& other) { other.on_leaving_told(now_, it); });
    };
    to.log = [](const decision&) {};
    to.ended = [](const decision&, core::duration) {};
    return to;
}

// Simulation loop

milliseconds statement_fleet::up_to(milliseconds most)
{
    const auto n = static_cast<std::uint64_t>(most.count()) + 1;
    return milliseconds{static_cast<milliseconds::rep>(random_() % n)};
}

void statement_fleet::later(milliseconds after, std::function<void()> what)
{
    events_.emplace(now_ + after, std::move(what));
}

void statement_fleet::later(int n, milliseconds after, std::function<void()> what)
{
    later(after,
          [this, n, generation = at(n).generation, what = std::move(what)]
          {
              if (at(n).generation == generation)
                  what();
          });
}

statement_outcome statement_fleet::run()
{
    const auto end = now_ + case_.length;
    auto next_housekeeping = now_;
    while (now_ < end)
    {
        now_ += milliseconds{1};
        while (!events_.empty() && events_.begin()->first <= now_)
        {
            const auto what = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            what();
        }
        arrive();
        const bool is_housekeeping_due = now_ >= next_housekeeping;
        if (is_housekeeping_due)
            next_housekeeping = now_ + housekeeping_interval;
        for (auto& it : instances_)
        {
            if (it.paused_since)
                continue;
            it.forwarder->proven_current(now_);
            it.forwarder->tick(now_);
            if (is_housekeeping_due)
                it.forwarder->keep_house(now_);
        }
    }
    take_faults();
    return outcome_;
}

// Requests

void statement_fleet::arrive()
{
    constexpr double ms_per_s = 1000;
    const double part = case_.requests_per_s / ms_per_s;
    for (double rest = part; rest > 0; rest -= 1)
    {
        if (!happens(std::min(rest, 1.0)))
            continue;
        const auto any = static_cast<int>(random_() % static_cast<unsigned>(case_.instances));
        const int n = happens(case_.uneven) ? 0 : any;
        if (at(n).paused_since)
            continue;
        ++outcome_.requests;
        const flow_id id{next_flow_++};
        inbound_request it;
        it.id = core::request_id{std::to_string(id.value())};
        it.host = "h";
        it.path = is_urgent(id) ? "/pay/x" : "/look/x";
        it.time_left = case_.caller_time;
        it.content = crashes::content_hash{id.value()};
        came_at_[id] = now_;
        at(n).forwarder->on_request(now_, id, it);
    }
}

void statement_fleet::on_start(int n, const attempt_order& order)
{
    auto it = std::make_shared<attempt>();
    it->order = order;
    it->endpoint = std::stoi(order.endpoint.name.str().substr(1));
    at(n).attempts.emplace(order.id, it);
    later(n, up_to(case_.connect_time), [this, n, it] { write(n, it); });
}

void statement_fleet::write(int n, const attempt_ptr& it)
{
    if (it->is_over)
        return;
    auto& by = at(n);
    if (is_down(it->endpoint))
    {
        by.attempts.erase(it->order.id);
        return by.forwarder->on_lost(now_, it->order.id, attempt_loss::not_sent);
    }
    if (!by.forwarder->may_write(now_, it->order.id))
    {
        by.attempts.erase(it->order.id);
        return by.forwarder->on_lost(now_, it->order.id, attempt_loss::withheld);
    }
    it->is_written = true;
    it->sent_at = now_;
    by.forwarder->on_sent(now_, it->order.id);
    const auto& words = words_[it->endpoint];
    record_.arrived(now_, it->order.endpoint.id.str(), n, came_at_.at(it->order.flow), words.requests_per_s);
    ++outcome_.arrivals[it->endpoint];
    if (words.refusals_per_s)
        return take(n, it);
    if (happens(words.refused))
        return later(n, milliseconds{1}, [this, n, it] { refuse(n, it); });
    outcome_.arrival_times[it->endpoint].push_back(std::chrono::floor<milliseconds>(now_ - started_at_));
    later(n, milliseconds{1} + up_to(case_.answer_time), [this, n, it] { answer(n, it); });
}

bool statement_fleet::is_down(int endpoint) const
{
    const auto found = loads_.find(endpoint);
    return found != loads_.end() && now_ < found->second.down_until;
}

void statement_fleet::take(int n, const attempt_ptr& it)
{
    auto& load = loads_[it->endpoint];
    if (load.running.size() < case_.slots)
        return begin_run(n, it);
    if (load.waiting.size() < words_[it->endpoint].waiting)
    {
        load.waiting.emplace_back(n, it);
        return;
    }
    later(n, milliseconds{1}, [this, n, it] { refuse(n, it); });
    count_refusal(it->endpoint);
}

void statement_fleet::begin_run(int n, const attempt_ptr& it)
{
    loads_[it->endpoint].running.emplace_back(n, it);
    later(milliseconds{1} + up_to(case_.answer_time), [this, n, it] { end_run(n, it); });
}

void statement_fleet::end_run(int n, const attempt_ptr& it)
{
    auto& load = loads_[it->endpoint];
    if (std::erase(load.running, std::pair{n, it}) == 0)
        return; // it was dropped, or the endpoint has fallen
    if (at(n).attempts.contains(it->order.id))
        answer(n, it);
    while (!load.waiting.empty() && load.running.size() < case_.slots)
    {
        const auto [by, next] = load.waiting.front();
        load.waiting.erase(load.waiting.begin());
        if (!next->is_over)
            begin_run(by, next);
    }
}

void statement_fleet::count_refusal(int endpoint)
{
    constexpr milliseconds window{1000};
    constexpr milliseconds downtime{3000};
    auto& load = loads_[endpoint];
    ++outcome_.endpoint_refusals;
    load.refusals.push_back(now_);
    std::erase_if(load.refusals, [&](auto it) { return now_ - it >= window; });
    if (static_cast<double>(load.refusals.size()) <= *words_[endpoint].refusals_per_s)
        return;
    ++outcome_.falls;
    load.down_until = now_ + downtime;
    auto lost = std::exchange(load.running, {});
    for (const auto& it : std::exchange(load.waiting, {}))
        lost.push_back(it);
    for (const auto& [n, it] : lost)
        if (at(n).attempts.erase(it->order.id) > 0)
            at(n).forwarder->on_lost(now_, it->order.id, attempt_loss::broken);
}

void statement_fleet::answer(int n, const attempt_ptr& it)
{
    auto& by = at(n);
    const auto& words = words_[it->endpoint];
    const endpoint_statement says{words.requests_per_s, true, words.is_leaving,     true,
                                  std::nullopt,         true, words.refusals_per_s, true};
    by.forwarder->on_statement(now_, it->order.endpoint.id, it->sent_at, says);
    if (it->is_over)
        return;
    record_.answered(now_, it->order.endpoint.id.str(), n, words_of(says));
    by.attempts.erase(it->order.id);
    const bool fails =
        case_.repeats_one_in > 0 && random_() % static_cast<unsigned>(case_.repeats_one_in) == 0;
    by.forwarder->on_answer(now_, it->order.id, {fails ? 500 : 200, false, !fails, false, {}});
}

void statement_fleet::refuse(int n, const attempt_ptr& it)
{
    auto& by = at(n);
    const auto& words = words_[it->endpoint];
    const endpoint_statement says{words.requests_per_s, true, words.is_leaving,     true,
                                  words.rest,           true, words.refusals_per_s, true};
    by.forwarder->on_statement(now_, it->order.endpoint.id, it->sent_at, says);
    record_.answered(now_, it->order.endpoint.id.str(), n, words_of(says));
    if (it->is_over)
        return;
    by.attempts.erase(it->order.id);
    by.forwarder->on_answer(now_, it->order.id, {503, true, false, false, {}});
}

void statement_fleet::add_endpoint()
{
    const auto e = entry(case_.endpoints++, case_.slots);
    for (auto& it : instances_)
        it.forwarder->on_endpoint(now_, e);
}

void statement_fleet::tell_store_leaving(int endpoint)
{
    for (auto& it : instances_)
    {
        auto e = entry(endpoint);
        e.leaving = true;
        it.forwarder->on_endpoint(now_, e);
    }
}

void statement_fleet::send_limits(int from, const std::vector<core::instance_id>& to,
                                  const std::vector<places::limit_report>& what)
{
    send_datagram(
        from,
        [&to](int n) { return to.empty() || std::find(to.begin(), to.end(), instance_id(n)) != to.end(); },
        [this, message = places::limit_reports{instance_id(from), what}](request_forwarder& other)
        { other.on_limits_told(now_, message); });
}

void statement_fleet::send_datagram(int from, const std::function<bool(int)>& is_addressed,
                                    const std::function<void(request_forwarder&)>& to)
{
    for (int n = 0; n < case_.instances; ++n)
    {
        if (n == from || !is_addressed(n) || happens(case_.datagrams_lost))
            continue;
        later(n, case_.datagram_delay,
              [this, n, to]
              {
                  if (!at(n).paused_since)
                      to(*at(n).forwarder);
              });
    }
}

// Checks

void statement_fleet::take_faults()
{
    using rule = statement_fault::rule;
    for (auto& it : record_.take_faults())
        (it.broken == rule::limit     ? outcome_.limits_broken
         : it.broken == rule::leaving ? outcome_.leaving_broken
                                      : outcome_.rests_broken)
            .push_back(std::move(it.what));
    outcome_.limited = record_.limited();
    outcome_.leaving_told = record_.leaving();
    outcome_.rests = record_.rests();
}

} // namespace runlink::tests
