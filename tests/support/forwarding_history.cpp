#include "support/forwarding_history.hpp"

#include <algorithm>
#include <vector>

#include <catch2/catch.hpp>

#include "support/forwarding_declarations.hpp"

namespace runlink::tests
{

using namespace routing;

namespace
{

constexpr int steps = 400;
constexpr std::uint64_t longest_step_ms = 40;
constexpr int endpoint_count = 6;
constexpr std::uint64_t key_count = 4;
constexpr std::uint64_t content_count = 12; ///< number of contents that requests share
constexpr std::uint64_t version_count = 3;
const core::version_id flawed_version{"v2"};

std::string key_name(std::uint64_t n)
{
    return "k" + std::to_string(n);
}

} // namespace

forwarding_history::forwarding_history(std::uint64_t seed)
    : random_{seed}, options_{make_options(seed)}, witness_{options_, make_environment()},
      forwarder_{options_, core::failure_domain_id{"d0"}, core::instance_id{std::to_string(seed)},
                 witness_.hooks()}
{
    for (std::uint64_t n = 0; n < key_count; ++n)
        keys_.insert(key_name(n));
    apply_table();
    prove();
    forwarder_.bounds().put_instance(now_, core::instance_id{"other"}, {});
    forwarder_.bounds().settle(now_);
    forwarder_.own_retry_share().on_listed(now_ - core::seconds{60});
    for (int n = 0; n < endpoint_count; ++n)
    {
        entries_[n].name = core::endpoint_name{"e" + std::to_string(n)};
        entries_[n].id = endpoint_id_of(entries_[n].name, {});
        entries_[n].service = declared_service();
        entries_[n].version = core::version_id{"v0"};
        entries_[n].failure_domain = core::failure_domain_id{"d" + std::to_string(n % 3)};
        put_endpoint(n);
    }
}

void forwarding_history::run()
{
    for (int n = 0; n < steps; ++n)
    {
        for (auto more = 1 + pick(2); more > 0; --more)
            random_event();
        for (auto more = pick(7); more > 0; --more)
            advance_attempt();
        advance_time();
    }
    now_ += core::seconds{60};
    tick();
    witness_.check_over();
    CHECK(forwarder_.active_count() == 0);
    const auto& n = forwarder_.counters();
    witness_.count("sent to a cold endpoint", n.cold_sends);
    witness_.count("tried alone", n.trials);
    witness_.count("found harmful", n.found_harmful);
    witness_.count("end of an endpoint seen", n.endpoints_ended);
    witness_.count("waited for a place", n.waited);
}

milliseconds forwarding_history::pick_time(std::uint64_t least_ms, std::uint64_t spread_ms)
{
    return milliseconds{static_cast<milliseconds::rep>(least_ms + pick(spread_ms))};
}

forwarding_witness::environment forwarding_history::make_environment()
{
    return {// Some endpoints restart a resumed stream from its first event.
            [this](std::uint64_t last) { return pick(4) == 0 ? 1 : last + 1; },
            [this](const std::set<core::endpoint_id>& tried) { return has_untried(tried); },
            [this](crashes::element_fingerprint it) { return forwarder_.attribution().judge(now_, it); },
            [this] { return bad_version(); }};
}

bool forwarding_history::has_untried(const std::set<core::endpoint_id>& tried) const
{
    auto all = forwarder_.endpoints().usable(now_, declared_service());
    const auto more = forwarder_.endpoints().last_resorts(now_, declared_service());
    all.insert(all.end(), more.begin(), more.end());
    return std::any_of(all.begin(), all.end(),
                       [&](const auto* it) {
                           return !tried.contains(it->id) &&
                                  !forwarder_.evacuated().contains(it->failure_domain);
                       });
}

std::optional<core::version_id> forwarding_history::bad_version()
{
    const auto it = forwarder_.rollouts().status(declared_service());
    if (!it || it->order.revision == 0 || it->record.state == rollout_state::succeeded)
        return std::nullopt;
    const bool is_bad = it->is_bad || it->record.state == rollout_state::rolled_back;
    return is_bad ? std::optional{it->order.target} : std::nullopt;
}

void forwarding_history::random_event()
{
    switch (pick(16))
    {
    case 0: return caller_leaves();
    case 1: return answer_probe();
    case 2: return end_endpoint();
    case 3:
    case 4: return change_endpoints();
    case 5: return deliver_crash_news();
    case 6: return order_rollouts();
    case 7: return pick(3) == 0 ? change_evacuations() : change_keys();
    case 8: return pick(3) == 0 ? change_limit() : request(now_);
    default: return request(now_);
    }
}

// Time

void forwarding_history::advance_time()
{
    switch (pick(40))
    {
    case 0: return suspend_process();
    case 1: now_ += pick_time(80, 200); break;
    default: now_ += pick_time(0, longest_step_ms);
    }
    if (now_ >= no_proof_until_)
        prove();
    if (pick(50) == 0)
        no_proof_until_ = now_ + pick_time(300, 2000);
    tick();
    write_rollouts();
    if (pick(25) == 0)
        deliver("house", [&] { forwarder_.keep_house(now_); });
}

void forwarding_history::suspend_process()
{
    const auto since = now_;
    now_ += pick_time(50, 600);
    deliver("wake", [&] { forwarder_.on_wake(now_, since); });
    for (auto more = pick(3); more > 0; --more)
        request(since);
    forwarder_.end_wake();
    tick();
}

void forwarding_history::tick()
{
    deliver("tick", [&] { forwarder_.tick(now_); });
}

void forwarding_history::prove()
{
    witness_.on_proof(now_);
    deliver("proof", [&] { forwarder_.proven_current(now_); });
}

// Declarations

void forwarding_history::apply_table()
{
    witness_.on_keys(keys_);
    const auto table = make_table(++table_version_, keys_);
    deliver("table", [&] { forwarder_.apply(table); });
}

void forwarding_history::change_keys()
{
    const auto key = key_name(pick(key_count));
    if (keys_.erase(key) == 0)
        keys_.insert(key);
    apply_table();
}

void forwarding_history::order_rollouts()
{
    auto& to = forwarder_.rollouts();
    const auto* it = to.find(declared_service());
    if (it == nullptr || it->state != rollout_state::running)
        return forwarder_.on_order(now_, {declared_service(), pick_version(), rollout_time, ++revision_},
                                   now_);
    if (pick(4) == 0)
        return to.on_order_removed(declared_service());
    // Another instance wrote the record.
    auto record = *it;
    record.revision = ++revision_;
    record.share_percent = static_cast<std::uint32_t>(pick(3) * 50);
    if (pick(4) == 0)
        record.state = rollout_state::rolled_back;
    to.on_record(now_, record);
}

void forwarding_history::write_rollouts()
{
    for (auto it : forwarder_.rollouts().due(now_))
    {
        if (pick(4) == 0)
        {
            forwarder_.rollouts().on_write_failed(now_, it.service);
            continue;
        }
        it.revision = ++revision_;
        forwarder_.rollouts().on_record(now_, it);
        witness_.count("roll-out: " + std::string{to_string(it.state)}, 1);
    }
}

void forwarding_history::change_evacuations()
{
    const core::failure_domain_id domain{"d" + std::to_string(pick(3))};
    if (forwarder_.evacuated().size() > 1 || forwarder_.evacuated().contains(domain))
        deliver("readmitted", [&] { forwarder_.on_readmitted(now_, domain); });
    else
        deliver("evacuated", [&] { forwarder_.on_evacuated(domain); });
}

// Endpoints

void forwarding_history::put_endpoint(int n)
{
    const auto& it = entries_[n];
    deliver("endpoint", [&] { forwarder_.on_endpoint(now_, it); });
}

void forwarding_history::change_endpoints()
{
    const auto n = static_cast<int>(pick(endpoint_count));
    auto& it = entries_[n];
    it.cold_for = pick(6) == 0 ? pick_time(50, 300) : milliseconds{0};
    switch (pick(9))
    {
    case 8: return list_endpoints();
    case 0: return deliver("gone", [&] { forwarder_.endpoints().remove(now_, it.name); });
    case 1: it.leaving = true; break;
    case 2:
    case 3: begin_incarnation(it); break;
    default: break;
    }
    if (it.leaving && pick(2) == 0)
        begin_incarnation(it);
    put_endpoint(n);
}

void forwarding_history::list_endpoints()
{
    std::vector<endpoint_entry> all;
    std::vector<core::endpoint_name> unreadable;
    for (const auto& [n, it] : entries_)
        if (!it.leaving)
            all.push_back(it);
    if (pick(3) == 0 && !all.empty())
    {
        unreadable.push_back(all.back().name);
        all.pop_back();
    }
    deliver("endpoint list", [&] { forwarder_.on_endpoints(now_, all, unreadable); });
}

void forwarding_history::begin_incarnation(endpoint_entry& it)
{
    it.incarnation = core::endpoint_incarnation{it.incarnation.value() + 1};
    it.id = endpoint_id_of(it.name, it.incarnation);
    it.leaving = false;
    if (pick(2) == 0)
        it.version = pick_version();
}

core::version_id forwarding_history::pick_version()
{
    return core::version_id{"v" + std::to_string(pick(version_count))};
}

void forwarding_history::answer_probe()
{
    if (witness_.pending_probes().empty())
        return;
    const auto id = witness_.take_probe();
    const core::contact all[] = {core::contact::answered, core::contact::answered, core::contact::silent,
                                 core::contact::refused};
    const auto what = all[pick(4)];
    deliver("asked", [&] { forwarder_.on_probe_result(now_, id, what); });
}

void forwarding_history::end_endpoint()
{
    const auto id = entries_[static_cast<int>(pick(endpoint_count))].id;
    deliver("own end", [&] { forwarder_.on_probe_result(now_, id, core::contact::refused); });
}

void forwarding_history::change_limit()
{
    const auto& id = entries_[static_cast<int>(pick(endpoint_count))].id;
    if (limits_.erase(id) == 0)
        limits_[id] = static_cast<double>(pick(40)) / 10;
}

void forwarding_history::deliver_statement(const seen_attempt& from)
{
    endpoint_statement says;
    if (const auto found = limits_.find(from.endpoint); found != limits_.end())
        says.requests_per_s = found->second;
    says.is_leaving = pick(60) == 0;
    if (says.is_leaving)
        witness_.on_leaving(from.endpoint);
    deliver("statement", [&] { forwarder_.on_statement(now_, from.endpoint, from.sent_at, says); });
    if (says.requests_per_s || forwarder_.bounds().limits().limit_of(from.endpoint) == std::nullopt)
        witness_.on_limit(from.endpoint, says.requests_per_s);
}

void forwarding_history::ask_for_rest(const seen_attempt& from)
{
    if (pick(4) != 0)
        return;
    endpoint_statement says;
    says.rest = pick_time(50, 1500);
    if (const auto found = limits_.find(from.endpoint); found != limits_.end())
        says.requests_per_s = found->second;
    deliver("rest", [&] { forwarder_.on_statement(now_, from.endpoint, from.sent_at, says); });
    witness_.on_rest(from.endpoint, now_ + *says.rest);
}

// Other instances

void forwarding_history::deliver_crash_news()
{
    const auto& attempts = witness_.attempts();
    if (attempts.empty())
        return;
    auto at = attempts.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(pick(attempts.size())));
    const auto content = witness_.requests().at(at->second.flow).content;
    const crashes::interrupted_element run{content, milliseconds{100}};
    crashes::crash_message it;
    switch (pick(5))
    {
    case 0: it.findings.push_back({content, crashes::element_effect::harmful}); break;
    case 1: it.findings.push_back({content, crashes::element_effect::harmless}); break;
    case 2:
        it.trials.push_back({content, crashes::endpoint_id_hash{next_ended_endpoint_++}, pick(2) == 0});
        break;
    default:
        for (int n = 0; n < 2; ++n)
            it.reports.push_back({crashes::endpoint_id_hash{next_ended_endpoint_++}, {run}});
    }
    deliver("news", [&] { forwarder_.on_crash_news(now_, it); });
    if (pick(8) == 0)
        deliver("news",
                [&] {
                    forwarder_.on_crash_news(now_, {{}, {}, {{content, crashes::element_effect::harmless}}});
                });
}

// Callers

void forwarding_history::request(time_point arrived)
{
    const flow_id id{next_flow_++};
    const auto n = pick(declared_routes().size());
    const auto& route = declared_routes()[n];
    auto& it = witness_.requests()[id];
    it.kind = route.kind;
    it.is_idempotent = route.is_idempotent();
    it.is_public = route.is_public;
    it.max_attempts = it.is_idempotent ? 3 : 1;
    it.key = route.is_public ? "" : key_name(pick(key_count));
    inbound_request in;
    in.id = core::request_id{std::to_string(id.value())};
    in.host = "h";
    in.path = "/" + std::to_string(n) + "/x";
    in.key = it.key;
    in.content = crashes::content_hash{pick(2) == 0 ? pick(content_count) : id.value() + content_count};
    in.time_left = pick_time(100, 3000);
    if (pick(2) == 0)
        in.session = core::session_id{"s" + std::to_string(pick(10))};
    in.prompt_tokens = pick(2) == 0 ? 0 : 20;
    it.content = crashes::fingerprint_of(in.content, owner_of(it.key));
    it.max_duration = std::min(in.time_left, route.timeout());
    it.deadline = arrived + it.max_duration;
    deliver("request", [&] { forwarder_.on_request(now_, id, in); });
}

void forwarding_history::caller_leaves()
{
    for (auto& [id, it] : witness_.requests())
    {
        if (it.outcomes > 0 || it.caller_left || pick(4) != 0)
            continue;
        it.caller_left = true;
        const auto flow = id;
        return deliver("caller left", [&] { forwarder_.on_caller_left(now_, flow); });
    }
}

// Attempts

void forwarding_history::advance_attempt()
{
    auto& attempts = witness_.attempts();
    if (attempts.empty())
        return;
    auto at = attempts.begin();
    std::advance(at, static_cast<std::ptrdiff_t>(pick(attempts.size())));
    const auto id = at->first;
    auto& it = at->second;
    auto& of = witness_.requests().at(it.flow);
    if (!it.sent)
    {
        if (pick(8) == 0)
            return end(id, "not sent", [&] { forwarder_.on_lost(now_, id, attempt_loss::not_sent); });
        if (!forwarder_.may_write(now_, id))
        {
            witness_.count("withheld");
            return end(id, "withheld", [&] { forwarder_.on_lost(now_, id, attempt_loss::withheld); });
        }
        witness_.on_written(it.endpoint);
        it.sent = true;
        it.sent_at = now_;
        ++of.runs;
        CHECK(of.runs <= of.max_attempts);
        return deliver("sent", [&] { forwarder_.on_sent(now_, id); });
    }
    const auto fate = pick(of.kind == route_kind::streaming ? 30 : 8);
    if (fate == 0)
        return end(id, "broken", [&] { forwarder_.on_lost(now_, id, attempt_loss::broken); });
    if (fate == 1 && !it.has_head)
    {
        --of.runs;
        ask_for_rest(it);
        return answer(id, {503, true, false, false, {}});
    }
    const bool is_flawed = it.version == flawed_version && pick(2) == 0;
    const int status = is_flawed || fate == 2 ? 500 : 200;
    const bool is_sealed = fate != 3;
    if (of.kind != route_kind::streaming || (status == 500 && !it.has_head))
    {
        it.answered = true;
        return answer(id, {status, false, is_sealed, false, {}});
    }
    stream(id, it, is_sealed);
}

void forwarding_history::answer(core::attempt_id id, const attempt_head& head)
{
    deliver_statement(witness_.attempts().at(id));
    end(id, "answer", [&] { forwarder_.on_answer(now_, id, head); });
}

void forwarding_history::stream(core::attempt_id id, seen_attempt& it, bool is_sealed)
{
    if (!it.has_head)
    {
        it.has_head = true;
        deliver_statement(it);
        it.is_unsealed = !is_sealed;
        const auto confidence = static_cast<int>(pick(100));
        return deliver("head",
                       [&] {
                           forwarder_.on_stream_head(now_, id, {200, false, is_sealed, true, confidence});
                       });
    }
    if (it.next_event > stream_length)
        return end(id, "end", [&] { forwarder_.on_stream_end(now_, id); });
    const auto n = it.next_event++;
    deliver("event", [&] { forwarder_.on_stream_event(now_, id, std::to_string(n), n); });
}

} // namespace runlink::tests
