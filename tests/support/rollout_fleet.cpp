#include "support/rollout_fleet.hpp"

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::test
{
namespace
{

using namespace routing;

const core::service_id service{"s"};
const version_id old_version{"v1"};
const version_id new_version{"v2"};

constexpr milliseconds warm_up{12000}; ///< load before the roll-out order
constexpr milliseconds tick_interval{20};
constexpr milliseconds announce_delay{30};
constexpr milliseconds network_delay{2};
constexpr milliseconds store_watch_delay{60}; ///< from a change in the store to the instances
constexpr milliseconds rollback_time{5000};
constexpr std::uint64_t bad_answers_at_first = 50;
constexpr std::uint64_t stream_events = 8;
constexpr int sessions = 3000;
constexpr double tokens_per_ms = 40;

/// A kind of request: its route, its prompt and its target latency.
struct kind
{
    std::string name;
    std::string path;
    std::uint32_t shared = 0; ///< prompt tokens shared with other requests of the subject
    std::uint32_t own = 0;    ///< prompt tokens of this request only
    int subjects = 1;         ///< number of different shared prompt parts
    milliseconds target{};    ///< target latency
};

const std::vector<kind>& kinds()
{
    static const std::vector<kind> all{{"long", "/long/", 6000, 3000, 60, milliseconds{4000}},
                                       {"middle", "/middle/", 3000, 1500, 60, milliseconds{3000}},
                                       {"short", "/short/", 300, 800, 60, milliseconds{2000}}};
    return all;
}

const kind& kind_of(flow_id it)
{
    return kinds()[it.value() % kinds().size()];
}

/// Names the prompt part that the request shares with others.
std::string subject_of(flow_id it)
{
    const auto& kind = kind_of(it);
    return kind.name + std::to_string(core::stable_hash(std::to_string(it.value())) %
                                      static_cast<std::uint64_t>(kind.subjects));
}

routing_table_ptr make_plain_table()
{
    std::vector<route> routes;
    for (const auto& it : kinds())
    {
        route out;
        out.name = it.name;
        out.host = "h";
        out.path_prefix = it.path;
        out.kind = route_kind::safe;
        out.timeout = milliseconds{5000};
        out.target_latency = milliseconds{300};
        out.max_attempts = 2;
        out.services = {{service, 1}};
        routes.push_back(out);
    }
    routing::service plain;
    plain.id = service;
    return std::make_shared<const routing_table>(1, routes, std::vector<routing::service>{plain},
                                                 std::vector<account>{}, caller_limits{});
}

routing_table_ptr make_table()
{
    std::vector<route> routes;
    for (const auto& it : kinds())
    {
        route out;
        out.name = it.name;
        out.host = "h";
        out.path_prefix = it.path;
        out.kind = route_kind::streaming;
        out.resumable = true;
        out.has_prompts = true;
        out.timeout = milliseconds{20000};
        out.target_latency = it.target;
        out.target_gap = milliseconds{1000};
        out.max_attempts = 3;
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

rollout_fleet::rollout_fleet(const rollout_case& of) : case_{of}, random_{of.seed}
{
    for (int n = 0; n < case_.instances; ++n)
    {
        const auto domain = std::to_string(n % 3);
        instance it;
        it.forwarder = std::make_unique<request_forwarder>(
            options(), core::failure_domain_id{domain}, core::instance_id{"i" + std::to_string(n)}, hooks(n));
        it.forwarder->rollouts().set_follows_store(n < 3);
        it.forwarder->rollouts().on_verdict = [this](const auto&, const routing::version_fault& why)
        { outcome_.why.insert(to_string(why)); };
        it.forwarder->apply(case_.is_plain ? make_plain_table() : make_table());
        it.forwarder->proven_current(now_);
        it.forwarder->rollouts().set_instances(static_cast<std::size_t>(case_.instances));
        instances_.push_back(std::move(it));
    }
    put_endpoints("v1");
}

forwarder_options rollout_fleet::options() const
{
    forwarder_options out;
    out.session_ttl = case_.session_ttl;
    out.rollouts.schedule.exposure_share = case_.exposure_share;
    out.rollouts.schedule.exposure_slack = case_.exposure_slack;
    out.rollouts.schedule.first_share_percent = case_.first_share_percent;
    return out;
}

forwarder_hooks rollout_fleet::hooks(int n)
{
    forwarder_hooks to;
    to.start = [this, n](const attempt_order& it) { on_start(n, it); };
    to.cancel = [this, n](core::attempt_id id)
    {
        auto& sends = instances_[static_cast<std::size_t>(n)].sends;
        if (const auto found = sends.find(id); found != sends.end())
            found->second->is_cancelled = true;
        sends.erase(id);
    };
    to.ask = [this, n](const endpoint_entry& it)
    {
        later(network_delay,
              [this, n, id = it.id] {
                  instances_[static_cast<std::size_t>(n)].forwarder->on_probe_result(now_, id,
                                                                                     core::contact::answered);
              });
    };
    to.forward_answer = [](flow_id, core::attempt_id) {};
    to.forward_head = [](flow_id, core::attempt_id) {};
    to.forward_bytes = [](flow_id, std::string_view) {};
    to.forward_end = [this](flow_id it) { note_ended(it); };
    to.break_off = [this](flow_id it)
    {
        note_ended(it);
        ++outcome_.unserved;
    };
    to.refuse = [this](flow_id, const refusal&) { ++outcome_.unserved; };
    to.announce_session_run = [this, n](const session_run& it)
    {
        instances_[static_cast<std::size_t>(n)].runs.push_back(it);
        announce_runs(n);
    };
    to.announce_prompt_sent = [this, n](const prompt_sent& it)
    {
        for (int to = 0; to < case_.instances; ++to)
            if (to != n)
                instances_[static_cast<std::size_t>(to)].forwarder->on_peer_prompt(now_, it);
    };
    to.announce_prompt_answered = [this, n](const prompt_answered& it)
    {
        for (int to = 0; to < case_.instances; ++to)
            if (to != n)
                instances_[static_cast<std::size_t>(to)].forwarder->on_peer_answer(now_, it);
    };
    to.log = [](const decision&) {};
    to.ended = [](const decision&, core::duration) {};
    return to;
}

void rollout_fleet::put_endpoints(const std::string& version)
{
    for (int n = 0; n < case_.endpoints; ++n)
    {
        endpoint_entry it;
        it.name = core::endpoint_name{version + "-" + std::to_string(n)};
        it.id = endpoint_id_of(it.name, {});
        it.service = service;
        it.version = version_id{version};
        it.failure_domain = core::failure_domain_id{std::to_string(n % 3)};
        it.slots = 48;
        for (auto& to : instances_)
            to.forwarder->endpoints().put(it);
    }
}

void rollout_fleet::later(milliseconds after, std::function<void()> what)
{
    events_.emplace(now_ + after, std::move(what));
}

// Requests

void rollout_fleet::arrive()
{
    constexpr double ms_per_s = 1000;
    const auto gap = std::exponential_distribution<>{case_.requests_per_s / ms_per_s}(random_);
    constexpr double us_per_ms = 1000;
    events_.emplace(now_ + core::duration{static_cast<core::duration::rep>(gap * us_per_ms)},
                    [this] { arrive(); });
    auto& by = instances_[random_() % instances_.size()];
    inbound_request in;
    const flow_id flow{next_flow_++};
    const auto& of = kind_of(flow);
    in.id = core::request_id{std::to_string(flow.value())};
    in.host = "h";
    in.path = of.path + "x";
    in.time_left = milliseconds{20000};
    in.session = core::session_id{std::to_string(random_() % sessions)};
    session_of_[flow] = in.session;
    if (case_.is_plain)
        return by.forwarder->on_request(now_, flow, in);
    in.model = core::model_id{"m"};
    in.prompt = {{subject_of(flow), of.shared}, {in.id.str(), of.own}};
    in.prompt_tokens = of.shared + of.own;
    by.forwarder->on_request(now_, flow, in);
}

void rollout_fleet::on_start(int n, const attempt_order& order)
{
    auto it = std::make_shared<send>();
    it->order = order;
    it->at = now_;
    instances_[static_cast<std::size_t>(n)].sends[order.id] = it;
    const bool is_new = order.endpoint.version == new_version;
    note_sent(order);
    if (order_.revision != 0 && now_ < ordered_at_ + case_.allowed)
    {
        ++outcome_.requests;
        outcome_.exposed += is_new ? 1 : 0;
    }
    if (is_new && fiftieth_bad_ && now_ > *fiftieth_bad_ + rollback_time)
        ++outcome_.late;
    later(network_delay,
          [this, n, it]
          {
              if (it->is_cancelled)
                  return;
              instances_[static_cast<std::size_t>(n)].forwarder->on_sent(now_, it->order.id);
              answer(n, it);
          });
}

void rollout_fleet::note_sent(const attempt_order& order)
{
    constexpr int halves = 2;
    auto& last = sessions_[session_of_.at(order.flow)];
    const bool was_old = last.ended && now_ - *last.ended < case_.session_ttl && last.version == old_version;
    const bool is_first_half = order_.revision != 0 && now_ < ordered_at_ + case_.allowed / halves;
    if (was_old && is_first_half && order.endpoint.version == new_version)
        ++outcome_.moved;
    last = {order.flow, order.endpoint.version, std::nullopt};
}

void rollout_fleet::note_ended(flow_id flow)
{
    auto& last = sessions_.at(session_of_.at(flow));
    if (last.flow == flow)
        last.ended = now_;
}

milliseconds rollout_fleet::prefill_time(const send& of)
{
    constexpr double plain_ms = 30;
    if (case_.is_plain)
        return milliseconds{
            static_cast<milliseconds::rep>(1 + plain_ms * std::lognormal_distribution<>{0, 0.4}(random_))};
    const auto& kind = kind_of(of.order.flow);
    auto& cached = cached_prompts_[of.order.endpoint.id.str()];
    const bool is_cached = !cached.insert(subject_of(of.order.flow)).second;
    const double tokens = kind.own + (is_cached ? 0 : kind.shared);
    const auto spread = std::lognormal_distribution<>{0, 0.4}(random_);
    return milliseconds{static_cast<milliseconds::rep>(5 + tokens / tokens_per_ms * spread)};
}

const version_trouble* rollout_fleet::fault_of(const send& of) const
{
    const auto& it = of.order.endpoint.version == new_version ? case_.fresh : case_.old;
    const auto& kind = kind_of(of.order.flow);
    if (order_.revision == 0 || now_ < ordered_at_ + it.from || (!it.route.empty() && it.route != kind.name))
        return nullptr;
    return &it;
}

void rollout_fleet::note_bad(const send& of)
{
    if (of.order.endpoint.version != new_version || ++outcome_.bad != bad_answers_at_first)
        return;
    fiftieth_bad_ = now_;
}

void rollout_fleet::answer(int n, const std::shared_ptr<send>& it)
{
    static const version_trouble no_trouble;
    const auto* found = fault_of(*it);
    const auto& fault = found == nullptr ? no_trouble : *found;
    auto& by = *instances_[static_cast<std::size_t>(n)].forwarder;
    const auto time = prefill_time(*it);
    const auto end = [this, n](const send& of)
    { instances_[static_cast<std::size_t>(n)].sends.erase(of.order.id); };
    if (happens(fault.hanging))
        return note_bad(*it);
    if (happens(fault.lost))
        return later(time,
                     [this, &by, it, end]
                     {
                         note_bad(*it);
                         if (it->is_cancelled)
                             return;
                         end(*it);
                         by.on_lost(now_, it->order.id, attempt_loss::broken);
                     });
    if (happens(fault.failing))
        return later(time,
                     [this, &by, it, end]
                     {
                         note_bad(*it);
                         if (it->is_cancelled)
                             return;
                         end(*it);
                         by.on_answer(now_, it->order.id, {500, false, true, false, {}});
                     });
    const bool is_slow = happens(fault.slow);
    const auto factor = fault.all_slow * (is_slow ? fault.times : 1);
    const auto slowed = [&](milliseconds of)
    { return milliseconds{static_cast<milliseconds::rep>(static_cast<double>(of.count()) * factor)}; };
    if (case_.is_plain)
        return answer_plain(n, it, slowed(time), factor > 1);
    constexpr milliseconds pace{20};
    later(slowed(time),
          [this, n, &by, it, pace = slowed(pace), is_bad = factor > 1]
          {
              if (it->is_cancelled)
                  return;
              by.on_stream_head(now_, it->order.id, {200, false, true, true, {}});
              stream(n, it, pace, 1, is_bad);
          });
}

void rollout_fleet::answer_plain(int n, const std::shared_ptr<send>& it, milliseconds time, bool is_bad)
{
    later(time,
          [this, n, it, is_bad]
          {
              if (is_bad)
                  note_bad(*it);
              if (it->is_cancelled)
                  return;
              auto& by = instances_[static_cast<std::size_t>(n)];
              by.sends.erase(it->order.id);
              by.forwarder->on_answer(now_, it->order.id, {200, false, true, false, {}});
              note_ended(it->order.flow);
          });
}

void rollout_fleet::stream(int n, const std::shared_ptr<send>& it, milliseconds pace, std::uint64_t event,
                           bool is_bad)
{
    if (it->is_cancelled)
        return;
    auto& by = instances_[static_cast<std::size_t>(n)];
    if (event > stream_events)
    {
        if (is_bad)
            note_bad(*it);
        by.sends.erase(it->order.id);
        return by.forwarder->on_stream_end(now_, it->order.id);
    }
    by.forwarder->on_stream_event(now_, it->order.id, "x", event);
    later(pace, [this, n, it, pace, event, is_bad] { stream(n, it, pace, event + 1, is_bad); });
}

// Messages between instances

void rollout_fleet::announce_runs(int n)
{
    auto& from = instances_[static_cast<std::size_t>(n)];
    if (std::exchange(from.is_announcement_scheduled, true))
        return;
    later(announce_delay,
          [this, n]
          {
              auto& by = instances_[static_cast<std::size_t>(n)];
              by.is_announcement_scheduled = false;
              const auto runs = std::exchange(by.runs, {});
              send_datagram(n,
                            [this, runs](auto& peer)
                            {
                                for (const auto& e : runs)
                                    peer.on_peer_run(now_, e);
                            });
          });
}

void rollout_fleet::tell_evidence(int n)
{
    const auto evidence = instances_[static_cast<std::size_t>(n)].forwarder->rollouts().tell_evidence(now_);
    if (evidence.empty())
        return;
    const core::instance_id sender{"i" + std::to_string(n)};
    send_datagram(n, [&](auto& peer) { peer.rollouts().on_peer_evidence(now_, sender, evidence); });
}

void rollout_fleet::send_datagram(int from, const std::function<void(request_forwarder&)>& to)
{
    for (int n = 0; n < case_.instances; ++n)
        if (n != from && !happens(case_.datagrams_lost))
            to(*instances_[static_cast<std::size_t>(n)].forwarder);
}

// The store

void rollout_fleet::order()
{
    const bool is_first = order_.revision == 0;
    if (is_first)
    {
        ordered_at_ = now_;
        put_endpoints("v2");
    }
    order_ = {service, new_version, case_.allowed, ++revision_};
    for (auto& it : instances_)
        it.forwarder->on_order(now_, order_, now_);
}

void rollout_fleet::tick_instance(int n)
{
    auto& by = *instances_[static_cast<std::size_t>(n)].forwarder;
    by.proven_current(now_);
    by.tick(now_);
    for (const auto& it : by.rollouts().due(now_))
        later(network_delay, [this, it, n] { write(it, n); });
    tell_evidence(n);
    later(tick_interval, [this, n] { tick_instance(n); });
}

void rollout_fleet::write(const rollout_record& it, int by)
{
    auto& writer = instances_[static_cast<std::size_t>(by)].forwarder->rollouts();
    if (it.revision != record_.revision)
        return writer.on_write_failed(now_, it.service);
    record_ = it;
    record_.revision = ++revision_;
    outcome_.state = record_.state;
    writer.on_record(now_, record_);
    for (auto& to : instances_)
        later(store_watch_delay,
              [this, &to, record = record_] { to.forwarder->rollouts().on_record(now_, record); });
    if (record_.state != rollout_state::succeeded)
        return;
    for (int n = 0; n < case_.endpoints; ++n)
        for (auto& to : instances_)
            to.forwarder->endpoints().remove(now_, core::endpoint_name{"v1-" + std::to_string(n)});
}

rollout_outcome rollout_fleet::run()
{
    const auto end = now_ + warm_up + case_.length;
    arrive();
    for (int n = 0; n < case_.instances; ++n)
        later(milliseconds{n % tick_interval.count()}, [this, n] { tick_instance(n); });
    later(warm_up, [this] { order(); });
    for (const auto at : case_.written_again)
        later(warm_up + at, [this] { order(); });
    while (!events_.empty() && events_.begin()->first < end)
    {
        auto it = events_.extract(events_.begin());
        now_ = it.key();
        it.mapped()();
    }
    return outcome_;
}

} // namespace runlink::test
