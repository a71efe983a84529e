// Compares endpoint selection policies by the time to the first token: at several loads, with slow endpoints
// and with the loss of a failure domain. The simulation runs the selectors of seven instances against
// simulated endpoints, each of which has a fixed number of slots and a queue.

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>

#include <CLI/CLI.hpp>

#include "report.hpp"
#include "runlink/core/endpoint_selector.hpp"

namespace
{

using namespace runlink;
using namespace runlink::bench;

constexpr int instances = 7;
constexpr int endpoints = 20;
constexpr int slots_per_endpoint = 8;
constexpr double mean_service_s = 1.0;
constexpr double prefill_s = 0.08;
constexpr double quick_share = 0.2;
constexpr double quick_service_s = 0.05;
constexpr double poll_interval_s = 0.1; ///< interval at which instances retry their waiting requests
constexpr double warm_up_s = 20;
constexpr double simulation_length_s = 140;

struct scenario
{
    const char* name;
    double load;
    int slow_endpoints = 0; ///< number of endpoints that run at a quarter of the normal speed
    /// Every third endpoint refuses connections in the second half of the measured time.
    bool domain_lost = false;
};

struct job
{
    double arrived = 0;
    double service = 0;
    bool quick = false;
    int instance = 0;
    int endpoint = -1;
};
using job_ptr = std::shared_ptr<job>;

/// A selection policy. `pick` returns the index of an endpoint, or -1 if the job has to wait; the other
/// functions inform the policy of the job's progress. Times are in seconds since the start of the simulation.
struct selection_policy
{
    std::function<int(double now, const job&)> pick;
    std::function<void(const job&)> started;
    std::function<void(double now, const job&, core::attempt_result)> finished;
    std::function<void(double now, const job&)> first_token;
};

core::time_point time_at(double s)
{
    return core::time_point{core::duration{static_cast<core::duration::rep>(s * 1e6)}};
}

core::configuration_ptr make_configuration()
{
    core::configuration it;
    core::pool_settings pool;
    pool.id = core::pool_id{"p"};
    for (int n = 0; n < endpoints; ++n)
    {
        core::endpoint_settings e;
        e.id = core::endpoint_id{std::to_string(n)};
        e.capacity = slots_per_endpoint;
        pool.endpoints.push_back(e);
    }
    it.pools.push_back(pool);
    return std::make_shared<const core::configuration>(it);
}

core::selector_options make_selector_options()
{
    core::selector_options it;
    it.instances = instances;
    return it;
}

selection_policy runlink_policy(std::uint64_t seed)
{
    struct state
    {
        std::mt19937_64 random;
        std::vector<std::unique_ptr<core::endpoint_selector>> selectors;
    };
    auto s = std::make_shared<state>();
    s->random.seed(seed);
    const auto configuration = make_configuration();
    for (int n = 0; n < instances; ++n)
    {
        s->selectors.push_back(std::make_unique<core::endpoint_selector>(
            make_selector_options(), [](const core::endpoint_id&) { return false; }, s->random));
        s->selectors.back()->apply(configuration);
    }
    const auto id = [](int n) { return core::endpoint_id{std::to_string(n)}; };
    selection_policy it;
    it.pick = [s](double now, const job& j)
    {
        core::endpoint_demand demand;
        demand.pool = core::pool_id{"p"};
        demand.quick = j.quick;
        const auto* e = s->selectors[j.instance]->pick(time_at(now), demand);
        return e == nullptr ? -1 : std::stoi(e->id.str());
    };
    it.started = [s, id](const job& j) { s->selectors[j.instance]->started(id(j.endpoint)); };
    it.finished = [s, id](double now, const job& j, core::attempt_result r)
    { s->selectors[j.instance]->finished(time_at(now), id(j.endpoint), r); };
    it.first_token = [s, id](double now, const job& j)
    {
        if (!j.quick)
            s->selectors[j.instance]->first_byte(
                id(j.endpoint), core::duration{static_cast<core::duration::rep>((now - j.arrived) * 1e6)});
    };
    return it;
}

selection_policy round_robin_policy(std::uint64_t)
{
    auto next = std::make_shared<std::vector<int>>(instances);
    for (int n = 0; n < instances; ++n)
        (*next)[n] = n * endpoints / instances;
    selection_policy it;
    it.pick = [next](double, const job& j) { return (*next)[j.instance]++ % endpoints; };
    it.started = [](const job&) {};
    it.finished = [](double, const job&, core::attempt_result) {};
    it.first_token = [](double, const job&) {};
    return it;
}

selection_policy least_in_flight_policy(std::uint64_t seed)
{
    struct state
    {
        std::mt19937_64 random;
        std::vector<std::vector<int>> in_flight =
            std::vector<std::vector<int>>(instances, std::vector<int>(endpoints));
    };
    auto s = std::make_shared<state>();
    s->random.seed(seed);
    selection_policy it;
    it.pick = [s](double, const job& j)
    {
        const auto& in_flight = s->in_flight[j.instance];
        const int lowest = *std::min_element(in_flight.begin(), in_flight.end());
        std::vector<int> candidates;
        for (int n = 0; n < endpoints; ++n)
            if (in_flight[n] == lowest)
                candidates.push_back(n);
        return candidates[s->random() % candidates.size()];
    };
    it.started = [s](const job& j) { ++s->in_flight[j.instance][j.endpoint]; };
    it.finished = [s](double, const job& j, core::attempt_result) { --s->in_flight[j.instance][j.endpoint]; };
    it.first_token = [](double, const job&) {};
    return it;
}

/// Times from arrival to the first token, in seconds.
struct result
{
    std::vector<double> first_token;
    std::vector<double> quick;
};

/// Simulates open-loop arrivals at seven instances. A job for which the policy picks no endpoint waits at its
/// instance in first-in, first-out order; quick jobs wait in a separate queue that is served first.
class simulation
{
public:
    simulation(const scenario& s, selection_policy policy, std::uint64_t seed)
        : scenario_{s}, policy_{std::move(policy)}, random_{seed}
    {
        for (int n = 0; n < s.slow_endpoints; ++n)
            relative_speed_[n] = 0.25;
    }

    result run()
    {
        const double mean = (1 - quick_share) * mean_service_s + quick_share * quick_service_s;
        const double rate = scenario_.load * endpoints * slots_per_endpoint / mean;
        schedule_arrival(rate);
        schedule(poll_interval_s, [this] { poll(); });
        while (!events_.empty() && events_.begin()->first < simulation_length_s)
        {
            now_ = events_.begin()->first;
            const auto action = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            action();
        }
        return std::move(out_);
    }

private:
    struct server
    {
        int running = 0;
        std::deque<job_ptr> queue;
    };

    void schedule(double after, std::function<void()> action)
    {
        events_.emplace(now_ + after, std::move(action));
    }
    double exponential(double mean) { return std::exponential_distribution<double>{1 / mean}(random_); }
    bool is_lost(int e) const
    {
        return scenario_.domain_lost && e % 3 == 0 && now_ > (warm_up_s + simulation_length_s) / 2;
    }

    void schedule_arrival(double rate)
    {
        schedule(exponential(1 / rate),
                 [this, rate]
                 {
                     auto it = std::make_shared<job>();
                     it->arrived = now_;
                     it->quick = std::uniform_real_distribution<double>{}(random_) < quick_share;
                     it->service = it->quick ? quick_service_s : exponential(mean_service_s);
                     it->instance = static_cast<int>(random_() % instances);
                     dispatch(it);
                     schedule_arrival(rate);
                 });
    }

    void dispatch(const job_ptr& it)
    {
        it->endpoint = policy_.pick(now_, *it);
        if (it->endpoint < 0)
            return (it->quick ? quick_waiting_ : waiting_)[it->instance].push_back(it);
        policy_.started(*it);
        if (is_lost(it->endpoint))
            return schedule(0.005,
                            [this, it]
                            {
                                policy_.finished(now_, *it, core::attempt_result::lost);
                                dispatch(it);
                            });
        servers_[it->endpoint].queue.push_back(it);
        serve(it->endpoint);
    }

    void serve(int e)
    {
        auto& s = servers_[e];
        while (s.running < slots_per_endpoint && !s.queue.empty())
        {
            const auto it = s.queue.front();
            s.queue.pop_front();
            ++s.running;
            const double prefill = (it->quick ? 0.005 : prefill_s) / relative_speed_[e];
            schedule(prefill,
                     [this, it]
                     {
                         policy_.first_token(now_, *it);
                         if (it->arrived > warm_up_s)
                             (it->quick ? out_.quick : out_.first_token).push_back(now_ - it->arrived);
                     });
            schedule(std::max(prefill, it->service / relative_speed_[e]),
                     [this, it, e]
                     {
                         --servers_[e].running;
                         policy_.finished(now_, *it, core::attempt_result::answered);
                         serve(e);
                         dispatch_waiting(it->instance);
                     });
        }
    }

    void dispatch_waiting(int instance)
    {
        for (auto* all : {&quick_waiting_, &waiting_})
        {
            auto& queue = (*all)[instance];
            while (!queue.empty())
            {
                const auto it = queue.front();
                const int e = policy_.pick(now_, *it);
                if (e < 0)
                    break;
                queue.pop_front();
                dispatch(it);
            }
        }
    }

    void poll()
    {
        for (int n = 0; n < instances; ++n)
            dispatch_waiting(n);
        schedule(poll_interval_s, [this] { poll(); });
    }

    scenario scenario_;
    selection_policy policy_;
    std::mt19937_64 random_;
    double now_ = 0;
    std::multimap<double, std::function<void()>> events_;
    std::vector<server> servers_ = std::vector<server>(endpoints);
    std::vector<double> relative_speed_ = std::vector<double>(endpoints, 1.0);
    std::map<int, std::deque<job_ptr>> waiting_;
    std::map<int, std::deque<job_ptr>> quick_waiting_;
    result out_;
};

/// The percentile `p` (0 to 1) of times in seconds, converted to milliseconds; -1 if there are none.
double percentile(std::vector<double>& it, double p)
{
    if (it.empty())
        return -1;
    const auto n = static_cast<std::size_t>(p * static_cast<double>(it.size() - 1));
    std::nth_element(it.begin(), it.begin() + static_cast<std::ptrdiff_t>(n), it.end());
    return it[n] * 1000;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"Compares endpoint selection policies"};
    std::string path;
    int seeds = 5;
    cli.add_option("--json", path, "Append the results to this file");
    cli.add_option("--seeds", seeds, "Runs of each scenario and policy; the table shows their medians");
    CLI11_PARSE(cli, argc, argv);
    const scenario scenarios[] = {{"50 %", 0.5},
                                  {"80 %", 0.8},
                                  {"95 %", 0.95},
                                  {"120 %", 1.2},
                                  {"60 %, two slow", 0.6, 2},
                                  {"60 %, a third lost", 0.6, 0, true}};
    const struct
    {
        const char* name;
        std::function<selection_policy(std::uint64_t)> make;
    } policies[] = {{"runlink", runlink_policy},
                    {"least in flight", least_in_flight_policy},
                    {"round robin", round_robin_policy}};
    report out{{"load", "policy", "first token p50 ms", "p95", "p99", "quick p50 ms", "p95", "p99 spread"}};
    for (const auto& s : scenarios)
        for (const auto& policy : policies)
        {
            std::vector<std::vector<double>> columns(6);
            for (int seed = 0; seed < seeds; ++seed)
            {
                auto r = simulation{s, policy.make(static_cast<std::uint64_t>(seed)),
                                    static_cast<std::uint64_t>(seed)}
                             .run();
                const double cells[] = {percentile(r.first_token, 0.5),  percentile(r.first_token, 0.95),
                                        percentile(r.first_token, 0.99), percentile(r.quick, 0.5),
                                        percentile(r.quick, 0.95),       percentile(r.quick, 0.99)};
                for (std::size_t n = 0; n < columns.size(); ++n)
                    columns[n].push_back(cells[n]);
            }
            for (auto& it : columns)
                std::sort(it.begin(), it.end());
            const auto median = [&](std::size_t n) { return columns[n][columns[n].size() / 2]; };
            const auto spread = std::to_string(static_cast<int>(columns[5].front())) + "-" +
                                std::to_string(static_cast<int>(columns[5].back()));
            out.add_row({s.name, policy.name, median(0), median(1), median(2), median(3), median(4), spread});
        }
    out.finish("20 endpoints of 8 slots, 7 instances, " + std::to_string(seeds) + " seeds", path);
}
