// Replays bursts of streams at 60 engines on a virtual clock: many instances choose endpoints by updates that
// are 60 to 300 ms old.

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <map>
#include <numeric>
#include <optional>
#include <random>
#include <sstream>

#include <catch2/catch.hpp>

#include "runlink/load/load_digest.hpp"
#include "runlink/routing/endpoint_chooser.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

constexpr time_point start{core::seconds{1000}};
constexpr milliseconds step{5};
constexpr std::size_t endpoint_count = 60;
constexpr std::array<const char*, 3> domains{"a", "b", "c"};
constexpr std::array<double, 3> paces{0.3, 0.8, 3.0};
constexpr std::array<const char*, 3> models{"small", "middle", "large"};
/// Time per token and per prompt token at pace 1, in milliseconds.
constexpr double token_ms = 2.6;
constexpr double token_ms_per_stream = 0.12;
constexpr double prompt_token_ms = 1.0 / 50;

struct traffic
{
    std::size_t instances = 58;
    double per_s = 190;
    double burst = 2; ///< factor, in the second half
    bool is_tracked = true;
    load::forecast_kind kind = load::forecast_kind::ends;
    bool has_digests = false; ///< prompts are announced within the failure domain only
    double loss = 0;          ///< part of the datagrams that are lost
    std::size_t killed = 0;   ///< instances that vanish when the burst begins, with all their streams
    load::engine_limits engine{64, 367'000, 9};
    std::size_t sample_size = chooser_options{}.sample_size;
    std::uint32_t seed = 1;
};

struct measurement
{
    std::vector<double>
        ratios; ///< streams at the most loaded endpoint to the median, each 100 ms of the burst
    std::vector<double> known;  ///< streams that an instance knows of, as a part of those that run
    std::vector<double> errors; ///< first token, actual minus forecast, in seconds
    std::size_t streams = 0;
};

struct outcome
{
    double known = 0; ///< median of `measurement::known`
    double ratio = 0; ///< median over the burst
    double worst_ratio = 0;
    double p95_error_s = 0;
};

endpoint_entry make_endpoint(std::size_t n)
{
    endpoint_entry out;
    out.name = core::endpoint_name{"engine-" + std::to_string(n)};
    out.id = endpoint_id_of(out.name, {});
    out.service = service_id{"s"};
    out.failure_domain = failure_domain_id{domains[n % domains.size()]};
    return out;
}

double percentile(std::vector<double> from, double part)
{
    std::sort(from.begin(), from.end());
    return from.empty() ? 0 : from[static_cast<std::size_t>(static_cast<double>(from.size() - 1) * part)];
}

outcome summary_of(const measurement& it)
{
    return {percentile(it.known, 0.5), percentile(it.ratios, 0.5), percentile(it.ratios, 1),
            percentile(it.errors, 0.95)};
}

/// The mix of summary, chat and tagging requests, and the model that is asked.
class replay
{
public:
    explicit replay(traffic of) : of_{of}, random_{of.seed}
    {
        for (std::size_t n = 0; n < endpoint_count; ++n)
            directory_.put(make_endpoint(n));
        for (std::size_t n = 0; n < of_.instances; ++n)
        {
            chooser_options options;
            options.rotation_start = n + 1;
            options.sample_size = of_.sample_size;
            instances_.emplace_back(options, failure_domain_id{domains[n % domains.size()]});
            teach(instances_.back().chooser.placement());
        }
    }

    void run(measurement& to)
    {
        for (now_ = start; now_ < start + half_ * 2; now_ += step)
        {
            if (now_ == start + half_)
                kill();
            arrive();
            for (std::size_t n = 0; n < endpoint_count; ++n)
                advance(n);
            exchange();
            if (now_ >= start + half_ + milliseconds{1000} &&
                now_.time_since_epoch() % milliseconds{100} == duration{})
                sample();
        }
        to.ratios.insert(to.ratios.end(), ratios_.begin(), ratios_.end());
        to.known.insert(to.known.end(), known_.begin(), known_.end());
        to.errors.insert(to.errors.end(), errors_.begin(), errors_.end());
        to.streams += jobs_.size();
    }

private:
    struct instance
    {
        instance(const chooser_options& options, const failure_domain_id& domain)
            : chooser{options, domain}, domain{domain}
        {
        }
        endpoint_chooser chooser;
        failure_domain_id domain;
        load::load_exchange others;
        gossip_message pending;
        time_point flush_at = time_point::max();
        bool is_killed = false;
    };
    struct job
    {
        std::size_t instance = 0;
        endpoint_id endpoint;
        std::size_t model = 0;
        time_point sent_at{};
        duration forecast{};
        placed_prompt prompt;
        std::optional<tracked_stream> stream;
        std::uint32_t held = 0;
        double read_ms = 0;
        double tokens = 0;
        double done = 0;
    };
    struct engine
    {
        std::deque<std::size_t> waiting;
        std::vector<std::size_t> running;
        std::uint32_t held = 0;
        std::map<prompt_hash, bool> kept;
    };
    struct datagram
    {
        std::size_t from = 0;
        gossip_message message;
    };

    double uniform() { return std::uniform_real_distribution<double>{}(random_); }

    void teach(prompt_placement& it)
    {
        it.track_streams(of_.is_tracked, of_.kind);
        const auto idle = make_endpoint(1000);
        for (std::size_t n = 0; n < models.size(); ++n)
        {
            prompt_need need;
            need.model = model_id{models[n]};
            need.own_tokens = 10'000;
            const auto took = std::chrono::duration_cast<duration>(
                std::chrono::duration<double, std::milli>{10'000 * prompt_token_ms * paces[n]});
            it.answered(start + took, it.sent(start, idle, need));
            const auto us = token_ms * paces[n] * 1000;
            it.token_speeds().observe(need.model, {}, 0, duration{static_cast<duration::rep>(us)});
        }
    }

    prompt_need next_need()
    {
        prompt_need out;
        const auto kind = uniform();
        const auto size = uniform();
        const std::size_t model = size < 0.3 ? 0 : size < 0.5 ? 1 : 2;
        out.model = model_id{models[model]};
        if (kind < 0.3)
        {
            out.shared_tokens = 5400;
            out.own_tokens = 6600;
            out.length = {380, 550};
            out.time_to_target = milliseconds{4000};
            out.shared = hash_of(random_() % 40, out.model);
        }
        else if (kind < 0.8)
        {
            out.own_tokens = 830;
            out.length = {290, 600};
            out.time_to_target = milliseconds{2000};
        }
        else
        {
            out.own_tokens = 2400;
            out.length = {25, 40};
            out.time_to_target = milliseconds{2000};
        }
        out.prompt_tokens = out.shared_tokens + out.own_tokens;
        out.request_bytes = out.prompt_tokens * 4;
        out.engine = of_.engine;
        return out;
    }

    void arrive()
    {
        const auto per_s = of_.per_s * (now_ < start + half_ ? 1 : of_.burst);
        std::poisson_distribution<int> count{per_s * std::chrono::duration<double>(step).count()};
        for (auto n = count(random_); n > 0; --n)
            send(random_() % of_.instances);
    }

    void send(std::size_t from)
    {
        auto& it = instances_[from];
        if (it.is_killed)
            return;
        auto& placement = it.chooser.placement();
        const auto need = next_need();
        const auto model = static_cast<std::size_t>(
            std::find(models.begin(), models.end(), need.model.str()) - models.begin());
        endpoint_need where;
        where.service = service_id{"s"};
        where.prompt = need;
        const auto* to = it.chooser.choose(now_, directory_, where);
        if (to == nullptr)
            FAIL("no endpoint");
        job added;
        added.instance = from;
        added.endpoint = to->id;
        added.model = model;
        added.sent_at = now_;
        const load::stream_hash id{jobs_.size() + 1};
        if (of_.is_tracked)
            added.stream = placement.plan_stream(now_, *to, need, id, milliseconds{15'000});
        added.prompt = placement.sent(now_, *to, need);
        if (added.stream)
            placement.stream_sent(now_, *added.stream);
        added.forecast =
            added.stream ? added.stream->forecast.first_token : added.prompt.wait + added.prompt.work;
        it.chooser.started(to->id);
        auto& engine = engines_[to->id];
        const bool is_kept = std::exchange(engine.kept[need.shared], need.shared_tokens > 0);
        const auto unread = need.own_tokens + (is_kept ? 0 : need.shared_tokens);
        added.read_ms = unread * prompt_token_ms * paces[model];
        // A right-skewed length with the expected median.
        added.tokens =
            std::clamp(need.length.median * std::exp(0.45 * std::normal_distribution<double>{}(random_)), 5.0,
                       need.length.median * 3.3);
        added.held = need.prompt_tokens + static_cast<std::uint32_t>(added.tokens);
        engine.waiting.push_back(jobs_.size());
        if (added.stream)
            tell(from).prompts.push_back(added.stream->sent);
        else if (placement.should_announce(added.prompt))
            tell(from).prompts.push_back(
                {added.prompt.endpoint, need.shared, std::chrono::ceil<milliseconds>(added.prompt.work)});
        jobs_.push_back(std::move(added));
    }

    gossip_message& tell(std::size_t from)
    {
        auto& it = instances_[from];
        it.flush_at = std::min(it.flush_at, now_ + milliseconds{60});
        return it.pending;
    }

    void advance(std::size_t endpoint)
    {
        auto& it = engines_[endpoint_id_of(core::endpoint_name{"engine-" + std::to_string(endpoint)}, {})];
        while (!it.waiting.empty() && it.running.size() < of_.engine.slots &&
               it.held + jobs_[it.waiting.front()].held <= of_.engine.memory_tokens)
        {
            it.held += jobs_[it.waiting.front()].held;
            it.running.push_back(it.waiting.front());
            it.waiting.pop_front();
        }
        const double ms = static_cast<double>(step.count());
        auto reading = ms;
        const auto decoding = std::count_if(it.running.begin(), it.running.end(),
                                            [&](auto n) { return jobs_[n].read_ms <= 0; });
        for (const auto n : it.running)
        {
            auto& job = jobs_[n];
            if (job.read_ms <= 0)
            {
                generate(job, ms / ((token_ms + token_ms_per_stream * static_cast<double>(decoding)) *
                                    paces[job.model]));
                continue;
            }
            const auto used = std::min(reading, job.read_ms);
            reading -= used;
            job.read_ms -= used;
            if (used > 0 && job.read_ms <= 0)
                begin(job);
        }
        std::erase_if(it.running,
                      [&](auto n)
                      {
                          if (jobs_[n].done < jobs_[n].tokens)
                              return false;
                          it.held -= jobs_[n].held;
                          end(jobs_[n]);
                          return true;
                      });
    }

    void begin(job& it)
    {
        if (now_ >= start + half_)
            errors_.push_back(std::chrono::duration<double>(now_ - it.sent_at - it.forecast).count());
        auto& from = instances_[it.instance];
        if (from.is_killed)
            return;
        from.chooser.placement().answered(now_, it.prompt);
        if (it.stream)
            from.chooser.placement().stream_began(*it.stream);
        tell(it.instance)
            .answers.push_back({it.prompt.endpoint, std::chrono::floor<milliseconds>(now_ - it.sent_at),
                                it.stream ? it.stream->sent.stream : load::stream_hash{}});
    }

    void generate(job& it, double tokens)
    {
        const auto events = std::floor(it.done / of_.engine.tokens_per_event);
        it.done += tokens;
        if (it.stream && std::floor(it.done / of_.engine.tokens_per_event) > events)
            instances_[it.instance].chooser.placement().stream_progressed(*it.stream);
    }

    void end(const job& it)
    {
        auto& from = instances_[it.instance];
        if (from.is_killed)
            return;
        from.chooser.finished(it.endpoint);
        if (!it.stream)
            return;
        const load::stream_ended ended{it.stream->sent.endpoint, it.stream->sent.stream};
        from.chooser.placement().stream_ended(ended);
        tell(it.instance).ended.push_back(ended);
    }

    /// The endpoints notice at once that the instances are gone and end their streams; their peers do not.
    void kill()
    {
        for (std::size_t n = 0; n < of_.killed; ++n)
            instances_[n].is_killed = true;
        for (auto& job : jobs_)
            if (instances_[job.instance].is_killed)
                job.read_ms = job.tokens = 0;
    }

    void exchange()
    {
        for (std::size_t n = 0; n < instances_.size(); ++n)
        {
            auto& it = instances_[n];
            if (it.flush_at > now_)
                continue;
            it.flush_at = time_point::max();
            auto message = std::exchange(it.pending, {});
            // Small instances handle datagrams up to a quarter of a second late.
            const auto age = milliseconds{static_cast<int>(uniform() * 240)};
            if (uniform() >= of_.loss && !it.is_killed)
                flying_.emplace(now_ + age, datagram{n, std::move(message)});
        }
        while (!flying_.empty() && flying_.begin()->first <= now_)
        {
            for (std::size_t n = 0; n < instances_.size(); ++n)
                deliver(flying_.begin()->second, n);
            flying_.erase(flying_.begin());
        }
        if (of_.has_digests && now_.time_since_epoch() % milliseconds{120} == duration{})
            exchange_digests();
    }

    void deliver(const datagram& it, std::size_t to)
    {
        if (to == it.from || (of_.has_digests && instances_[to].domain != instances_[it.from].domain))
            return;
        auto& placement = instances_[to].chooser.placement();
        for (const auto& e : it.message.prompts)
            placement.on_peer_sent(now_, e);
        for (const auto& e : it.message.answers)
            placement.on_peer_answered(now_, e);
        for (const auto& e : it.message.ended)
            placement.on_peer_stream_ended(now_, e);
    }

    /// The last instances of the failure domains are their relays; followers get what they got one interval
    /// before.
    void exchange_digests()
    {
        const auto first = instances_.size() - domains.size();
        const auto followers = instances_.size() / domains.size() - 1;
        std::array<load_digest, domains.size()> passed_on;
        for (std::size_t n = first; n < instances_.size(); ++n)
        {
            passed_on[n % domains.size()] = instances_[n].others.merged(now_);
            instances_[n].others.limit_streams_by_turn(passed_on[n % domains.size()], followers);
        }
        for (std::size_t n = 0; n < instances_.size(); ++n)
            instances_[n].chooser.placement().on_remote_loads(
                now_, n < first ? passed_on[n % domains.size()] : instances_[n].others.merged(now_));
        for (std::size_t to = first; to < instances_.size(); ++to)
            for (std::size_t from = first; from < instances_.size(); ++from)
                if (from != to)
                    instances_[to].others.on_digest(
                        now_, instances_[from].chooser.placement().local_loads(now_, milliseconds{30}));
        if (now_.time_since_epoch() % core::seconds{1} == duration{})
            for (auto& it : instances_)
                it.chooser.placement().expire(now_);
    }

    double known_streams(const instance& at) const
    {
        double out = 0;
        for (const auto& [id, it] : engines_)
            out += at.chooser.placement().streams().state(now_, hash_of(id)).running;
        return out;
    }

    void sample()
    {
        std::vector<double> counts;
        for (const auto& [id, it] : engines_)
            counts.push_back(static_cast<double>(it.running.size() + it.waiting.size()));
        const auto all = std::accumulate(counts.begin(), counts.end(), 0.0);
        for (std::size_t n = 0; n < domains.size(); ++n)
            known_.push_back(known_streams(instances_[n]) / all);
        ratios_.push_back(*std::max_element(counts.begin(), counts.end()) /
                          std::max(percentile(counts, 0.5), 1.0));
    }

    traffic of_;
    std::mt19937 random_;
    milliseconds half_{8000};
    time_point now_{};
    endpoint_directory directory_;
    std::deque<instance> instances_;
    std::map<endpoint_id, engine> engines_;
    std::deque<job> jobs_;
    std::multimap<time_point, datagram> flying_;
    std::vector<double> ratios_;
    std::vector<double> known_;
    std::vector<double> errors_;
};

/// Replays the traffic three times with different arrivals.
outcome run(const traffic& of)
{
    constexpr std::uint32_t seeds = 3;
    measurement all;
    for (std::uint32_t seed = 1; seed <= seeds; ++seed)
    {
        auto varied = of;
        varied.seed = seed;
        replay{varied}.run(all);
    }
    const auto out = summary_of(all);
    std::ostringstream text;
    text << (of.is_tracked ? "tracked" : "not tracked") << ", " << of.instances
         << " instances: most/median streams " << out.ratio << " (worst time " << out.worst_ratio
         << "), p95 of first token minus forecast " << out.p95_error_s << " s, " << all.streams << " streams";
    UNSCOPED_INFO(text.str());
    return out;
}

/// The aim: the most loaded endpoint runs less than 1.5 times the streams of the median one, and of 20 first
/// tokens 19 come within half a second of their forecast.
constexpr double max_ratio = 1.5;
constexpr double max_error_s = 0.5;

traffic grown()
{
    traffic out;
    out.instances = 133;
    out.has_digests = true;
    return out;
}

traffic untracked(traffic of)
{
    of.is_tracked = false;
    return of;
}

} // namespace

// Guards against streams that pile up at some endpoints while others have room. The last check of each case
// shows that the traffic is hard enough: without tracking it misses the aim.
TEST_CASE("streams of a burst are spread, and first tokens come when forecast, at 58 instances")
{
    const auto it = run({});
    CHECK(it.ratio < max_ratio);
    CHECK(it.p95_error_s < max_error_s);
    CHECK(run(untracked({})).ratio >= max_ratio);
}

TEST_CASE("the same with digests between the failure domains of 133 instances")
{
    const auto it = run(grown());
    CHECK(it.ratio < max_ratio);
    CHECK(it.p95_error_s < max_error_s);
    CHECK(run(untracked(grown())).ratio >= max_ratio);
    // Each instance knows all streams, but for the latest sends and ends. If those of its own failure domain
    // were counted twice, this would be 1.33 or more; without those of the others, 0.33 or a little more.
    CHECK(it.known == Approx(1).epsilon(0.15));
}

// Guards against first tokens that are late for a wait that was not forecast: that for a slot.
TEST_CASE("the wait for admission is forecast where engines run out of slots")
{
    auto of = grown();
    of.engine.slots = 16;
    const auto it = run(of);
    CHECK(it.ratio < max_ratio);
    CHECK(it.p95_error_s < max_error_s);
    CHECK(run(untracked(of)).p95_error_s >= max_error_s);
}

TEST_CASE("with lost announcements and killed instances streams are still spread better than untracked")
{
    auto of = grown();
    of.loss = 0.05;
    of.killed = 7;
    const auto it = run(of);
    const auto before = run(untracked(of));
    CHECK(it.ratio < before.ratio);
    CHECK(it.p95_error_s < before.p95_error_s);
}

// Guards against instances that choose the same endpoint by the same outdated updates.
TEST_CASE("a few random candidates spread streams better than a comparison of all")
{
    auto all = grown();
    all.sample_size = endpoint_count;
    CHECK(run(grown()).ratio < run(all).ratio);
}
