// Drives many forwarders against modelled endpoints of a plain service, on a virtual clock.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <random>

#include "runlink/routing/request_forwarder.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

const service_id app{"app"};
constexpr milliseconds target{150};
constexpr milliseconds deadline{1000};
constexpr milliseconds network{1};
constexpr std::uint32_t slots = 6;
/// Requests that an endpoint keeps beyond its slots.
constexpr std::size_t queue_size = 6;

/// A day of load on a fleet.
struct day
{
    std::uint64_t seed = 1;
    load::load_switch plain_load = load::load_switch::on;
    int instances = 58;
    double usual_per_s = 86;
    double account_share = 0.9; ///< of the requests, by one client account
    double account_factor = 8;  ///< its rate against the usual one, from `busy_from` to `busy_to`
    milliseconds busy_from{2000};
    milliseconds busy_to{10'000};
    milliseconds length{12'000};
    milliseconds work{30};
    double updates_lost = 0;
    int tries = 3; ///< sends of a caller, who retries at once
};

/// What callers and endpoints observed.
struct result
{
    std::uint64_t arrivals = 0; ///< at endpoints
    std::uint64_t refused_arrivals = 0;
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t late = 0;
    std::uint64_t refused = 0;
    std::uint64_t messages = 0;
    std::uint64_t resent = 0;
    double idle_share = 0;       ///< of the slots' time while a request waits
    milliseconds longest_idle{}; ///< time for which an endpoint had an idle slot while a request waited
    std::map<int, std::uint64_t> arrivals_at;

    double refused_share() const { return part(refused_arrivals, arrivals); }
    double late_share() const { return part(late, served); }
    static double part(std::uint64_t of, std::uint64_t all)
    {
        return all == 0 ? 0 : static_cast<double>(of) / static_cast<double>(all);
    }
};

class fleet
{
public:
    explicit fleet(const day& of)
        : day_{of}, random_{of.seed}, instances_(static_cast<std::size_t>(of.instances))
    {
        for (int n = 0; n < of.instances; ++n)
            start(n);
    }

    void at(milliseconds when, std::function<void()> what) { later(when, std::move(what)); }
    /// The work of the endpoint takes `factor` times as long.
    void slow(int endpoint, double factor) { endpoints_[endpoint].slowness = factor; }
    /// The process of the instance ends; a new one takes its place.
    void restart(int n) { start(n); }
    /// The endpoint ends, and the store no longer lists it.
    void end(int endpoint)
    {
        auto& e = endpoints_[endpoint];
        e.is_gone = true;
        for (const auto& it : std::exchange(e.running, {}))
            lose(it, attempt_loss::broken);
        for (const auto& it : std::exchange(e.waiting, {}))
            lose(it, attempt_loss::broken);
        std::vector<endpoint_entry> left;
        for (int n = 0; n < endpoint_count; ++n)
            if (!endpoints_[n].is_gone)
                left.push_back(entry(n));
        for (auto& it : instances_)
            it.forwarder->on_endpoints(now_, left, {entry(endpoint).name});
    }

    result run()
    {
        const auto end = now_ + day_.length;
        double waiting_ms = 0;
        double idle = 0;
        std::map<int, milliseconds> idle_for;
        for (milliseconds t{0}; now_ < end; ++t)
        {
            now_ += milliseconds{1};
            while (!events_.empty() && events_.begin()->first <= now_)
            {
                const auto what = std::move(events_.begin()->second);
                events_.erase(events_.begin());
                what();
            }
            arrive(t >= day_.busy_from && t < day_.busy_to);
            bool waits = false;
            for (auto& it : instances_)
            {
                it.forwarder->proven_current(now_);
                it.forwarder->tick(now_);
                if (t.count() % 1000 == 0)
                    it.forwarder->keep_house(now_);
                waits = waits || it.forwarder->waiting_count() > 0;
            }
            waiting_ms += waits ? 1 : 0;
            for (auto& [n, e] : endpoints_)
            {
                const auto used = e.running.size();
                const bool is_idle = waits && !e.is_gone && used < slots;
                idle += is_idle ? static_cast<double>(slots - used) : 0;
                idle_for[n] = is_idle ? idle_for[n] + milliseconds{1} : milliseconds{0};
                out_.longest_idle = std::max(out_.longest_idle, idle_for[n]);
            }
        }
        out_.idle_share = waiting_ms > 0 ? idle / (waiting_ms * slots * endpoint_count) : 0;
        for (auto& it : instances_)
            out_.resent += it.forwarder->counters().repeats;
        return out_;
    }

private:
    static constexpr int endpoint_count = 3;
    struct call
    {
        time_point began{};
        int instance = 0;
        int tries = 0;
    };
    struct attempt
    {
        int instance = 0;
        int life = 0; ///< of the instance
        attempt_id id{};
        int endpoint = 0;
    };
    struct instance
    {
        std::unique_ptr<request_forwarder> forwarder;
        int life = 0;
    };
    struct endpoint
    {
        std::deque<attempt> running;
        std::deque<attempt> waiting;
        double slowness = 1;
        bool is_gone = false;
    };

    static endpoint_entry entry(int n)
    {
        endpoint_entry out;
        out.name = endpoint_name{"e" + std::to_string(n)};
        out.id = endpoint_id_of(out.name, {});
        out.service = app;
        out.version = version_id{"v1"};
        out.failure_domain = failure_domain_id{std::to_string(n)};
        out.slots = slots;
        return out;
    }

    static core::instance_id name(int n) { return core::instance_id{"i" + std::to_string(n)}; }

    static routing_table_ptr table()
    {
        route it;
        it.name = "pay";
        it.host = "h";
        it.path_prefix = "/";
        it.kind = route_kind::unsafe;
        it.timeout = deadline;
        it.target_latency = target;
        it.max_attempts = 3;
        it.services = {{app, 1}};
        routing::service s;
        s.id = app;
        return std::make_shared<const routing_table>(1, std::vector<route>{it}, std::vector{s},
                                                     std::vector<account>{}, caller_limits{});
    }

    void start(int n)
    {
        auto& it = instances_[static_cast<std::size_t>(n)];
        ++it.life;
        forwarder_options options;
        options.load.plain_load = day_.plain_load;
        options.chooser.rotation_start = static_cast<std::uint64_t>(n);
        it.forwarder = std::make_unique<request_forwarder>(
            options, failure_domain_id{std::to_string(n % endpoint_count)}, name(n), hooks(n, it.life));
        it.forwarder->apply(table());
        it.forwarder->proven_current(now_);
        for (int other = 0; other < day_.instances; ++other)
            it.forwarder->bounds().put_instance(now_, name(other),
                                                failure_domain_id{std::to_string(other % endpoint_count)});
        it.forwarder->bounds().settle(now_);
        it.forwarder->own_retry_share().on_listed(now_);
        for (int e = 0; e < endpoint_count; ++e)
            if (!endpoints_[e].is_gone)
                it.forwarder->on_endpoint(now_, entry(e));
    }

    forwarder_hooks hooks(int n, int life)
    {
        forwarder_hooks to;
        to.start = [this, n, life](const attempt_order& it)
        {
            const attempt a{n, life, it.id, std::stoi(it.endpoint.name.str().substr(1))};
            later(network, [this, a] { arrive_at_endpoint(a); });
        };
        to.cancel = [](attempt_id) {};
        to.ask = [](const endpoint_entry&) {};
        to.forward_answer = [this](flow_id it, attempt_id)
        {
            ++out_.served;
            out_.late += now_ - calls_.at(it).began > target ? 1 : 0;
            calls_.erase(it);
        };
        to.refuse = [this](flow_id it, const refusal& why) { refused(it, why); };
        to.announce_counts = [this, n](const std::vector<load::request_counts>& it) { announce(n, it); };
        to.log = [](const decision&) {};
        to.ended = [](const decision&, duration) {};
        return to;
    }

    void announce(int from, const std::vector<load::request_counts>& it)
    {
        ++out_.messages;
        // With the time between two messages, what is known is 60 to 300 ms old.
        const auto delay = milliseconds{5 + static_cast<int>(random_() % 170)};
        for (int n = 0; n < day_.instances; ++n)
            if (n != from && !happens(day_.updates_lost))
                later(delay, [this, n, from, it] { at_instance(n).on_peer_counts(now_, name(from), it); });
    }

    void arrive(bool is_busy)
    {
        constexpr double ms_per_s = 1000;
        const double account = day_.account_share * (is_busy ? day_.account_factor : 1);
        const double mean = day_.usual_per_s * (account + 1 - day_.account_share) / ms_per_s;
        for (auto n = std::poisson_distribution<>{mean}(random_); n > 0; --n)
        {
            ++out_.requests;
            issue({now_, static_cast<int>(random_() % static_cast<unsigned>(day_.instances)), 0});
        }
    }

    void issue(call it)
    {
        ++it.tries;
        const flow_id id{next_flow_++};
        inbound_request request;
        request.id = request_id{std::to_string(id.value())};
        request.host = "h";
        request.path = "/x";
        request.time_left = std::chrono::floor<milliseconds>(it.began + deadline - now_);
        request.content = crashes::content_hash{id.value()};
        calls_[id] = it;
        at_instance(it.instance).on_request(now_, id, request);
    }

    void refused(flow_id id, const refusal& why)
    {
        const auto it = calls_.at(id);
        calls_.erase(id);
        if (why.not_run && it.tries < day_.tries && now_ + network < it.began + deadline)
            later(network, [this, it] { issue(it); });
        else
            ++out_.refused;
    }

    void arrive_at_endpoint(const attempt& it)
    {
        auto& e = endpoints_[it.endpoint];
        if (!is_alive(it))
            return;
        if (e.is_gone)
            return lose(it, attempt_loss::not_sent);
        if (!at_instance(it.instance).may_write(now_, it.id))
            return lose(it, attempt_loss::withheld);
        at_instance(it.instance).on_sent(now_, it.id);
        ++out_.arrivals;
        ++out_.arrivals_at[it.endpoint];
        if (e.running.size() < slots)
            return run(it);
        if (e.waiting.size() < queue_size)
            return e.waiting.push_back(it);
        ++out_.refused_arrivals;
        later(network, [this, it] { answer(it, {503, true, false, false, {}}); });
    }

    void run(const attempt& it)
    {
        auto& e = endpoints_[it.endpoint];
        e.running.push_back(it);
        const auto time = std::chrono::duration_cast<duration>(day_.work * e.slowness);
        events_.emplace(now_ + time, [this, it] { finish(it); });
    }

    void finish(const attempt& it)
    {
        auto& e = endpoints_[it.endpoint];
        if (e.is_gone)
            return;
        std::erase_if(e.running, [&](const attempt& a)
                      { return a.instance == it.instance && a.life == it.life && a.id == it.id; });
        later(network, [this, it] { answer(it, {200, false, true, false, {}}); });
        if (e.waiting.empty())
            return;
        const auto next = e.waiting.front();
        e.waiting.pop_front();
        run(next);
    }

    void answer(const attempt& it, const attempt_head& head)
    {
        if (is_alive(it))
            at_instance(it.instance).on_answer(now_, it.id, head);
    }

    void lose(const attempt& it, attempt_loss why)
    {
        if (is_alive(it))
            at_instance(it.instance).on_lost(now_, it.id, why);
    }

    bool is_alive(const attempt& it) const
    {
        return instances_[static_cast<std::size_t>(it.instance)].life == it.life;
    }

    request_forwarder& at_instance(int n) { return *instances_[static_cast<std::size_t>(n)].forwarder; }
    bool happens(double part) { return std::uniform_real_distribution<>{0, 1}(random_) < part; }
    void later(milliseconds after, std::function<void()> what)
    {
        events_.emplace(now_ + after, std::move(what));
    }

    day day_;
    std::mt19937_64 random_;
    time_point now_{core::seconds{1000}};
    std::multimap<time_point, std::function<void()>> events_;
    std::map<int, endpoint> endpoints_;
    std::vector<instance> instances_;
    std::map<flow_id, call> calls_;
    std::uint64_t next_flow_ = 1;
    result out_;
};

std::string text_of(const result& it)
{
    char buf[300];
    std::snprintf(buf, sizeof buf,
                  "requests %lu served %lu (late %.3f) refused %lu; arrivals %lu (refused %.4f) resent %lu; "
                  "messages %lu; idle %.3f, longest %ld ms",
                  it.requests, it.served, it.late_share(), it.refused, it.arrivals, it.refused_share(),
                  it.resent, it.messages, it.idle_share, it.longest_idle.count());
    return buf;
}

} // namespace

TEST_CASE("a client account at 8 times its rate does not make endpoints refuse")
{
    // Guards against sends of all instances to full endpoints: without the part, more than half of the
    // arrivals at endpoints are refused.
    for (const std::uint64_t seed : {1, 2, 3})
    {
        day it;
        it.seed = seed;
        const auto out = fleet{it}.run();
        INFO(text_of(out));
        CHECK(out.refused_share() < 0.03);
        CHECK(out.late_share() < 0.08);
        // An update takes up to 300 ms, within which an instance cannot know of an idle slot.
        CHECK(out.longest_idle < milliseconds{300});
        it.plain_load = load::load_switch::off;
        CHECK(fleet{it}.run().refused_share() > 0.03);
    }
}

TEST_CASE("a fleet of 133 instances with 60 ms of work keeps to the capacity")
{
    // Guards against parts that are too large when each instance sends a request every few seconds.
    day it;
    it.instances = 133;
    it.work = milliseconds{60};
    it.account_share = 0.4;
    const auto out = fleet{it}.run();
    INFO(text_of(out));
    CHECK(out.refused_share() < 0.03);
    CHECK(out.late_share() < 0.08);
}

TEST_CASE("an endpoint that is slow for a second does not make the answers of the others late")
{
    // Guards against a share of the load that a slow endpoint cannot serve.
    day it;
    it.account_share = 0.6;
    fleet of{it};
    of.at(milliseconds{5000}, [&] { of.slow(1, 2.5); });
    of.at(milliseconds{6000}, [&] { of.slow(1, 1); });
    const auto out = of.run();
    INFO(text_of(out));
    CHECK(out.refused_share() < 0.03);
    CHECK(out.late_share() < 0.08);
}

TEST_CASE("instances killed with requests in flight do not hold room")
{
    // Guards against counts of ended instances that stay, and leave slots idle.
    day it;
    it.length = milliseconds{10'000};
    fleet of{it};
    for (int n = 0; n < 20; ++n)
        of.at(milliseconds{5000}, [&of, n] { of.restart(n); });
    const auto out = of.run();
    INFO(text_of(out));
    CHECK(out.refused_share() < 0.03);
    CHECK(out.late_share() < 0.08);
    CHECK(out.longest_idle < milliseconds{300});
}

TEST_CASE("lost updates do not let endpoints refuse more")
{
    // Guards against a division of the capacity that depends on each message, or on messages at all.
    for (const double lost : {0.3, 1.0})
    {
        day it;
        it.updates_lost = lost;
        const auto out = fleet{it}.run();
        INFO(lost << " lost: " << text_of(out));
        CHECK(out.refused_share() < 0.03);
        CHECK(out.late_share() < 0.08);
    }
}

TEST_CASE("the load of an endpoint that ends goes to the others")
{
    // Guards against room that is expected at an endpoint that is gone.
    day it;
    it.account_share = 0.6;
    fleet of{it};
    of.at(milliseconds{5000}, [&] { of.end(2); });
    const auto out = of.run();
    INFO(text_of(out));
    CHECK(out.refused_share() < 0.03);
    CHECK(out.late_share() < 0.08);
}

TEST_CASE("a calm fleet sends no message and decides as before")
{
    // Guards against messages without need, and against a changed choice where there is no load.
    day it;
    it.account_factor = 1;
    const auto with = fleet{it}.run();
    it.plain_load = load::load_switch::off;
    const auto without = fleet{it}.run();
    CHECK(with.messages == 0);
    CHECK(with.arrivals_at == without.arrivals_at);
    CHECK(with.served == without.served);
    CHECK(with.late == without.late);
}
