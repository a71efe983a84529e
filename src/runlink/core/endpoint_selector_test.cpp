#include <catch2/catch.hpp>

#include "runlink/core/endpoint_selector.hpp"
#include "runlink/core/leave_marks.hpp"
#include "support/fake_world.hpp"

using namespace runlink::core;

namespace
{

constexpr time_point start{seconds{100}};
const version_ref r1{model_id{"review"}, version_id{"r1"}};
const endpoint_id e1{"e1"};
const endpoint_id e2{"e2"};

struct fixture
{
    std::mt19937_64 random{7};
    leave_marks leaving;
    endpoint_selector it{{}, [this](const endpoint_id& e) { return leaving.is_leaving(e); }, random};
    endpoint_demand demand;

    fixture()
    {
        it.apply(std::make_shared<configuration>(runlink::tests::base_configuration()));
        demand.version = r1;
    }

    std::string pick(time_point now = start)
    {
        const auto* e = it.pick(now, demand);
        return e == nullptr ? "none" : e->id.str();
    }

    void lose(const endpoint_id& e, int n, time_point now = start)
    {
        for (; n > 0; --n)
        {
            it.started(e);
            it.finished(now, e, attempt_result::lost);
        }
    }
};

} // namespace

TEST_CASE_METHOD(
    fixture, "the endpoint with the fewest requests of this instance is chosen, and equal ones are all used")
{
    std::set<std::string> seen;
    for (int n = 0; n < 50; ++n)
        seen.insert(pick());
    CHECK(seen == std::set<std::string>{"e1", "e2"});
    it.started(e1);
    for (int n = 0; n < 50; ++n)
        CHECK(pick() == "e2");
    it.started(e2);
    it.started(e2);
    for (int n = 0; n < 50; ++n)
        CHECK(pick() == "e1");
}

TEST_CASE_METHOD(fixture, "an instance uses its share of an endpoint, and one more slot for a quick request")
{
    selector_options options;
    options.instances = 4;
    endpoint_selector shared{options, [](const endpoint_id&) { return false; }, random};
    shared.apply(std::make_shared<configuration>(runlink::tests::base_configuration()));
    for (const auto& e : {e1, e2})
    {
        shared.started(e);
        shared.started(e);
    }
    CHECK(shared.pick(start, demand) == nullptr);
    demand.quick = true;
    CHECK(shared.pick(start, demand) != nullptr);
    shared.started(e1);
    shared.started(e2);
    CHECK(shared.pick(start, demand) == nullptr);
}

TEST_CASE_METHOD(fixture,
                 "an endpoint at its capacity gets no request, not even a quick one, but stays usable")
{
    for (int n = 0; n < 4; ++n)
    {
        it.started(e1);
        it.started(e2);
    }
    demand.quick = true;
    CHECK(pick() == "none");
    CHECK(it.any_usable(start, demand));
}

TEST_CASE_METHOD(fixture,
                 "an endpoint with consecutive failures is ejected, probed with one request and used again")
{
    lose(e1, 3);
    CHECK(it.is_ejected(start, e1));
    CHECK(pick() == "e2");
    const auto later = start + milliseconds{1500};
    it.started(e2);
    CHECK(pick(later) == "e1");
    it.started(e1);
    CHECK(pick(later) == "e2"); // one request at a time until it answers one
    it.finished(later, e1, attempt_result::answered);
    CHECK(pick(later) == "e1");
}

TEST_CASE_METHOD(fixture, "ejections become longer while probes fail")
{
    lose(e1, 3);
    const auto later = start + milliseconds{1500};
    lose(e1, 1, later);
    CHECK(it.is_ejected(later + milliseconds{1900}, e1));
    CHECK_FALSE(it.is_ejected(later + milliseconds{2100}, e1));
}

TEST_CASE_METHOD(
    fixture,
    "a prompt goes to the endpoint with its cached prefix until that one has more load than the mean")
{
    demand.prefix_hash = 99;
    const auto home = pick();
    for (int n = 0; n < 10; ++n)
        CHECK(pick() == home);
    const endpoint_id id{home};
    it.started(id);
    it.started(id);
    CHECK(pick() != home);
}

TEST_CASE("a leave mark stays when its process is reported live, and ends when a newer process is seen")
{
    leave_marks it;
    CHECK(it.mark({e1, endpoint_incarnation{7}}));
    CHECK_FALSE(it.mark({e1, endpoint_incarnation{7}}));
    it.seen_live(e1, endpoint_incarnation{7});
    CHECK(it.is_leaving(e1));
    it.seen_live(e1, endpoint_incarnation{8});
    CHECK_FALSE(it.is_leaving(e1));
    CHECK_FALSE(it.mark({e1, endpoint_incarnation{7}})); // a late report by a peer
    CHECK(it.all().empty());
    CHECK(it.mark({e1, endpoint_incarnation{8}}));
    CHECK(it.is_leaving(e1));
}
