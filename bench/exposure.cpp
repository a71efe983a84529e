// Exposure to bad versions: answers served until a bad version is stopped, and good versions stopped by
// mistake. Drives the real guard on a paused clock against a fake rating service. Seven instances, evidence
// pooled every 500 ms.

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
constexpr double accepted_bad = 0.05;
constexpr int requests_per_second = 20; ///< of the model, in the whole deployment
constexpr double share = 0.5;           ///< of the roll-out
const core::version_ref version{core::model_id{"m"}, core::version_id{"v"}};

/// What decides whether a request goes to the young version, and learns from ratings.
struct policy
{
    std::function<bool(int instance, core::time_point now, double coin)> admits;
    std::function<void(int instance, core::time_point now)> started;
    std::function<void(int instance, bool good)> rated;
    std::function<void()> exchange;
    std::function<bool()> stopped;
};

policy guard_policy()
{
    auto guards = std::make_shared<std::vector<std::unique_ptr<core::version_guard>>>();
    for (int n = 0; n < instances; ++n)
        guards->push_back(std::make_unique<core::version_guard>(core::guard_options{},
                                                                [] { return std::size_t{instances}; }));
    policy it;
    it.admits = [guards](int n, core::time_point now, double coin)
    { return coin < share && (*guards)[n]->admits(now, version, core::version_state::rolling_out); };
    it.started = [guards](int n, core::time_point now) { (*guards)[n]->started(now, version); };
    it.rated = [guards](int n, bool good) { (*guards)[n]->rated(version, good); };
    it.exchange = [guards]
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

/// A fixed part of the traffic for a fixed number of ratings, then a threshold, then the whole share.
policy canary_policy(double part, int ratings, double threshold)
{
    struct state
    {
        int good = 0;
        int bad = 0;
        bool stopped = false;
    };
    auto s = std::make_shared<state>();
    policy it;
    it.admits = [s, part, ratings](int, core::time_point, double coin)
    { return !s->stopped && coin < (s->good + s->bad < ratings ? part : share); };
    it.started = [](int, core::time_point) {};
    it.rated = [s, ratings, threshold](int, bool good)
    {
        ++(good ? s->good : s->bad);
        const int n = s->good + s->bad;
        s->stopped = s->stopped || (n >= ratings && static_cast<double>(s->bad) / n > threshold);
    };
    it.exchange = [] {};
    it.stopped = [s] { return s->stopped; };
    return it;
}

policy no_policy()
{
    policy it;
    it.admits = [](int, core::time_point, double coin) { return coin < share; };
    it.started = [](int, core::time_point) {};
    it.rated = [](int, bool) {};
    it.exchange = [] {};
    it.stopped = [] { return false; };
    return it;
}

struct outcome
{
    int bad = 0; ///< bad answers served
    int served = 0;
    double stopped_after_s = -1;
    double share_reached_s = -1; ///< time until nine of ten wanted requests are admitted
};

/// One roll-out. The version has `bad_rate` from `turns_bad` on, before that the accepted one.
outcome roll_out(const policy& it, double bad_rate, core::seconds rating_lag, core::seconds turns_bad,
                 core::seconds length, std::uint64_t seed)
{
    struct rating
    {
        core::time_point at;
        int instance = 0;
        bool good = true;
        bool operator>(const rating& other) const { return at > other.at; }
    };
    std::mt19937_64 random{seed};
    std::uniform_real_distribution<double> coin{0, 1};
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
            it.exchange();
        for (; !ratings.empty() && ratings.top().at <= now; ratings.pop())
            it.rated(ratings.top().instance, ratings.top().good);
        if (it.stopped())
        {
            out.stopped_after_s = std::chrono::duration<double>(now - begin).count();
            return out;
        }
        const int instance = static_cast<int>(random() % instances);
        const double c = coin(random);
        const bool wants = c < share;
        const bool runs = it.admits(instance, now, c);
        wanted += wants ? 1 : 0;
        admitted += runs ? 1 : 0;
        if (wanted == 100)
        {
            if (admitted >= 90 && out.share_reached_s < 0)
                out.share_reached_s = std::chrono::duration<double>(now - begin).count();
            wanted = 0;
            admitted = 0;
        }
        if (!runs)
            continue;
        it.started(instance, now);
        const bool bad = coin(random) < (now - begin >= turns_bad ? bad_rate : accepted_bad);
        ++out.served;
        out.bad += bad && now - begin >= turns_bad ? 1 : 0;
        const auto late = core::duration{
            static_cast<core::duration::rep>(lag(random) * 1e6 * static_cast<double>(rating_lag.count()))};
        ratings.push({now + late, instance, !bad});
    }
    return out;
}

double median(std::vector<double> it)
{
    std::sort(it.begin(), it.end());
    return it.empty() ? -1 : it[it.size() / 2];
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
                std::vector<double> after;
                int never = 0;
                for (int s = 0; s < seeds; ++s)
                {
                    const auto it = roll_out(p.make(), v.rate, core::seconds{lag}, core::seconds{0},
                                             core::seconds{3600}, static_cast<std::uint64_t>(s));
                    bad.push_back(it.bad);
                    if (it.stopped_after_s < 0)
                        ++never;
                    else
                        after.push_back(it.stopped_after_s);
                }
                const auto [low, high] = std::minmax_element(bad.begin(), bad.end());
                out.add(
                    {v.name, lag, p.name, median(bad),
                     std::to_string(static_cast<int>(*low)) + "-" + std::to_string(static_cast<int>(*high)),
                     median(after), never});
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
            std::vector<double> after;
            int never = 0;
            for (int s = 0; s < seeds; ++s)
            {
                const auto it = roll_out(p.make(), rate, core::seconds{10}, core::seconds{1800},
                                         core::seconds{3600}, static_cast<std::uint64_t>(s));
                bad.push_back(it.bad);
                if (it.stopped_after_s < 0)
                    ++never;
                else
                    after.push_back(it.stopped_after_s - 1800);
            }
            out.add({rate, p.name, median(bad), median(after), never});
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
            std::vector<double> reached;
            for (int s = 0; s < seeds; ++s)
            {
                const auto it = roll_out(p.make(), rate, core::seconds{10}, core::seconds{0},
                                         core::seconds{6 * 3600}, 1000 + static_cast<std::uint64_t>(s));
                served += it.served;
                stops += it.stopped_after_s >= 0 ? 1 : 0;
                if (it.share_reached_s >= 0)
                    reached.push_back(it.share_reached_s);
            }
            constexpr double hours_a_month = 720;
            out.add({rate, p.name, served, stops, stops / (seeds * 6.0) * hours_a_month, median(reached)});
        }
    out.finish("good versions, six hours each; 'a month' is for one version under this traffic all month",
               path);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"Exposure to bad versions"};
    std::string path;
    int seeds = 30;
    cli.add_option("--json", path, "Append the results to this file");
    cli.add_option("--seeds", seeds, "Histories of each kind");
    CLI11_PARSE(cli, argc, argv);
    bad_versions(seeds, path);
    turning_bad(seeds, path);
    good_versions(seeds, path);
}
