// Measures exposure to bad model versions: how many bad answers are served until a version is stopped, and
// how often a good version is stopped by mistake. Runs the version guards of seven instances on simulated
// time with simulated ratings; the instances exchange their rating counts every 500 ms.

#include <algorithm>
#include <functional>
#include <memory>
#include <queue>
#include <random>

#include <CLI/CLI.hpp>

#include "report.hpp"
#include "runlink/core/version_guard.hpp"

namespace
{

using namespace runlink;
using namespace runlink::bench;

constexpr int instances = 7;
constexpr double accepted_bad_rate = 0.05;
constexpr int requests_per_second = 20; ///< requests for the model in the whole deployment
constexpr double rollout_share = 0.5; ///< share of the requests that the roll-out directs to the new version
const core::version_ref version{core::model_id{"m"}, core::version_id{"v"}};

/// Decides whether a request goes to the new version, and takes ratings into account. `draw` is a random
/// number, uniform between 0 and 1.
struct policy
{
    std::function<bool(int instance, core::time_point now, double draw)> admits;
    std::function<void(int instance, core::time_point now)> started;
    std::function<void(int instance, bool good)> rated;
    std::function<void()> exchange_counts;
    std::function<bool()> stopped;
};

policy guard_policy()
{
    auto guards = std::make_shared<std::vector<std::unique_ptr<core::version_guard>>>();
    for (int n = 0; n < instances; ++n)
        guards->push_back(std::make_unique<core::version_guard>(core::guard_options{},
                                                                [] { return std::size_t{instances}; }));
    policy it;
    it.admits = [guards](int n, core::time_point now, double draw)
    { return draw < rollout_share && (*guards)[n]->admits(now, version, core::version_state::rolling_out); };
    it.started = [guards](int n, core::time_point now) { (*guards)[n]->started(now, version); };
    it.rated = [guards](int n, bool good) { (*guards)[n]->rated(version, good); };
    it.exchange_counts = [guards]
    {
        for (int a = 0; a < instances; ++a)
            for (int b = 0; b < instances; ++b)
                if (a != b)
                    (*guards)[a]->on_peer(core::incarnation_id{std::to_string(b)}, (*guards)[b]->counts());
    };
    it.stopped = [guards] {
        return std::all_of(guards->begin(), guards->end(),
                           [](const auto& e) { return e->is_stopped(version); });
    };
    return it;
}

/// Admits the share `canary_share` of the traffic until `ratings` ratings have arrived, then the whole
/// roll-out share. Stops the version when the share of bad ratings exceeds `threshold` after that.
policy canary_policy(double canary_share, int ratings, double threshold)
{
    struct state
    {
        int good = 0;
        int bad = 0;
        bool stopped = false;
    };
    auto s = std::make_shared<state>();
    policy it;
    it.admits = [s, canary_share, ratings](int, core::time_point, double draw)
    { return !s->stopped && draw < (s->good + s->bad < ratings ? canary_share : rollout_share); };
    it.started = [](int, core::time_point) {};
    it.rated = [s, ratings, threshold](int, bool good)
    {
        ++(good ? s->good : s->bad);
        const int n = s->good + s->bad;
        s->stopped = s->stopped || (n >= ratings && static_cast<double>(s->bad) / n > threshold);
    };
    it.exchange_counts = [] {};
    it.stopped = [s] { return s->stopped; };
    return it;
}

policy no_policy()
{
    policy it;
    it.admits = [](int, core::time_point, double draw) { return draw < rollout_share; };
    it.started = [](int, core::time_point) {};
    it.rated = [](int, bool) {};
    it.exchange_counts = [] {};
    it.stopped = [] { return false; };
    return it;
}

struct outcome
{
    int bad = 0; ///< bad answers served since the version turned bad
    int served = 0;
    double stopped_after_s = -1;
    double share_reached_s = -1; ///< time until 90 of 100 requests in the roll-out share are admitted
};

/// Simulates one roll-out until the version is stopped or `length` has passed. The rate of bad answers is
/// `accepted_bad_rate` before `bad_after` and `bad_rate` from then on. Ratings arrive after exponentially
/// distributed delays with the mean `rating_lag`.
outcome roll_out(const policy& tested_policy, double bad_rate, core::seconds rating_lag,
                 core::seconds bad_after, core::seconds length, std::uint64_t seed)
{
    struct rating
    {
        core::time_point at;
        int instance = 0;
        bool good = true;
        bool operator>(const rating& other) const { return at > other.at; }
    };
    std::mt19937_64 random{seed};
    std::uniform_real_distribution<double> draw{0, 1};
    std::exponential_distribution<double> lag{1.0};
    std::priority_queue<rating, std::vector<rating>, std::greater<>> ratings;
    outcome out;
    int wanted = 0;
    int admitted = 0;
    const auto step = core::duration{core::seconds{1}} / requests_per_second;
    core::time_point now{core::seconds{1}};
    const auto begin = now;
    for (int n = 0; now - begin < length; ++n, now += step)
    {
        if (n % (requests_per_second / 2) == 0)
            tested_policy.exchange_counts();
        for (; !ratings.empty() && ratings.top().at <= now; ratings.pop())
            tested_policy.rated(ratings.top().instance, ratings.top().good);
        if (tested_policy.stopped())
        {
            out.stopped_after_s = std::chrono::duration<double>(now - begin).count();
            return out;
        }
        const int instance = static_cast<int>(random() % instances);
        const double c = draw(random);
        const bool in_rollout_share = c < rollout_share;
        const bool is_admitted = tested_policy.admits(instance, now, c);
        wanted += in_rollout_share ? 1 : 0;
        admitted += is_admitted ? 1 : 0;
        if (wanted == 100)
        {
            if (admitted >= 90 && out.share_reached_s < 0)
                out.share_reached_s = std::chrono::duration<double>(now - begin).count();
            wanted = 0;
            admitted = 0;
        }
        if (!is_admitted)
            continue;
        tested_policy.started(instance, now);
        const bool bad = draw(random) < (now - begin >= bad_after ? bad_rate : accepted_bad_rate);
        ++out.served;
        out.bad += bad && now - begin >= bad_after ? 1 : 0;
        const auto delay = core::duration{
            static_cast<core::duration::rep>(lag(random) * 1e6 * static_cast<double>(rating_lag.count()))};
        ratings.push({now + delay, instance, !bad});
    }
    return out;
}

/// The median of the values; -1 if there are none.
double median(std::vector<double> values)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? -1 : values[values.size() / 2];
}

struct named_policy
{
    const char* name;
    std::function<policy()> make;
};

const std::vector<named_policy> policies{
    {"guard", guard_policy},
    {"canary 5 %, 100 ratings, over 10 %", [] { return canary_policy(0.05, 100, 0.10); }},
    {"no guard", no_policy},
};

void bad_versions(int seeds, const std::string& path)
{
    report out{
        {"version", "rating lag s", "policy", "bad served", "spread", "stopped after s", "never stopped"}};
    const struct
    {
        const char* name;
        double rate;
    } versions[] = {{"all bad", 1.0}, {"30 % worse", 0.35}, {"10 % worse", 0.15}, {"3 % worse", 0.08}};
    for (const auto& v : versions)
        for (const int lag : {2, 30})
            for (const auto& p : policies)
            {
                std::vector<double> bad;
                std::vector<double> stop_times_s;
                int never_stopped = 0;
                for (int s = 0; s < seeds; ++s)
                {
                    const auto it = roll_out(p.make(), v.rate, core::seconds{lag}, core::seconds{0},
                                             core::seconds{3600}, static_cast<std::uint64_t>(s));
                    bad.push_back(it.bad);
                    if (it.stopped_after_s < 0)
                        ++never_stopped;
                    else
                        stop_times_s.push_back(it.stopped_after_s);
                }
                const auto [low, high] = std::minmax_element(bad.begin(), bad.end());
                out.add_row(
                    {v.name, lag, p.name, median(bad),
                     std::to_string(static_cast<int>(*low)) + "-" + std::to_string(static_cast<int>(*high)),
                     median(stop_times_s), never_stopped});
            }
    out.finish("bad from the start, one hour, " + std::to_string(seeds) + " seeds", path);
}

void turning_bad(int seeds, const std::string& path)
{
    report out{{"version", "policy", "bad served", "stopped after s", "never stopped"}};
    for (const double rate : {1.0, 0.35, 0.15})
        for (const auto& p : policies)
        {
            std::vector<double> bad;
            std::vector<double> stop_times_s;
            int never_stopped = 0;
            for (int s = 0; s < seeds; ++s)
            {
                const auto it = roll_out(p.make(), rate, core::seconds{10}, core::seconds{1800},
                                         core::seconds{3600}, static_cast<std::uint64_t>(s));
                bad.push_back(it.bad);
                if (it.stopped_after_s < 0)
                    ++never_stopped;
                else
                    stop_times_s.push_back(it.stopped_after_s - 1800);
            }
            out.add_row({rate, p.name, median(bad), median(stop_times_s), never_stopped});
        }
    out.finish("turns bad after half an hour of good service", path);
}

void good_versions(int seeds, const std::string& path)
{
    report out{{"bad rate", "policy", "rated answers", "false stops", "a month", "share reached s"}};
    for (const double rate : {0.02, 0.05})
        for (const auto& p : policies)
        {
            double served = 0;
            int stops = 0;
            std::vector<double> share_times_s;
            for (int s = 0; s < seeds; ++s)
            {
                const auto it = roll_out(p.make(), rate, core::seconds{10}, core::seconds{0},
                                         core::seconds{6 * 3600}, 1000 + static_cast<std::uint64_t>(s));
                served += it.served;
                stops += it.stopped_after_s >= 0 ? 1 : 0;
                if (it.share_reached_s >= 0)
                    share_times_s.push_back(it.share_reached_s);
            }
            constexpr double hours_a_month = 720;
            out.add_row(
                {rate, p.name, served, stops, stops / (seeds * 6.0) * hours_a_month, median(share_times_s)});
        }
    out.finish("good versions, six hours each; 'a month' is for one version under this traffic all month",
               path);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"Measures exposure to bad model versions"};
    std::string path;
    int seeds = 30;
    cli.add_option("--json", path, "Append the results to this file");
    cli.add_option("--seeds", seeds, "Simulated roll-outs of each version and policy");
    CLI11_PARSE(cli, argc, argv);
    bad_versions(seeds, path);
    turning_bad(seeds, path);
    good_versions(seeds, path);
}
