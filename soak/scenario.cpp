#include "soak/scenario.hpp"

#include <algorithm>
#include <set>

#include <QEventLoop>
#include <QTimer>

#include "runlink/core/hash.hpp"

namespace runlink::soak
{
namespace
{

constexpr int long_callers_per_instance = 6;
constexpr milliseconds long_deadline{15000}; ///< a long stream takes two thirds of this, pauses included
constexpr milliseconds harmful_pause{40};
constexpr milliseconds harmful_deadline{2500};
constexpr milliseconds harmful_begin{2000};
/// Leaves time to see how streams are served before.
constexpr milliseconds harmful_parts_begin{5000};
constexpr milliseconds failing_begin{2000};
constexpr milliseconds kill_interval{1500};
constexpr int first_parts = 3;
constexpr int middle_parts = 10;
constexpr milliseconds probe_interval{100};  ///< between readiness requests
constexpr milliseconds start_patience{8000}; ///< a busy machine starts processes slowly
/// An instance is taken to have read a request if it was sent more than this before the connection closed.
constexpr milliseconds read_slack{200};
/// Time from when a caller closes its connection to the check that its request no longer runs.
constexpr milliseconds closed_call_check_delay{1000};
constexpr milliseconds deadline_slack{
    100}; ///< an instance may reach the deadline this much earlier than the caller

} // namespace

scenario::scenario(scenario_options options, fleet& on, promise_checker& checker)
    : options_{options}, fleet_{on}, checker_{checker}, random_{options.seed}, began_{now()}
{
    if (options_.pauses)
        keys_ = std::make_unique<key_rotation>(fleet_, checker_);
    if (options_.has_statements)
        statements_ = std::make_unique<statement_series>(fleet_, options.seed);
    if (options_.cuts_off)
        cut_offs_ = std::make_unique<cut_series>(fleet_, checker_, options.seed);
}

void scenario::note(const std::string& what)
{
    const auto at = std::chrono::duration_cast<milliseconds>(now() - began_);
    event_log_.push_back(std::to_string(at.count()) + " ms: " + what);
}

void scenario::schedule(milliseconds after, std::function<void()> what)
{
    QTimer::singleShot(after, &context_, std::move(what));
}

void scenario::wait(milliseconds it)
{
    QEventLoop loop;
    QTimer::singleShot(it, &loop, [&loop] { loop.quit(); });
    loop.exec();
}

void scenario::wait_until_ready(milliseconds patience, const std::string& else_fault)
{
    const auto end = now() + patience;
    // Shared with readiness requests that may complete after this function returns.
    const auto ready = std::make_shared<std::set<int>>();
    while (ready->size() < fleet_.instances().size())
    {
        if (now() > end)
            return checker_.fail(else_fault);
        for (const auto& it : fleet_.instances())
            if (!ready->contains(it.number))
                fleet_.ask_readiness(it.number,
                                     [ready, n = it.number](bool is_ready)
                                     {
                                         if (is_ready)
                                             ready->insert(n);
                                     });
        wait(probe_interval);
    }
}

void scenario::run()
{
    wait_until_ready(start_patience, "start: not all instances became ready");
    note("all instances are ready");
    begin_load();
    if (options_.rolls_out)
        start_trial();
    if (options_.pauses)
        keys_->begin([this](const std::string& key) { note("key of the series removed: " + key); });
    if (statements_)
        statements_->begin([this](const std::string& what) { note(what); });
    if (cut_offs_)
        cut_offs_->begin([this](const std::string& what) { note(what); });
    if (options_.checks_retries)
        begin_failing();
    const auto end = now() + options_.length;
    while (now() < end)
    {
        wait(pick_time(100, 1500));
        if (options_.is_quiet)
            continue;
        inject_fault();
        if (pick(4) == 0)
            inject_fault(); // a second fault at the same time
    }
    wait(milliseconds{max_fault_ms});
    note("the last fault is over");
    wait_until_ready(options_.recovery, "recovery: not all instances became ready after the last fault");
    const auto served = checker_.served_count();
    wait(milliseconds{2000});
    if (checker_.served_count() == served)
        checker_.fail("recovery: no request is served after the last fault");
    is_loading_ = false;
    checker_.finish(now());
    const auto& said = checker_.statements();
    if (cut_offs_ && checker_.reach().counted() == 0)
        checker_.fail("cut off: no observations");
    if (statements_ && said.limited() + said.rests() + said.leaving() == 0)
        checker_.fail("statements: no observations");
    if (trial_)
        trial_->finish();
}

void scenario::start_trial()
{
    rollout_began_ = true;
    trial_ = std::make_unique<rollout_trial>(fleet_, checker_, options_.seed);
    note("a version is rolled out: " + trial_->name());
}

// Load

void scenario::begin_load()
{
    is_loading_ = true;
    for (const auto& it : fleet_.instances())
        for (int n = 0; n < options_.callers_per_instance; ++n)
        {
            callers_.push_back(std::make_unique<caller>(it.caller_port));
            start_call(callers_.size() - 1);
        }
    if (options_.pauses)
    {
        checker_.cuts().watch(now(), fleet_.options().instances);
        for (const auto& it : fleet_.instances())
            for (int n = 0; n < long_callers_per_instance; ++n)
            {
                long_callers_.push_back(std::make_unique<caller>(it.caller_port));
                start_long_call(long_callers_.size() - 1);
            }
    }
    const auto harmful = options_.harmful_callers + options_.harmful_part_callers;
    harmful_callers_.resize(static_cast<std::size_t>(harmful));
    if (options_.harmful_part_callers > 0)
        checker_.harmful_by_part();
    for (int n = 0; n < harmful; ++n)
        schedule(n < options_.harmful_callers ? harmful_begin : harmful_parts_begin,
                 [this, n] { start_harmful_call(n); });
}

void scenario::start_call(std::size_t n)
{
    if (!is_loading_)
        return;
    const auto instance = static_cast<int>(n) / options_.callers_per_instance;
    const auto kind = static_cast<request_kind>(pick(3));
    call it;
    it.id = "r" + std::to_string(next_request_++);
    it.path = (kind == request_kind::safe   ? "/look/"
               : kind == request_kind::once ? "/pay/"
                                            : "/llm/") +
              it.id;
    it.key = pick(2) == 0 ? "key-a" : "key-b";
    it.picks_model = kind == request_kind::stream;
    if (options_.harmful_part_callers > 0 && it.picks_model)
        it.prompt = prompt_of(it.id, "c" + std::to_string(pick(middle_parts)));
    it.deadline = pick_time(600, 3000);
    if (pick(12) == 0)
        it.close_after = pick_time(5, 60);
    send(*callers_[n], it, instance, kind, [this, n] { start_call(n); });
}

void scenario::start_long_call(std::size_t n)
{
    if (!is_loading_)
        return;
    call it;
    it.id = standins::served_endpoint::long_prefix + std::to_string(next_request_++);
    it.path = "/llm/" + it.id;
    it.key = keys_->pick(static_cast<std::size_t>(random_()));
    it.picks_model = true;
    it.deadline = long_deadline;
    send(*long_callers_[n], it, static_cast<int>(n) / long_callers_per_instance, request_kind::stream,
         [this, n] { start_long_call(n); });
}

void scenario::send(caller& by, const call& it, int instance, request_kind kind, std::function<void()> then)
{
    const auto sent_at = now();
    checker_.sent(sent_at, it.id, kind, it.key, instance);
    by.start(it,
             [this, it, instance, sent_at, then = std::move(then)](const caller_outcome& outcome)
             {
                 on_outcome(it, instance, sent_at, outcome);
                 schedule(options_.call_pause, then);
             });
}

void scenario::begin_failing()
{
    checker_.watch_retries({core::seconds{10}, fleet_.options().retry_ratio, fleet_.options().retry_slack});
    schedule(failing_begin,
             [this]
             {
                 for (const auto& it : fleet_.endpoints())
                     if (it->server.service() == "pool")
                         it->server.answers = standins::served_endpoint::mode::lose;
                 kill_most();
             });
    schedule(options_.length,
             [this]
             {
                 for (const auto& it : fleet_.endpoints())
                     it->server.answers = standins::served_endpoint::mode::normal;
             });
}

void scenario::kill_most()
{
    if (now() - began_ > options_.length)
        return;
    note("most instances are killed");
    constexpr int spared = 10; // one in so many
    for (const auto& it : fleet_.instances())
        if (pick(spared) != 0)
            kill_instance(it.number);
    schedule(kill_interval, [this] { kill_most(); });
}

std::string scenario::prompt_of(const std::string& id, const std::string& middle)
{
    const auto own = std::to_string(core::stable_hash(id));
    return "f" + std::to_string(pick(first_parts)) + ":40," + middle + ":30," + own + ":10";
}

void scenario::start_harmful_call(int n)
{
    if (!is_loading_)
        return;
    const auto instance = pick_instance();
    auto& to = harmful_callers_.at(static_cast<std::size_t>(n));
    to = std::make_unique<caller>(fleet_.instances().at(static_cast<std::size_t>(instance)).caller_port);
    call it;
    it.id = "h" + std::to_string(next_request_++);
    const bool is_by_part = n >= options_.harmful_callers;
    it.path = "/llm/" + (is_by_part ? it.id : standins::served_endpoint::harmful_text);
    it.key = "key-a";
    it.body = is_by_part ? "" : "the same each time";
    if (is_by_part)
        it.prompt = prompt_of(it.id, standins::served_endpoint::harmful_part);
    it.picks_model = true;
    it.deadline = harmful_deadline;
    checker_.sent(now(), it.id, request_kind::stream, it.key, instance);
    checker_.harmful(it.id);
    to->start(it,
              [this, n, id = it.id](const caller_outcome& outcome)
              {
                  checker_.ended(id, outcome);
                  schedule(harmful_pause, [this, n] { start_harmful_call(n); });
              });
}

void scenario::on_outcome(const call& of, int instance, time_point sent_at, const caller_outcome& it)
{
    checker_.ended(of.id, it);
    checker_.check_reach(sent_at, instance, it);
    if (it.caller_closed)
        schedule(closed_call_check_delay, [this, id = of.id] { checker_.check_left(now(), id); });
    const auto allowed = std::min(of.deadline, fleet_.options().stream_timeout);
    if (options_.pauses && checker_.check_cut(now(), of.id, it, allowed))
    {
        note(of.id + " was cut at i" + std::to_string(instance));
        if (options_.only_planned)
            checker_.fail("cut: " + of.path + " in the middle of its response at i" +
                          std::to_string(instance) + " while its endpoint was working on it");
    }
    const auto took = now() - sent_at;
    const bool was_read = took > read_slack;
    const bool had_time = took < of.deadline - deadline_slack;
    if (options_.only_planned && !it.caller_closed && !it.is_whole && was_read && had_time)
        checker_.fail("lost: " + of.path + " was cut at i" + std::to_string(instance) +
                      " during planned work only");
}

} // namespace runlink::soak
