// The faults of a scenario.

#include "soak/scenario.hpp"

#include <csignal>

#include "operator_documents.hpp"

namespace runlink::soak
{
namespace
{

constexpr int min_fault_ms = 400;
/// A shorter roll-out sends no requests to the new version; a longer one does not fit into a run.
constexpr double rollout_s = 12;

} // namespace

std::vector<scenario::fault> scenario::make_faults()
{
    return {{"SIGTERM", true, [this] { stop_instance(); }},
            {"SIGHUP", true, [this] { reload_instance(); }},
            {"endpoint drains", true, [this] { drain_endpoint(); }},
            {"key removed", true, [this] { remove_key(); }},
            {"SIGKILL", false, [this] { kill_instance(pick_instance()); }},
            {"pause", false, [this] { pause_instance(); }},
            {"way to the store", false, [this] { break_store_link(); }},
            {"store", false, [this] { break_store(); }},
            {"way to an endpoint", false, [this] { break_endpoint_link(); }},
            {"resets", false, [this] { reset_endpoint_links(); }},
            {"endpoint misbehaves", false, [this] { misbehave_endpoint(); }},
            {"history gone", false, [this] { forget_history(); }},
            {"bad version", false, [this] { roll_out_bad_version(); }},
            {"suspension", false, [this] { suspend_instance(); }}};
}

void scenario::inject_fault()
{
    auto all = make_faults();
    if (options_.has_copies)
        all.push_back({"store returns from a copy", false, [this] { return_store_from_copy(); }});
    if (options_.only_planned)
        std::erase_if(all, [](const auto& it) { return !it.is_planned; });
    const auto& it = all[static_cast<std::size_t>(pick(static_cast<int>(all.size())))];
    note(it.name);
    it.inject();
}

void scenario::record_disturbance(milliseconds time, std::optional<int> instance)
{
    checker_.disturbed(now() + time, instance);
    checker_.cuts().add_disturbance(now(), now() + time, instance);
}

void scenario::stop_instance()
{
    const auto n = pick_instance();
    // A paused process handles the signal when it continues.
    fleet_.signal_instance(n, SIGTERM);
    checker_.disturbed(now() + fleet_.options().stop_grace, n);
}

void scenario::kill_instance(int n)
{
    fleet_.signal_instance(n, SIGKILL);
    record_disturbance(milliseconds{1000}, n);
}

void scenario::pause_instance()
{
    const auto n = pick_instance();
    const auto time = pick_time(min_fault_ms, 2 * max_fault_ms / 3);
    fleet_.signal_instance(n, SIGSTOP);
    record_disturbance(time, n);
    schedule(time, [this, n] { fleet_.signal_instance(n, SIGCONT); });
}

void scenario::suspend_instance()
{
    if (!options_.suspends)
        return pause_instance();
    const auto n = pick_instance();
    const auto time = pick_time(min_fault_ms, 2 * max_fault_ms);
    fleet_.signal_instance(n, SIGSTOP);
    record_disturbance(time, n);
    schedule(time, [this, n, time] { fleet_.resume_instance(n, time); });
}

void scenario::reload_instance()
{
    fleet_.signal_instance(pick_instance(), SIGHUP);
}

void scenario::break_store_link()
{
    constexpr link_fault faults[] = {link_fault::refuse, link_fault::silent, link_fault::cut_answers,
                                     link_fault::delay};
    const auto n = pick_instance();
    auto& proxy = *fleet_.instances().at(static_cast<std::size_t>(n)).store;
    const auto time = pick_time(min_fault_ms, max_fault_ms);
    proxy.set_fault(faults[pick(4)]);
    record_disturbance(time, n);
    schedule(time, [&proxy] { proxy.set_fault(link_fault::none); });
}

void scenario::break_store()
{
    using mode = standins::kv_standin::mode;
    constexpr mode modes[] = {mode::silent, mode::refuse, mode::lose_answers};
    const auto time = pick_time(min_fault_ms, max_fault_ms);
    fleet_.store().answers = modes[pick(3)];
    record_disturbance(time, std::nullopt);
    schedule(time, [this] { fleet_.store().answers = mode::normal; });
}

proxied_endpoint& scenario::pick_endpoint()
{
    return *fleet_.endpoints()[static_cast<std::size_t>(pick(static_cast<int>(fleet_.endpoints().size())))];
}

void scenario::break_endpoint_link()
{
    constexpr link_fault faults[] = {link_fault::refuse, link_fault::silent, link_fault::cut_answers,
                                     link_fault::delay};
    auto& it = pick_endpoint();
    const auto time = pick_time(min_fault_ms, max_fault_ms);
    it.proxy.set_fault(faults[pick(4)]);
    checker_.disturbed(now() + time, std::nullopt); // a close may arrive late over a faulty connection
    schedule(time, [&it] { it.proxy.set_fault(link_fault::none); });
}

void scenario::reset_endpoint_links()
{
    pick_endpoint().proxy.reset_all();
}

void scenario::misbehave_endpoint()
{
    using mode = standins::served_endpoint::mode;
    constexpr mode modes[] = {mode::refuse, mode::fail, mode::lose, mode::hang};
    auto& it = pick_endpoint().server;
    it.answers = modes[pick(4)];
    schedule(pick_time(min_fault_ms, max_fault_ms), [&it] { it.answers = mode::normal; });
}

void scenario::drain_endpoint()
{
    std::vector<proxied_endpoint*> ready;
    for (const auto& it : fleet_.endpoints())
        if (!it->leaving && it->server.version() == "v1")
            ready.push_back(it.get());
    auto& it = *ready[static_cast<std::size_t>(pick(static_cast<int>(ready.size())))];
    fleet_.add_endpoint(it.server.service(), "v1"); // adds the replacement first
    fleet_.set_leaving(it);
}

void scenario::remove_key()
{
    if (key_b_removed_)
        return;
    key_b_removed_ = true;
    auto keys = fleet_.keys();
    std::erase(keys, "key-b");
    fleet_.write_configuration(std::move(keys));
    checker_.key_removed(now(), "key-b");
}

void scenario::forget_history()
{
    checker_.cuts().add_disturbance(now(), now(), std::nullopt);
    fleet_.store().forget_history();
}

void scenario::return_store_from_copy()
{
    using mode = standins::kv_standin::mode;
    const auto copy = std::make_shared<standins::kv_standin::snapshot>(fleet_.store().take_snapshot());
    const auto age = pick_time(min_fault_ms, max_fault_ms);
    const auto away = pick_time(min_fault_ms, max_fault_ms);
    schedule(age,
             [this, copy, away]
             {
                 fleet_.store().answers = mode::silent;
                 record_disturbance(away, std::nullopt);
                 schedule(away,
                          [this, copy]
                          {
                              fleet_.return_store_from(*copy);
                              fleet_.store().answers = mode::normal;
                              note("the store is back from a copy");
                          });
             });
}

void scenario::roll_out_bad_version()
{
    if (rollout_began_)
        return;
    rollout_began_ = true;
    const auto from = fleet_.endpoints().size();
    for (int n = 0; n < fleet_.options().engines; ++n)
        fleet_.add_endpoint("pool", "v2");
    for (std::size_t n = from; n < fleet_.endpoints().size(); ++n)
        fleet_.endpoints()[n]->server.answers = standins::served_endpoint::mode::fail;
    constexpr double ms_per_s = 1000;
    checker_.bad_version(now(), now() + milliseconds{static_cast<int>(rollout_s * ms_per_s)}, "v2");
    fleet_.store().put(standins::rollout_key, standins::make_rollout("v2", rollout_s));
}

} // namespace runlink::soak
