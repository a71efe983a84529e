#include "support/crash_fleet.hpp"

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::test
{
namespace
{

using namespace routing;

const core::service_id service{"s"};
constexpr milliseconds tick_interval{10};
constexpr milliseconds network_delay{2};
constexpr milliseconds store_watch_delay{60}; ///< from a change in the store to the instances
constexpr milliseconds connect_timeout{250};
constexpr milliseconds probe_timeout{600};
/// Time within which every connected instance learns of the third end.
constexpr milliseconds propagation_time{3000};
constexpr std::size_t ends_before_late = 3;
/// The same for a part of a prompt, whose fifth end counts.
constexpr std::size_t part_ends_before_late = 5;
constexpr int first_parts = 3;
constexpr int middle_parts = 12;
constexpr milliseconds event_interval{70};
constexpr std::uint64_t short_events = 6;
constexpr std::uint64_t long_events = 60;
constexpr std::uint64_t long_one_in = 6;
constexpr int failure_domains = 3;

routing_table_ptr make_table()
{
    std::vector<route> routes;
    for (const auto kind : {route_kind::streaming, route_kind::unsafe})
    {
        route out;
        out.name = kind == route_kind::streaming ? "stream" : "once";
        out.host = "h";
        out.path_prefix = "/" + out.name + "/";
        out.kind = kind;
        out.resumable = kind == route_kind::streaming;
        out.timeout = milliseconds{20000};
        out.target_latency = milliseconds{4000};
        out.target_gap = milliseconds{1000};
        out.max_attempts = kind == route_kind::streaming ? 3 : 1;
        out.services = {{service, 1}};
        routes.push_back(out);
    }
    routing::service models;
    models.id = service;
    models.runs_models = true;
    return std::make_shared<const routing_table>(1, routes, std::vector<routing::service>{models},
                                                 std::vector<account>{}, caller_limits{});
}

} // namespace

crash_fleet::crash_fleet(const crash_case& of) : case_{of}, random_{of.seed}
{
    for (int n = 0; n < case_.endpoints; ++n)
    {
        endpoint it;
        it.entry.name = core::endpoint_name{"e" + std::to_string(n)};
        it.entry.incarnation = core::endpoint_incarnation{1};
        it.entry.id = endpoint_id_of(it.entry.name, it.entry.incarnation);
        it.entry.service = service;
        it.entry.version = version_id{"v1"};
        it.entry.failure_domain = core::failure_domain_id{std::to_string(n % failure_domains)};
        it.entry.slots = 64;
        endpoints_.emplace(it.entry.name, it);
    }
    instances_.resize(static_cast<std::size_t>(case_.instances));
    for (int n = 0; n < case_.instances; ++n)
        start(n);
}

void crash_fleet::start(int n)
{
    auto& it = instances_[static_cast<std::size_t>(n)];
    ++it.generation;
    it.sends.clear();
    it.flows.clear();
    it.forwarder = std::make_unique<request_forwarder>(
        forwarder_options{}, core::failure_domain_id{std::to_string(n % failure_domains)},
        core::instance_id{"i" + std::to_string(n)}, hooks(n));
    it.forwarder->apply(make_table());
    it.forwarder->proven_current(now_);
    for (const auto& [name, e] : endpoints_)
        it.forwarder->on_endpoint(now_, e.entry);
    for (const auto& [element, companions] : recorded_)
        it.forwarder->attribution().on_recorded(now_, element, companions);
}

void crash_fleet::broadcast(int from, const crashes::crash_message& it)
{
    for (int n = 0; n < case_.instances; ++n)
    {
        if (n == from || uniform() < case_.datagrams_lost)
            continue;
        later(network_delay,
              [this, n, it, generation = instances_[static_cast<std::size_t>(n)].generation]
              {
                  auto& to = instances_[static_cast<std::size_t>(n)];
                  if (to.generation == generation)
                      to.forwarder->on_crash_news(now_, it);
              });
    }
}

void crash_fleet::record(int from, crashes::element_fingerprint it)
{
    const auto store_is_back = started_at_ + case_.store_away_until;
    const auto wait = std::max<core::duration>(network_delay, store_is_back - now_);
    const auto companions =
        instances_[static_cast<std::size_t>(from)].forwarder->attribution().companions_of(it);
    later(wait,
          [this, it, companions]
          {
              recorded_[it] = companions;
              later(store_watch_delay,
                    [this, it, companions]
                    {
                        for (auto& to : instances_)
                            to.forwarder->attribution().on_recorded(now_, it, companions);
                    });
          }); // whichever instance process runs by then
}

forwarder_hooks crash_fleet::hooks(int n)
{
    forwarder_hooks to;
    to.start = [this, n](const attempt_order& it) { on_start(n, it); };
    to.cancel = [this, n](core::attempt_id id)
    {
        auto& sends = instances_[static_cast<std::size_t>(n)].sends;
        const auto found = sends.find(id);
        if (found == sends.end())
            return;
        const auto it = found->second;
        it->is_cancelled = true;
        sends.erase(found);
        later(network_delay, [this, it] { remove_send(it); });
    };
    to.ask = [this, n](const endpoint_entry& it) { answer_probe(n, it); };
    to.forward_answer = [this, n](flow_id it, core::attempt_id) { on_request_end(n, it, true, nullptr); };
    to.forward_head = [](flow_id, core::attempt_id) {};
    to.forward_bytes = [](flow_id, std::string_view) {};
    to.forward_end = [this, n](flow_id it) { on_request_end(n, it, true, nullptr); };
    to.break_off = [this, n](flow_id it) { on_request_end(n, it, false, nullptr); };
    to.refuse = [this, n](flow_id it, const refusal& why) { on_request_end(n, it, false, &why); };
    to.announce_session_run = [](const session_run&) {};
    to.announce_prompt_sent = [](const prompt_sent&) {};
    to.announce_prompt_answered = [](const prompt_answered&) {};
    to.announce_crashes = [this, n](const crashes::crash_message& it) { broadcast(n, it); };
    to.found_harmful = [this, n](crashes::element_fingerprint it) { record(n, it); };
    to.log = [](const decision&) {};
    to.ended = [](const decision&, core::duration) {};
    return to;
}

void crash_fleet::later(core::duration after, std::function<void()> what)
{
    events_.emplace(now_ + after, std::move(what));
}

milliseconds crash_fleet::between(int least, int most)
{
    return milliseconds{std::uniform_int_distribution<>{least, most}(random_)};
}

void crash_fleet::repeat(double per_s, const std::function<void()>& what)
{
    if (per_s <= 0)
        return;
    constexpr double us_per_s = 1'000'000;
    const auto gap = std::exponential_distribution<>{per_s}(random_)*us_per_s;
    later(core::duration{static_cast<core::duration::rep>(gap)},
          [this, per_s, what]
          {
              what();
              repeat(per_s, what);
          });
}

// Callers

void crash_fleet::arrive()
{
    caller_request it;
    it.is_popular = uniform() < case_.popular_share;
    it.content = it.is_popular ? "popular" : "r" + std::to_string(next_id_++);
    if (case_.has_prompts)
        it.prompt = random_prompt(it.content, {"m" + std::to_string(between(1, middle_parts).count())});
    ++outcome_.asked;
    request(it);
}

std::vector<prompt_part> crash_fleet::random_prompt(const std::string& of,
                                                    const std::vector<std::string>& with)
{
    constexpr std::uint32_t tokens = 100;
    std::vector<prompt_part> out{{"f" + std::to_string(between(1, first_parts).count()), tokens}};
    for (const auto& it : with)
        out.push_back({it, tokens});
    out.push_back({"own " + of, tokens});
    return out;
}

void crash_fleet::send_harmful_part()
{
    if (now_ - started_at_ > case_.harmful_until)
        return;
    caller_request it;
    it.harmful_part = between(0, case_.harmful_parts - 1).count();
    it.content = "h" + std::to_string(next_id_++);
    std::vector<std::string> with{"m" + std::to_string(between(1, middle_parts).count())};
    with.insert(with.begin() + (uniform() < 0.5 ? 0 : 1), it.cause());
    if (case_.companion_per_s > 0)
        with.emplace_back("companion");
    it.prompt = random_prompt(it.content, with);
    request(it);
}

void crash_fleet::send_companion()
{
    caller_request it;
    it.content = "c" + std::to_string(next_id_++);
    it.prompt = random_prompt(it.content, {"companion"});
    ++outcome_.asked;
    request(it);
}

std::optional<time_point> crash_fleet::fifth_or_last_end() const
{
    std::optional<time_point> out;
    for (const auto& [cause, at] : ends_)
        if (!at.empty())
            out = std::max(out.value_or(time_point{}), at[std::min(at.size(), part_ends_before_late) - 1]);
    return out;
}

void crash_fleet::count_first_attempt(const caller_request& it, bool is_served)
{
    if (it.is_harmful() || it.repeats > 0)
        return;
    const auto fifth = fifth_or_last_end();
    if (it.sent_at < started_at_ + case_.harmful_from)
    {
        ++outcome_.asked_before;
        outcome_.served_before += is_served ? 1 : 0;
    }
    else if (fifth && it.sent_at > *fifth + 2 * propagation_time)
    {
        ++outcome_.asked_after;
        outcome_.served_after += is_served ? 1 : 0;
    }
}

void crash_fleet::send_harmful(int caller)
{
    if (now_ - started_at_ > case_.harmful_until)
        return;
    caller_request it;
    it.caller = caller;
    it.content = "harmful" + std::to_string(caller % case_.harmful_requests);
    request(it);
}

void crash_fleet::request(const caller_request& from)
{
    auto it = from;
    it.sent_at = now_;
    auto& by = instances_[random_() % instances_.size()];
    const flow_id flow{next_id_++};
    inbound_request in;
    in.id = core::request_id{std::to_string(flow.value())};
    in.host = "h";
    in.path = it.is_harmful() && !case_.harmful_is_repeatable ? "/once/x" : "/stream/x";
    in.content = crashes::hash_of("POST", in.host, in.path, it.content);
    in.time_left = milliseconds{20000};
    in.model = core::model_id{"m"};
    in.prompt = it.prompt;
    for (const auto& e : it.prompt)
        in.prompt_tokens += e.tokens;
    by.flows.emplace(flow, it);
    by.forwarder->on_request(now_, flow, in);
}

void crash_fleet::on_request_end(int n, flow_id flow, bool is_served, const refusal* why)
{
    auto& flows = instances_[static_cast<std::size_t>(n)].flows;
    const auto found = flows.extract(flow);
    if (found.empty())
        return;
    auto it = found.mapped();
    count_first_attempt(it, is_served);
    if (it.harmful_part >= 0)
    {
        if (it.repeats++ == 0)
            later(between(20, 120), [this, it] { request(it); });
        return;
    }
    if (it.is_harmful())
        return later(between(20, 120), [this, caller = it.caller] { send_harmful(caller); });
    if (is_served)
        return;
    if (why != nullptr && to_string(why->why.code) == "request_harmful")
    {
        ++outcome_.condemned;
        outcome_.popular_condemned += it.is_popular ? 1 : 0;
    }
    constexpr int most_repeats = 1;
    if (it.repeats++ < most_repeats)
    {
        const auto wait = why != nullptr && why->why.retry_after ? *why->why.retry_after : milliseconds{50};
        return later(std::min(wait, milliseconds{3000}), [this, it] { request(it); });
    }
    ++outcome_.unserved;
}

// Endpoints

crash_fleet::endpoint& crash_fleet::at(const endpoint_entry& it)
{
    return endpoints_.at(it.name);
}

bool crash_fleet::is_current(const send& it) const
{
    return !it.is_cancelled && instances_[static_cast<std::size_t>(it.instance)].generation == it.generation;
}

void crash_fleet::on_start(int n, const attempt_order& order)
{
    auto& by = instances_[static_cast<std::size_t>(n)];
    auto it = std::make_shared<send>();
    it->number = ++sends_;
    it->order = order;
    it->of = by.flows.at(order.flow);
    it->instance = n;
    it->generation = by.generation;
    by.sends[order.id] = it;
    later(network_delay, [this, it] { reach(it); });
}

void crash_fleet::reach(const send_ptr& it)
{
    auto& to = at(it->order.endpoint);
    if (!is_current(*it))
        return;
    if (to.is_silent)
        return later(connect_timeout, [this, it] { lose(it, attempt_loss::not_sent); });
    if (!to.is_up || to.entry.id != it->order.endpoint.id)
        return later(network_delay, [this, it] { lose(it, attempt_loss::not_sent); });
    if (it->of.is_harmful())
    {
        ++outcome_.sends;
        const auto& ends = ends_[it->of.cause()];
        const bool is_part = it->of.harmful_part >= 0;
        const auto counted = is_part ? part_ends_before_late : ends_before_late;
        const bool is_late = ends.size() >= counted && now_ - ends[counted - 1] > propagation_time;
        (is_part ? outcome_.part_late : outcome_.late) += is_late ? 1 : 0;
    }
    to.running.insert(it);
    instances_[static_cast<std::size_t>(it->instance)].forwarder->on_sent(now_, it->order.id);
    later(between(80, 600), [this, it] { begin(it); });
}

void crash_fleet::begin(const send_ptr& it)
{
    auto& to = at(it->order.endpoint);
    if (!to.running.contains(it))
        return;
    if (it->of.is_harmful())
        later(case_.survives,
              [this, it]
              {
                  auto& victim = at(it->order.endpoint);
                  if (!victim.running.contains(it))
                      return;
                  ends_[it->of.cause()].push_back(now_);
                  ++outcome_.ended;
                  end_endpoint(victim);
              });
    if (!is_current(*it))
        return;
    auto& by = *instances_[static_cast<std::size_t>(it->instance)].forwarder;
    it->has_head = true;
    by.on_stream_head(now_, it->order.id, {200, false, true, true, {}, case_.answers_end_with_connection});
    const bool is_long = core::stable_hash(it->of.content) % long_one_in == 0;
    send_event(it, it->order.last_event.value_or(0) + 1, is_long ? long_events : short_events);
}

void crash_fleet::send_event(const send_ptr& it, std::uint64_t event, std::uint64_t events)
{
    if (!is_current(*it) || !at(it->order.endpoint).running.contains(it))
        return;
    auto& by = instances_[static_cast<std::size_t>(it->instance)];
    if (event > events)
    {
        at(it->order.endpoint).running.erase(it);
        by.sends.erase(it->order.id);
        return by.forwarder->on_stream_end(now_, it->order.id);
    }
    by.forwarder->on_stream_event(now_, it->order.id, "x", event);
    later(event_interval, [this, it, event, events] { send_event(it, event + 1, events); });
}

void crash_fleet::remove_send(const send_ptr& it)
{
    at(it->order.endpoint).running.erase(it);
}

void crash_fleet::lose(const send_ptr& it, attempt_loss how)
{
    if (!is_current(*it))
        return;
    auto& by = instances_[static_cast<std::size_t>(it->instance)];
    by.sends.erase(it->order.id);
    by.forwarder->on_lost(now_, it->order.id, how);
}

void crash_fleet::close(const send_ptr& it)
{
    if (!is_current(*it))
        return;
    auto& by = instances_[static_cast<std::size_t>(it->instance)];
    by.sends.erase(it->order.id);
    by.forwarder->on_stream_end(now_, it->order.id);
}

void crash_fleet::end_endpoint(endpoint& it)
{
    if (!it.is_up)
        return;
    it.is_up = false;
    for (const auto& e : std::exchange(it.running, {}))
        later(network_delay,
              [this, e]
              {
                  if (e->has_head && case_.answers_end_with_connection)
                      close(e);
                  else
                      lose(e, attempt_loss::broken);
              });
    later(between(2000, 3000), [this, &it] { restart_endpoint(it); });
}

void crash_fleet::restart_endpoint(endpoint& it)
{
    it.is_up = true;
    it.is_silent = false;
    it.entry.incarnation = core::endpoint_incarnation{it.entry.incarnation.value() + 1};
    it.entry.id = endpoint_id_of(it.entry.name, it.entry.incarnation);
    later(store_watch_delay,
          [this, &it]
          {
              for (auto& to : instances_)
                  to.forwarder->on_endpoint(now_, it.entry);
          });
}

void crash_fleet::lose_power()
{
    for (auto& [name, it] : endpoints_)
    {
        if (it.entry.failure_domain.str() != "0" || !it.is_up)
            continue;
        it.is_up = false;
        it.is_silent = true;
        it.running.clear(); // no error reaches the instances, as with a power loss
        later(between(4000, 5000), [this, &it = it] { restart_endpoint(it); });
    }
}

void crash_fleet::answer_probe(int n, const endpoint_entry& about)
{
    const auto& it = at(about);
    const auto what = it.is_silent                          ? core::contact::silent
                      : it.is_up && it.entry.id == about.id ? core::contact::answered
                                                            : core::contact::refused;
    const auto generation = instances_[static_cast<std::size_t>(n)].generation;
    later(it.is_silent ? probe_timeout : network_delay,
          [this, n, generation, what, id = about.id]
          {
              auto& by = instances_[static_cast<std::size_t>(n)];
              if (by.generation == generation)
                  by.forwarder->on_probe_result(now_, id, what);
          });
}

// Simulation loop

void crash_fleet::tick_instance(int n)
{
    auto& by = *instances_[static_cast<std::size_t>(n)].forwarder;
    by.proven_current(now_);
    by.tick(now_);
    constexpr milliseconds housekeeping{1000};
    if ((now_ - started_at_) % housekeeping < tick_interval)
        by.keep_house(now_);
    later(tick_interval, [this, n] { tick_instance(n); });
}

crash_outcome crash_fleet::run()
{
    repeat(case_.requests_per_s, [this] { arrive(); });
    const auto pick = [this]() -> endpoint&
    { return std::next(endpoints_.begin(), static_cast<long>(random_() % endpoints_.size()))->second; };
    repeat(case_.ends_per_s, [this, pick] { end_endpoint(pick()); });
    later(case_.harmful_from, [this] { repeat(case_.harmful_parts_per_s, [this] { send_harmful_part(); }); });
    repeat(case_.companion_per_s, [this] { send_companion(); });
    repeat(case_.resets_per_s,
           [this, pick]
           {
               for (const auto& e : std::exchange(pick().running, {}))
                   later(network_delay, [this, e] { lose(e, attempt_loss::broken); });
           });
    for (int n = 0; n < case_.instances; ++n)
        later(milliseconds{n % tick_interval.count()}, [this, n] { tick_instance(n); });
    for (int n = 0; n < case_.harmful_callers; ++n)
        later(case_.harmful_from + between(0, 100), [this, n] { send_harmful(n); });
    if (case_.all_end_at.count() > 0)
        later(case_.all_end_at,
              [this]
              {
                  int n = 0;
                  for (auto& [name, it] : endpoints_)
                      if (n++ % 2 == 0)
                          end_endpoint(it);
              });
    if (case_.power_loss_at.count() > 0)
        later(case_.power_loss_at, [this] { lose_power(); });
    if (case_.restart_all_at.count() > 0)
        later(case_.restart_all_at,
              [this]
              {
                  for (int n = 0; n < case_.instances; ++n)
                      start(n);
                  for (int n = 0; n < case_.harmful_callers; ++n)
                      send_harmful(n);
              });
    const auto end = now_ + case_.length;
    while (!events_.empty() && events_.begin()->first < end)
    {
        auto it = events_.extract(events_.begin());
        now_ = it.key();
        it.mapped()();
    }
    return outcome_;
}

} // namespace runlink::test
