// The choice of an endpoint in large fleets: its spread over many instances that each handle few requests,
// and its agreement with a comparison of all endpoints.

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "runlink/core/hash.hpp"
#include "runlink/routing/endpoint_chooser.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

const service_id pool{"pool"};
const core::model_id large{"large"};
constexpr time_point start{core::seconds{100}};

endpoint_entry make_endpoint(int n, int domains)
{
    endpoint_entry out;
    out.name = endpoint_name{"i-" + std::to_string(n * 7919 % 10007)};
    out.id = endpoint_id_of(out.name, out.incarnation);
    out.service = pool;
    out.failure_domain = failure_domain_id{std::to_string(n % domains)};
    out.version = version_id{n % 3 == 0 ? "v2" : "v1"};
    return out;
}

endpoint_need make_need(std::uint64_t subject, std::uint32_t shared_tokens)
{
    endpoint_need out;
    out.service = pool;
    prompt_need prompt;
    prompt.model = large;
    prompt.shared = hash_of(subject, large);
    prompt.shared_tokens = shared_tokens;
    prompt.own_tokens = 900;
    prompt.request_bytes = 4000;
    prompt.time_to_target = milliseconds{1500};
    out.prompt = prompt;
    return out;
}

/// Requests at the busiest endpoint as a multiple of the mean, over instances that each choose a few times.
double busiest_to_mean(int instances, int endpoints, int domains, bool has_prompts)
{
    constexpr int requests_each = 8;
    endpoint_directory directory;
    for (int n = 0; n < endpoints; ++n)
        directory.put(make_endpoint(n, domains));
    std::map<endpoint_id, int> counts;
    std::uint64_t subject = 0;
    for (int n = 0; n < instances; ++n)
    {
        chooser_options options;
        options.rotation_start = core::stable_hash("instance-" + std::to_string(n));
        endpoint_chooser it{options, failure_domain_id{std::to_string(n % domains)}};
        for (int i = 0; i < requests_each; ++i)
        {
            auto need = make_need(++subject, 600);
            if (!has_prompts)
                need.prompt.reset();
            ++counts[it.choose(start, directory, need)->id];
        }
    }
    int most = 0;
    for (const auto& [id, n] : counts)
        most = std::max(most, n);
    return most * static_cast<double>(endpoints) / (instances * requests_each);
}

/// A chooser and a directory in a random state.
struct random_choice
{
    std::mt19937_64 random;
    endpoint_directory directory;
    std::vector<endpoint_entry> all;
    chooser_options options;
    endpoint_chooser it;

    random_choice(std::uint64_t seed, chooser_options with)
        : random{seed}, options{with}, it{with, failure_domain_id{"0"}}
    {
        const int endpoints = 3 + static_cast<int>(random() % 40);
        for (int n = 0; n < endpoints; ++n)
        {
            auto e = make_endpoint(n, 3);
            e.leaving = random() % 10 == 0;
            directory.put(e);
            all.push_back(e);
        }
        const auto busy = random() % 3; // none, some or most endpoints have work
        for (const auto& e : all)
        {
            if (random() % 3 >= busy)
                continue;
            if (random() % 2 == 0)
                it.started(e.id);
            const prompt_sent sent{hash_of(e.id), hash_of(random() % 4, large),
                                   milliseconds{static_cast<int>(random() % 400)}};
            it.placement().on_peer_sent(start, sent);
            if (random() % 8 == 0)
                it.connect_failed(start, e.id);
        }
    }
};

chooser_options comparing_all()
{
    chooser_options out;
    out.max_idle_probes = 0;
    return out;
}

} // namespace

TEST_CASE("instances that each handle few requests spread them over the endpoints")
{
    constexpr double max_ratio = 3;
    CHECK(busiest_to_mean(250, 76, 5, false) < max_ratio);
    CHECK(busiest_to_mean(1000, 305, 5, false) < max_ratio);
    CHECK(busiest_to_mean(7, 5, 1, false) < max_ratio);
    // Fewer than one request an endpoint: with random sends, more than ten at one endpoint would occur once
    // in many thousand runs.
    constexpr double mean = 1000 * 8.0 / 9697;
    CHECK(busiest_to_mean(1000, 9697, 5, true) * mean <= 10);
}

TEST_CASE("the quick choice costs no more than the choice among all endpoints")
{
    std::size_t differing_loads = 0;
    for (std::uint64_t seed = 1; seed <= 400; ++seed)
    {
        INFO("seed " << seed);
        random_choice quick{seed, {}};
        random_choice full{seed, comparing_all()};
        for (std::uint64_t subject = 0; subject < 4; ++subject)
        {
            auto need = make_need(subject, subject % 2 == 0 ? 3000 : 0);
            if (seed % 4 == 0)
                need.versions.avoided = version_id{"v2"};
            const auto* a = quick.it.peek(start, quick.directory, need);
            const auto* b = full.it.peek(start, full.directory, need);
            REQUIRE((a == nullptr) == (b == nullptr));
            if (a == nullptr || a->id == b->id)
                continue;
            ++differing_loads;
            const auto* same = quick.directory.find(b->id);
            std::vector<prompt_placement::candidate> eligible;
            for (const auto* e : quick.it.fitting(start, quick.directory, need))
                if (!quick.it.is_backing_off(start, e->id))
                    eligible.push_back({e, 0});
            const auto* home = prompt_placement::home_of(eligible, *need.prompt);
            // The first of two endpoints of equal cost is chosen.
            CHECK(quick.it.placement().choose(
                      start, {{a, quick.it.in_flight(a->id)}, {same, quick.it.in_flight(same->id)}},
                      *need.prompt, home) == a);
        }
    }
    CHECK(differing_loads > 0); // endpoints of equal cost
}

TEST_CASE("plain requests go to idle endpoints of the own failure domain, then to the least loaded ones")
{
    endpoint_directory directory;
    for (int n = 0; n < 6; ++n)
        directory.put(make_endpoint(n, 2));
    endpoint_chooser it{{}, failure_domain_id{"0"}};
    endpoint_need need;
    need.service = pool;
    std::set<endpoint_id> used;
    for (int n = 0; n < 3; ++n)
    {
        const auto* chosen = it.choose(start, directory, need);
        CHECK(chosen->failure_domain == failure_domain_id{"0"});
        it.started(chosen->id);
        used.insert(chosen->id);
    }
    CHECK(used.size() == 3);
    CHECK(it.in_flight(it.choose(start, directory, need)->id) <= 1);
}
