// Tests of prompt placement: load patterns replayed on a simulated clock.

#include <deque>
#include <map>

#include <catch2/catch.hpp>

#include "runlink/load/admission.hpp"
#include "runlink/routing/endpoint_chooser.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

constexpr time_point start{core::seconds{1000}};
const core::model_id small{"small"};
const core::model_id large{"large"};
/// Reading speed of the simulated endpoints, in tokens per millisecond.
constexpr std::uint32_t small_speed = 100;
constexpr std::uint32_t large_speed = 10;

endpoint_entry make_endpoint(int n, const std::string& domain = "n")
{
    endpoint_entry out;
    out.name = core::endpoint_name{"e" + std::to_string(n)};
    out.id = endpoint_id_of(out.name, {});
    out.service = core::service_id{"s"};
    out.failure_domain = core::failure_domain_id{domain};
    return out;
}

prompt_need make_prompt(const core::model_id& model, std::uint64_t subject, std::uint32_t shared,
                        std::uint32_t own)
{
    prompt_need out;
    out.model = model;
    out.shared = hash_of(subject, model);
    out.shared_tokens = shared;
    out.own_tokens = own;
    out.time_to_target = milliseconds{4000};
    return out;
}

duration reading(const core::model_id& model, std::uint32_t tokens)
{
    return milliseconds{tokens / (model == large ? large_speed : small_speed)};
}

/// Simulated instances, and endpoints that read one prompt after the other and cache what they have read.
struct fleet
{
    explicit fleet(int instances, int endpoints, placement_options options = {})
    {
        for (int n = 0; n < endpoints; ++n)
            directory.put(make_endpoint(n));
        chooser_options chooser;
        chooser.placement = options;
        for (int n = 0; n < instances; ++n)
            choosers.emplace_back(chooser, core::failure_domain_id{"n"});
        for (auto& it : choosers)
        {
            teach(it, small, 10'000);
            teach(it, large, 10'000);
        }
    }

    /// Teaches an instance the speed of a model with one answer of an idle endpoint.
    void teach(endpoint_chooser& it, const core::model_id& model, std::uint32_t tokens)
    {
        constexpr int first_idle_endpoint = 1000;
        auto& placement = it.placement();
        const auto idle = make_endpoint(first_idle_endpoint + (model == large ? 1 : 0));
        const auto sent = placement.sent(start, idle, make_prompt(model, 0, 0, tokens));
        placement.answered(start + reading(model, tokens), sent);
    }

    struct chosen
    {
        endpoint_id endpoint;
        duration first_byte{}; ///< time from the dispatch of the prompt
    };

    /// Sends a prompt through an instance, whose announcement reaches its peers at once.
    chosen send(time_point now, std::size_t instance, const prompt_need& prompt)
    {
        deliver_started_answers(now);
        endpoint_need need;
        need.service = core::service_id{"s"};
        need.prompt = prompt;
        const auto* to = choosers[instance].choose(now, directory, need);
        REQUIRE(to != nullptr);
        const auto placed = choosers[instance].placement().sent(now, *to, prompt);
        if (announces_all && choosers[instance].placement().should_announce(placed))
            for (std::size_t n = 0; n < choosers.size(); ++n)
                if (n != instance)
                    choosers[n].placement().on_peer_sent(
                        now, {placed.endpoint, prompt.shared, std::chrono::ceil<milliseconds>(placed.work)});
        auto& engine = engines[to->id];
        const bool is_kept = engine.kept[prompt.shared];
        engine.kept[prompt.shared] = true;
        const auto unread = prompt.own_tokens + (is_kept ? 0 : prompt.shared_tokens);
        reread_tokens += is_kept ? 0 : prompt.shared_tokens;
        engine.free_at = std::max(engine.free_at, now) + reading(prompt.model, unread);
        reads.push_back({engine.free_at, instance, placed});
        return {to->id, engine.free_at - now};
    }

    /// Informs the instances of all answers whose first byte was due by `now`.
    void deliver_started_answers(time_point now)
    {
        for (const auto& it : reads)
            for (std::size_t n = 0; n < choosers.size() && it.done <= now; ++n)
            {
                const auto age = std::chrono::floor<milliseconds>(it.done - it.placed.sent_at);
                if (n == it.instance)
                    choosers[n].placement().answered(it.done, it.placed);
                else if (announces_all)
                    choosers[n].placement().on_peer_answered(it.done, {it.placed.endpoint, age});
            }
        std::erase_if(reads, [&](const auto& it) { return it.done <= now; });
    }

    struct engine
    {
        time_point free_at{};
        std::map<prompt_hash, bool> kept;
    };
    struct read
    {
        time_point done{};
        std::size_t instance = 0;
        placed_prompt placed;
    };
    endpoint_directory directory;
    /// Exchanges load digests between the instances, each standing for one failure domain.
    void exchange_loads(time_point now)
    {
        std::vector<load_digest> all;
        for (auto& it : choosers)
            all.push_back(it.placement().local_loads(now, load_exchange_options{}.least_load));
        for (std::size_t n = 0; n < choosers.size(); ++n)
        {
            load_exchange others;
            for (std::size_t e = 0; e < all.size(); ++e)
                if (e != n)
                {
                    all[e].domain = core::failure_domain_id{std::to_string(e)};
                    others.on_digest(now, all[e]);
                }
            choosers[n].placement().on_remote_loads(now, others.merged(now));
        }
    }

    std::deque<endpoint_chooser> choosers;
    bool announces_all = true; ///< each prompt is announced to all instances
    std::map<endpoint_id, engine> engines;
    std::vector<read> reads;
    std::uint64_t reread_tokens = 0; ///< shared tokens read by endpoints without them in their cache
};

} // namespace

TEST_CASE("the reading speed of a model is learned from a few answers, weighted by prompt length")
{
    prompt_speed it;
    CHECK(it.time_to_read(large, 1000) == milliseconds{20});
    it.observe(large, 100, milliseconds{500}); // mostly the fixed time to the first token
    CHECK(it.time_to_read(large, 1000) == milliseconds{20});
    it.observe(large, 10'000, milliseconds{1000});
    it.observe(large, 2'000, milliseconds{260});
    CHECK(it.time_to_read(large, 1000) == milliseconds{105});
    for (int n = 0; n < 16; ++n)
        it.observe(large, 4'000, milliseconds{200});
    CHECK(it.time_to_read(large, 1000) == milliseconds{50});
    CHECK(it.time_to_read(small, 1000) == milliseconds{20});
}

TEST_CASE("reading times measured while the process was frozen are ignored as outliers")
{
    prompt_speed it;
    for (int n = 0; n < 5; ++n)
        it.observe(large, 10'000, milliseconds{1000});
    it.observe(large, 10'000, milliseconds{9000});
    it.observe(large, 10'000, milliseconds{9000});
    CHECK(it.time_to_read(large, 1000) == milliseconds{100});
}

TEST_CASE("a backlog drains with time, and an answer removes the prompts sent before")
{
    endpoint_backlog it;
    const endpoint_hash e{7};
    it.sent(start, e, milliseconds{300}, false);
    it.sent(start + milliseconds{10}, e, milliseconds{500}, true);
    it.sent(start + milliseconds{20}, e, milliseconds{100}, false);
    CHECK(it.time_left(start + milliseconds{20}, e) == milliseconds{880});
    CHECK(it.time_left(start + milliseconds{200}, e) == milliseconds{700});
    it.withdrawn(start + milliseconds{210}, e, start + milliseconds{10});
    it.answered(start + milliseconds{210}, e, start + milliseconds{10});
    CHECK(it.time_left(start + milliseconds{210}, e) == milliseconds{100});
    CHECK(it.time_left(start + milliseconds{400}, e) == milliseconds{0});
    CHECK(it.time_left(start, endpoint_hash{8}) == milliseconds{0});
}

TEST_CASE("own prompts count as backlog until they are answered, however slow the endpoint is")
{
    endpoint_backlog it;
    const endpoint_hash e{7};
    it.sent(start, e, milliseconds{100}, true);
    CHECK(it.time_left(start + milliseconds{900}, e) == milliseconds{100});
    it.withdrawn(start + milliseconds{900}, e, start);
    CHECK(it.time_left(start + milliseconds{900}, e) == milliseconds{0});
    it.sent(start, e, milliseconds{100}, true);
    it.expire(start + milliseconds{10'000});
    CHECK(it.time_left(start + milliseconds{10'000}, e) == milliseconds{0});
}

TEST_CASE("cached parts expire per model after their time to live")
{
    kept_prompts it{{milliseconds{8000}}};
    it.sent(start, endpoint_hash{1}, hash_of(5, small));
    CHECK(it.has(start + milliseconds{7999}, endpoint_hash{1}, hash_of(5, small)));
    CHECK_FALSE(it.has(start, endpoint_hash{1}, hash_of(5, large)));
    CHECK_FALSE(it.has(start + milliseconds{8000}, endpoint_hash{1}, hash_of(5, small)));
    it.expire(start + milliseconds{8000});
    CHECK(it.size() == 0);
}

TEST_CASE("short prompts go to idle endpoints, also avoiding long prompts that peers have sent")
{
    fleet it{6, 6};
    // Four instances each send a long prompt for the largest model; they use four of the six endpoints.
    std::map<endpoint_id, bool> busy;
    for (std::size_t n = 0; n < 4; ++n)
        busy[it.send(start, n, make_prompt(large, 100 + n, 0, 17'000)).endpoint] = true;
    CHECK(busy.size() == 4);
    duration worst{};
    for (std::uint64_t n = 0; n < 24; ++n)
    {
        const auto now = start + milliseconds{20 * n + 10};
        worst = std::max(worst, it.send(now, n % 6, make_prompt(small, 200 + n, 300, 1'000)).first_byte);
    }
    // Behind a long prompt the wait would be up to 1,700 ms.
    CHECK(worst <= milliseconds{50});
}

TEST_CASE("a frequent prompt stays at the endpoint that has it cached until reading it elsewhere is faster")
{
    fleet it{6, 8};
    std::map<endpoint_id, int> used;
    // Five per second at 75 ms each with a cached prompt: one endpoint suffices.
    for (std::uint64_t n = 0; n < 50; ++n)
        ++used[it.send(start + milliseconds{200 * n}, n % 6, make_prompt(large, 1, 13'000, 750)).endpoint];
    CHECK(used.size() == 1);
    // Forty per second for eight seconds: three times the capacity of one endpoint.
    duration worst{};
    for (std::uint64_t n = 0; n < 320; ++n)
    {
        const auto now = start + core::seconds{20} + milliseconds{25 * n};
        const auto sent = it.send(now, n % 6, make_prompt(large, 1, 13'000, 750));
        worst = std::max(worst, sent.first_byte);
        ++used[sent.endpoint];
    }
    CHECK(used.size() >= 3);
    CHECK(used.size() <= 7);
    CHECK(worst <= milliseconds{4'500});
}

TEST_CASE("an answer reported by a peer shortens the expected wait at the endpoint")
{
    fleet it{2, 1};
    it.send(start, 0, make_prompt(large, 1, 0, 30'000));
    it.send(start + milliseconds{1}, 0, make_prompt(large, 2, 0, 10'000));
    const auto e = hash_of(core::endpoint_id{"e0"});
    auto& other = it.choosers[1].placement();
    const auto wait = [&](int ms)
    { return other.expect(start + milliseconds{ms}, make_endpoint(0), make_prompt(small, 3, 0, 100)).wait; };
    CHECK(wait(500) == milliseconds{3500});
    other.on_peer_answered(start + milliseconds{501}, {e, milliseconds{501}}); // answer to the first prompt
    CHECK(wait(501) == milliseconds{1000});
    CHECK(wait(1000) == milliseconds{501});
}

TEST_CASE("instances choose the same endpoint for an uncached prompt without communication")
{
    fleet it{6, 8};
    std::map<endpoint_id, int> used;
    endpoint_need need;
    need.service = core::service_id{"s"};
    need.prompt = make_prompt(large, 77, 13'000, 750);
    for (auto& chooser : it.choosers)
        ++used[chooser.choose(start, it.directory, need)->id];
    CHECK(used.size() == 1);
}

TEST_CASE("a request stays in its own failure domain until the wait there costs more than the transfer")
{
    endpoint_directory directory;
    directory.put(make_endpoint(1, "n"));
    directory.put(make_endpoint(2, "f"));
    endpoint_chooser it{{}, core::failure_domain_id{"n"}};
    endpoint_need need;
    need.service = core::service_id{"s"};
    need.prompt = make_prompt(small, 1, 0, 5'000);
    need.prompt->request_bytes = 5'000;
    CHECK(it.choose(start, directory, need)->id.str() == "e1");
    it.placement().on_peer_sent(start, {hash_of(core::endpoint_id{"e1"}), {}, milliseconds{250}});
    CHECK(it.choose(start, directory, need)->id.str() == "e1");
    it.placement().on_peer_sent(start, {hash_of(core::endpoint_id{"e1"}), {}, milliseconds{250}});
    CHECK(it.choose(start, directory, need)->id.str() == "e2");
}

TEST_CASE("a request whose wait exceeds its deadline is refused at once, with a varying retry time")
{
    const load::admission it;
    CHECK_FALSE(it.retry_after_if_overloaded({}, milliseconds{20}, 1));
    CHECK_FALSE(it.retry_after_if_overloaded(milliseconds{1999}, milliseconds{2000}, 1));
    const auto first = it.retry_after_if_overloaded(milliseconds{2000}, milliseconds{2000}, 0);
    const auto second = it.retry_after_if_overloaded(milliseconds{2000}, milliseconds{2000}, 512);
    REQUIRE(first);
    REQUIRE(second);
    CHECK(*first == milliseconds{2000});
    CHECK(*second == milliseconds{2500});
    CHECK(it.retry_after({}, 0) == milliseconds{300});
    CHECK(it.retry_after(core::seconds{60}, 0) == milliseconds{5000});
}

TEST_CASE("a wrong announcement of a peer is limited in time and corrected by own answers")
{
    endpoint_directory directory;
    directory.put(make_endpoint(1));
    endpoint_chooser it{{}, core::failure_domain_id{"n"}};
    const auto e = hash_of(core::endpoint_id{"e1"});
    it.placement().on_peer_sent(start, {e, {}, core::seconds{500}});
    it.placement().expire(start);
    const auto prompt = make_prompt(small, 1, 0, 1'000);
    CHECK(it.placement().expect(start, make_endpoint(1), prompt).wait == core::seconds{10});
    const auto sent = it.placement().sent(start, make_endpoint(1), prompt);
    it.placement().answered(start + milliseconds{30}, sent);
    CHECK(it.placement().expect(start + milliseconds{30}, make_endpoint(1), prompt).wait == duration{});
}

TEST_CASE("with load digests, short prompts avoid endpoints busy with prompts of other failure domains")
{
    // Each chooser stands for all instances of a failure domain, which announce each prompt to each other.
    const auto run = [](bool with_digests)
    {
        fleet it{5, 12};
        it.announces_all = false;
        duration waits{};
        std::uint64_t subject = 1;
        for (int n = 0; n < 400; ++n)
        {
            const auto now = start + core::seconds{10} + milliseconds{20 * n};
            if (with_digests && n % 6 == 0) // every 120 ms
                it.exchange_loads(now);
            const auto instance = static_cast<std::size_t>(n % 5);
            if (n % 3 == 0)
                it.send(now, instance, make_prompt(large, ++subject, 2'000, 2'000));
            else
                waits += it.send(now, instance, make_prompt(small, ++subject, 0, 500)).first_byte;
        }
        return waits;
    };
    const auto without = run(false);
    const auto with = run(true);
    CHECK(with * 2 < without);
}

TEST_CASE("digests of several failure domains add up and decrease with time")
{
    const endpoint_hash a{1};
    const endpoint_hash b{2};
    load_exchange it;
    it.on_digest(start, {core::failure_domain_id{"n"}, {{a, milliseconds{300}}, {b, milliseconds{90}}}});
    it.on_digest(start, {core::failure_domain_id{"s"}, {{a, milliseconds{200}}}});
    const auto both = it.merged(start + milliseconds{100});
    REQUIRE(both.loads.size() == 1); // the load of `b` has passed
    CHECK(both.loads[0].left == milliseconds{300});
    it.on_digest(start + milliseconds{100}, {core::failure_domain_id{"n"}, {}});
    CHECK(it.merged(start + milliseconds{100}).loads.at(0).left == milliseconds{100});
    endpoint_backlog backlog;
    backlog.sent(start, a, milliseconds{50}, false);
    backlog.set_remote_loads(start, both.loads);
    CHECK(backlog.time_left(start, a) == milliseconds{350});
    CHECK(backlog.time_left(start + milliseconds{320}, a) == duration{});
    CHECK(backlog.local_loads(start, milliseconds{30}).at(0).left ==
          milliseconds{50}); // excludes remote loads
    backlog.set_remote_loads(start, {});
    CHECK(backlog.time_left(start, a) == milliseconds{50});
}
