#include "support/fake_world.hpp"

#include <algorithm>

#include "runlink/core/hash.hpp"
#include "runlink/proto/codec.hpp"

namespace runlink::tests
{
namespace
{

using core::milliseconds;

constexpr milliseconds tick_interval{10};
constexpr milliseconds peer_latency{1};
constexpr std::uint64_t wall_start = 1'700'000'000'000;
constexpr std::uint64_t test_partitions = 2;

std::string in_quotes(const std::string& it)
{
    return "\"" + it + "\"";
}

} // namespace

core::configuration base_configuration()
{
    const auto json = R"({
        "deployment": "test", "revision": 1, "operation_id": "base",
        "accounts": [
            {"name": "office", "allow": ["review/*"], "services": ["transfer"]},
            {"name": "branch", "allow": ["review/r1"]}],
        "models": [{"name": "review", "versions": [
            {"name": "r1", "cost_per_1k_tokens": 1000},
            {"name": "r2", "state": "withdrawn", "cost_per_1k_tokens": 500}]}],
        "pools": [
            {"name": "engines", "endpoints": [
                {"name": "e1", "host": "127.0.0.1", "port": 1, "failure_domain": "d1", "versions": ["review/r1", "review/r2"], "capacity": 4},
                {"name": "e2", "host": "127.0.0.1", "port": 2, "failure_domain": "d2", "versions": ["review/r1", "review/r2"], "capacity": 4}]},
            {"name": "transfer", "endpoints": [
                {"name": "s1", "host": "127.0.0.1", "port": 3, "failure_domain": "d1", "capacity": 4}]}],
        "services": [{"name": "transfer", "pool": "transfer"}]})";
    return core::parse_configuration(json).value();
}

fake_world::fake_world(std::vector<std::string> names, std::uint64_t seed) : seed_{seed}
{
    for (const auto& name : names)
        slots_[name].address = "10.0.0." + std::to_string(slots_.size() + 1) + ":7100";
    for (auto& [name, unused] : slots_)
        start(name);
}

fake_world::~fake_world() = default;

std::vector<std::string> fake_world::names() const
{
    std::vector<std::string> out;
    for (const auto& [name, unused] : slots_)
        out.push_back(name);
    return out;
}

void fake_world::schedule(const std::string& owner, core::duration after, std::function<void()> action)
{
    events_.emplace(std::pair{clock_.now() + after, ++next_event_},
                    event{owner, slots_.at(owner).incarnation, std::move(action)});
}

void fake_world::run_due_events()
{
    while (!events_.empty() && events_.begin()->first.first <= clock_.now())
    {
        auto it = std::move(events_.begin()->second);
        events_.erase(events_.begin());
        auto& owner = slots_.at(it.owner);
        if (owner.incarnation != it.incarnation || !owner.instance)
            continue;
        if (owner.frozen)
            owner.backlog.push_back(std::move(it.action));
        else
            it.action();
    }
}

void fake_world::tick_all()
{
    for (auto& [unused, it] : slots_)
        if (it.instance && !it.frozen)
            it.instance->tick(clock_.now());
}

void fake_world::advance(core::duration it)
{
    const auto end = clock_.now() + it;
    while (clock_.now() < end)
    {
        const auto next_tick = clock_.now() + tick_interval - clock_.now().time_since_epoch() % tick_interval;
        auto next = std::min(next_tick, end);
        if (!events_.empty())
            next = std::min(next, std::max(events_.begin()->first.first, clock_.now()));
        clock_.advance_to(next);
        run_due_events();
        if (next == next_tick)
            tick_all();
    }
}

bool fake_world::advance_until(const std::function<bool()>& condition, core::duration bound)
{
    const auto end = clock_.now() + bound;
    while (!condition() && clock_.now() < end)
        advance(tick_interval);
    return condition();
}

void fake_world::start(const std::string& name)
{
    auto& it = slots_.at(name);
    ++it.incarnation;
    core::instance_options options;
    options.deployment = "test";
    options.self = {core::instance_id{name}, core::incarnation_id{name + std::to_string(it.incarnation)},
                    core::failure_domain_id{"domain-" + name}, it.address};
    options.expected_instances = static_cast<std::uint32_t>(slots_.size());
    options.keeper.expected_instances = options.expected_instances;
    options.secrets = {"secret"};
    options.random_seed = seed_;
    options.client.partitions = test_partitions;
    for (const auto& [unused, e] : slots_)
        options.seed_addresses.push_back(e.address);
    if (adjust)
        adjust(options);
    it.instance = std::make_unique<core::instance>(std::move(options), make_instance_hooks(name));
}

void fake_world::kill(const std::string& name)
{
    auto& it = slots_.at(name);
    it.instance.reset();
    ++it.incarnation;
    it.frozen = false;
    it.backlog.clear();
    for (auto& call : calls_)
        if (call.instance == name)
            call.open = false;
}

void fake_world::freeze(const std::string& name)
{
    slots_.at(name).frozen = true;
}

void fake_world::thaw(const std::string& name)
{
    auto& it = slots_.at(name);
    it.frozen = false;
    // Runs the backlog in order, as an event loop does after a pause.
    while (!it.backlog.empty() && it.instance)
    {
        const auto action = std::move(it.backlog.front());
        it.backlog.pop_front();
        action();
    }
}

void fake_world::cut(const std::string& a, const std::string& b)
{
    cut_links_.insert(std::minmax(a, b));
}

void fake_world::heal(const std::string& a, const std::string& b)
{
    cut_links_.erase(std::minmax(a, b));
}

void fake_world::deliver(const std::string& from, const std::string& address, const core::peer_envelope& it)
{
    for (auto& [name, e] : slots_)
    {
        if (e.address != address || !e.instance || cut_links_.contains(std::minmax(from, name)))
            continue;
        const auto decoded = proto::decode(proto::encode(it)).value();
        schedule(name, peer_latency, [this, name = name, decoded] { at(name).on_peer(now(), decoded); });
    }
}

core::instance_hooks fake_world::make_instance_hooks(const std::string& name)
{
    core::instance_hooks out;
    out.store = store.port(
        [this, name, incarnation = slots_.at(name).incarnation](core::duration after,
                                                                std::function<void()> action)
        {
            if (slots_.at(name).incarnation == incarnation)
                schedule(name, after, std::move(action));
        });
    out.codec = proto::make_ledger_codec();
    out.mac = [](std::string_view secret, std::string_view text)
    { return core::stable_digest(std::string{secret} + "\n" + std::string{text}); };
    out.wall_clock = [this]
    {
        const auto ms = std::chrono::floor<milliseconds>(now().time_since_epoch()).count();
        return core::wall_time{wall_start + static_cast<std::uint64_t>(ms)};
    };
    out.send = [this, name](const std::string& address, const core::peer_envelope& it)
    { deliver(name, address, it); };
    out.router = make_router_hooks(name);
    out.router.wall_clock = out.wall_clock;
    out.state_changed = [this, name](const std::string& line) { note(name, "state: " + line); };
    return out;
}

void fake_world::note(const std::string& instance, const std::string& line)
{
    const auto ms = std::chrono::floor<milliseconds>(now().time_since_epoch()).count();
    trace(std::to_string(ms) + "ms " + instance + " " + line);
}

core::router_hooks fake_world::make_router_hooks(const std::string& name)
{
    core::router_hooks out;
    out.dispatch = [this, name](const core::attempt_start& it)
    {
        calls_.push_back({name, it, true});
        count_run(it.request, 1);
        const auto target = it.version.model.empty() ? std::string{} : " " + it.version.str();
        note(name, "dispatch " + it.request.str() + " to " + it.endpoint.id.str() + target);
    };
    out.cancel = [this, name](core::attempt_id id)
    {
        for (auto& it : calls_)
            if (it.instance == name && it.start.attempt == id && it.open)
            {
                it.open = false;
                note(name, "cancel " + it.start.request.str() + " at " + it.start.endpoint.id.str());
            }
    };
    out.begin = [this, name](const core::request_id& id, const core::answer_head& head)
    {
        auto& it = callers_[id];
        it.begun = true;
        it.head = head;
        note(name, "begin " + id.str() + " " + std::to_string(head.status) + " " +
                       std::string{to_string(head.outcome)} + (head.replayed ? " replayed" : ""));
    };
    out.forward = [this, name](const core::request_id& id, std::string bytes)
    {
        callers_[id].text += bytes;
        note(name, "forward " + id.str() + " " + in_quotes(bytes));
    };
    out.end = [this, name](const core::request_id& id, std::string tail)
    {
        auto& it = callers_[id];
        it.text += tail;
        it.ended = true;
        it.whole = true;
        note(name, "end " + id.str() + " " + in_quotes(tail));
    };
    out.refuse = [this, name](const core::request_id& id, const core::refusal& refusal)
    {
        auto& it = callers_[id];
        it.ended = true;
        it.refusal = refusal;
        const auto retry = refusal.why.retry_after
                               ? " retry after " + std::to_string(refusal.why.retry_after->count()) + "ms"
                               : std::string{};
        note(name, "refuse " + id.str() + " " + std::string{to_string(refusal.why.code)} + " " +
                       std::string{to_string(refusal.outcome)} + retry);
    };
    out.answered = [](const core::request_id&, const core::version_ref&, const std::string&) {};
    return out;
}

void fake_world::configure(const core::configuration& it)
{
    store.put_now(core::configuration_keeper::key_of("test"), print_configuration(it));
}

void fake_world::request(const std::string& instance, core::caller_request it)
{
    note(instance, "request " + it.id.str());
    callers_[it.id] = {};
    requests_[it.id] = it;
    const auto deliver_now = [this, instance, it] { at(instance).on_request(now(), it); };
    if (is_frozen(instance))
        slots_.at(instance).backlog.push_back(deliver_now);
    else
        deliver_now();
}

void fake_world::caller_leaves(const std::string& instance, const core::request_id& id)
{
    note(instance, "caller of " + id.str() + " leaves");
    at(instance).router().on_caller_left(now(), id);
}

std::string fake_world::work_of(const core::request_id& id) const
{
    const auto& it = requests_.at(id);
    return it.key ? it.account.str() + "/" + it.key->str() : id.str();
}

std::string fake_world::bill_of(const core::request_id& id) const
{
    return (requests_.at(id).key ? "k:" : "r:") + work_of(id);
}

void fake_world::count_run(const core::request_id& id, int n)
{
    runs_[work_of(id)] += n;
    runs_by_request_[id] += n;
}

std::vector<endpoint_call*> fake_world::open_calls()
{
    std::vector<endpoint_call*> out;
    for (auto& it : calls_)
        if (it.open && !is_frozen(it.instance))
            out.push_back(&it);
    return out;
}

endpoint_call* fake_world::open_call_of(const core::request_id& id)
{
    for (auto it = calls_.rbegin(); it != calls_.rend(); ++it)
        if (it->open && it->start.request == id)
            return &*it;
    return nullptr;
}

endpoint_call* fake_world::first_call_of(const core::request_id& id)
{
    const auto found =
        std::find_if(calls_.begin(), calls_.end(), [&](const auto& it) { return it.start.request == id; });
    return found == calls_.end() ? nullptr : &*found;
}

core::request_router* fake_world::router_of(const endpoint_call& it)
{
    auto& slot = slots_.at(it.instance);
    return slot.instance ? &slot.instance->router() : nullptr;
}

void fake_world::endpoint_head(endpoint_call& it)
{
    router_of(it)->on_head(now(), it.start.attempt, 200, "text/event-stream");
}

void fake_world::endpoint_bytes(endpoint_call& it, const std::string& text)
{
    router_of(it)->on_bytes(now(), it.start.attempt, text);
}

void fake_world::endpoint_answers(endpoint_call& it, const std::string& tail, int status)
{
    it.open = false;
    core::endpoint_answer answer;
    answer.status = status;
    answer.content_type = "application/json";
    answer.tail = tail;
    answer.usage = {core::token_count{100}, core::token_count{50}};
    router_of(it)->on_answered(now(), it.start.attempt, answer);
}

void fake_world::endpoint_refuses(endpoint_call& it)
{
    it.open = false;
    count_run(it.start.request, -1);
    router_of(it)->on_refused(now(), it.start.attempt);
}

void fake_world::endpoint_loses(endpoint_call& it, bool ran)
{
    it.open = false;
    if (!ran)
        count_run(it.start.request, -1);
    const core::failure why{core::errc::endpoint_lost, it.start.endpoint.id.str()};
    router_of(it)->on_lost(now(), it.start.attempt, {why, ran});
}

std::vector<core::ledger_entry> fake_world::ledger() const
{
    std::vector<core::ledger_entry> out;
    const auto codec = proto::make_ledger_codec();
    for (const auto& [key, value] : store.values())
    {
        if (!key.starts_with("ledger/") || key.find("checkpoint") != std::string::npos)
            continue;
        const auto segment = codec.decode_segment(value.data).value();
        out.insert(out.end(), segment.entries.begin(), segment.entries.end());
    }
    return out;
}

std::map<std::string, std::vector<core::ledger_entry>> fake_world::bills() const
{
    std::map<std::string, std::vector<core::ledger_entry>> out;
    for (const auto& it : ledger())
        if (it.kind == core::entry_kind::settle)
            out[it.bill.str()].push_back(it);
    return out;
}

} // namespace runlink::tests
