#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "runlink/routing/cascade_policy.hpp"
#include "runlink/routing/endpoint_chooser.hpp"
#include "runlink/routing/repeated_news.hpp"
#include "runlink/routing/retry_allowance.hpp"
#include "runlink/routing/routing_table.hpp"
#include "runlink/routing/session_pins.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

constexpr time_point start{core::seconds{1000}};

routing_table make_table()
{
    std::vector<route> routes(3);
    routes[0].host = "a.example";
    routes[0].path_prefix = "/x/";
    routes[1].host = "A.Example";
    routes[1].path_prefix = "/x/y/";
    routes[2].host = "b.example";
    routes[2].path_prefix = "/";
    for (auto& it : routes)
        it.name = it.path_prefix;
    return {7, routes, {}, {{core::account_id{"acme"}, {"k1", "k2"}, 1, {}}}, {}};
}

endpoint_entry make_endpoint(const std::string& id, const std::string& version = "v1",
                             const std::string& domain = "n")
{
    endpoint_entry out;
    out.name = core::endpoint_name{id};
    out.id = endpoint_id_of(out.name, {});
    out.service = core::service_id{"s"};
    out.version = core::version_id{version};
    out.failure_domain = core::failure_domain_id{domain};
    return out;
}

} // namespace

TEST_CASE("the longest path prefix of a host matches; case and port of the host are ignored")
{
    const auto table = make_table();
    REQUIRE(table.find_route("a.example", "/x/y/z") != nullptr);
    CHECK(table.find_route("a.example", "/x/y/z")->name == "/x/y/");
    CHECK(table.find_route("A.EXAMPLE:8080", "/x/z")->name == "/x/");
    CHECK(table.find_route("b.example", "/anything")->name == "/");
    CHECK(table.find_route("a.example", "/xy") == nullptr);
    CHECK(table.find_route("c.example", "/x/") == nullptr);
    CHECK(table.find_account("k2")->id.str() == "acme");
    CHECK(table.find_account("k3") == nullptr);
}

TEST_CASE("an endpoint that was listed as leaving never gets new work again")
{
    endpoint_directory it;
    auto entry = make_endpoint("e1");
    CHECK(it.put(entry) == endpoint_directory::change::added);
    entry.leaving = true;
    CHECK(it.put(entry) == endpoint_directory::change::leaving);
    entry.leaving = false;
    it.put(entry);
    CHECK_FALSE(it.may_get_work(start, entry.id));
}

TEST_CASE("a leaving mark survives entry updates, lists and outages, but not a new incarnation")
{
    endpoint_directory it;
    const service_id pool{"pool"};
    const time_point start{core::seconds{100}};
    endpoint_entry entry;
    entry.name = core::endpoint_name{"e1"};
    entry.incarnation = core::endpoint_incarnation{1};
    entry.id = endpoint_id_of(entry.name, entry.incarnation);
    entry.service = pool;
    it.put(entry);
    CHECK(it.mark_leaving(start, entry.id));
    CHECK_FALSE(it.mark_leaving(start, entry.id));
    CHECK(it.usable(start, pool).empty());
    CHECK(it.put(entry) ==
          endpoint_directory::change::none); // the entry still says that the endpoint is ready
    it.replace(start, {entry});
    CHECK(it.usable(start, pool).empty());
    it.remove(start, entry.name);
    it.forget_vanished(start);
    CHECK(it.is_leaving(entry.id));
    it.store_returned(start);
    CHECK(it.put(entry) == endpoint_directory::change::leaving);
    CHECK(it.usable(start, pool).empty());
    // A mark may arrive before the store lists the endpoint.
    CHECK(it.mark_leaving(start, core::endpoint_id{"e2"}));
    auto later_life = entry;
    later_life.incarnation = core::endpoint_incarnation{2};
    later_life.id = endpoint_id_of(entry.name, later_life.incarnation);
    CHECK(it.put(later_life) == endpoint_directory::change::restarted);
    CHECK(it.usable(start, pool).size() == 1);
    CHECK(it.put(entry) == endpoint_directory::change::outdated);
    CHECK(it.usable(start, pool).size() == 1);
    it.forget_vanished(start + core::seconds{599});
    CHECK(it.leaving_marks().size() == 2);
    it.forget_vanished(start + core::seconds{600});
    CHECK(it.leaving_marks().empty());
}

TEST_CASE("an announcement is sent at once and repeated unless a peer announces it")
{
    repeated_news<endpoint_id> it{{3, milliseconds{500}}};
    const time_point start{core::seconds{100}};
    it.add(start, endpoint_id{"e1"});
    it.add(start, endpoint_id{"e2"});
    CHECK(it.next_due() == start);
    CHECK(it.take_due(start).size() == 2);
    CHECK(it.take_due(start + milliseconds{499}).empty());
    it.drop(endpoint_id{"e2"});
    CHECK(it.take_due(start + milliseconds{500}) == std::vector{endpoint_id{"e1"}});
    CHECK(it.take_due(start + milliseconds{1000}).size() == 1);
    CHECK_FALSE(it.next_due());
}

TEST_CASE("an endpoint is a last resort for a while after its own announcement, not if listed as leaving")
{
    directory_options options;
    options.last_resort_time = milliseconds{1000};
    endpoint_directory it{options};
    const service_id pool{"pool"};
    const time_point start{core::seconds{100}};
    endpoint_entry entry;
    entry.name = core::endpoint_name{"e1"};
    entry.id = endpoint_id_of(entry.name, {});
    entry.service = pool;
    it.put(entry);
    CHECK(it.last_resorts(start, pool).empty());
    it.mark_leaving(start, entry.id);
    CHECK(it.last_resorts(start + milliseconds{999}, pool).size() == 1);
    CHECK(it.last_resorts(start + milliseconds{1000}, pool).empty());
    entry.leaving = true;
    it.put(entry);
    CHECK(it.last_resorts(start, pool).empty());
}

TEST_CASE("a complete list removes endpoints that it does not contain")
{
    endpoint_directory it;
    it.put(make_endpoint("e1"));
    it.replace(start, {make_endpoint("e2")});
    CHECK(it.find(core::endpoint_id{"e1"}) == nullptr);
    CHECK(it.usable(start, core::service_id{"s"}).size() == 1);
}

TEST_CASE("an entry that vanishes shortly after an outage is used for a grace period only")
{
    endpoint_directory it;
    it.put(make_endpoint("e1"));
    it.store_returned(start);
    it.remove(start + core::seconds{1}, core::endpoint_name{"e1"});
    CHECK(it.may_get_work(start + core::seconds{2}, core::endpoint_id{"e1"}));
    CHECK_FALSE(it.may_get_work(start + core::seconds{3}, core::endpoint_id{"e1"}));
    it.put(make_endpoint("e1"));
    CHECK(it.may_get_work(start + core::seconds{3}, core::endpoint_id{"e1"}));
}

namespace
{

/// The share of an instance that has been listed for long, with a list that stays current.
retry_share known_share(double slack, std::size_t instances)
{
    retry_share out{slack};
    out.on_listed(start - core::seconds{60});
    out.confirm(start + core::seconds{3600});
    out.set_instances(start, instances);
    return out;
}

} // namespace

TEST_CASE("retries stay below the ratio of requests in any window")
{
    const auto share = known_share(10, 1);
    retry_allowance it{{core::seconds{10}, 0.5, 10}};
    auto now = start;
    std::vector<time_point> requests;
    std::vector<time_point> retries;
    for (int n = 0; n < 600; ++n, now += milliseconds{50})
    {
        if (n % 3 == 0)
        {
            it.on_request(now);
            requests.push_back(now);
        }
        if (it.try_take(now, share))
            retries.push_back(now);
        const auto in_window = [&](const auto& all) {
            return std::count_if(all.begin(), all.end(), [&](auto e) { return now - e < core::seconds{10}; });
        };
        REQUIRE(static_cast<double>(in_window(retries)) <=
                10 + 0.5 * static_cast<double>(in_window(requests)));
    }
    CHECK(retries.size() > 90);
}

TEST_CASE("an instance without requests gets its share of the slack after a window without retries")
{
    retry_share share{10};
    share.confirm(start + core::seconds{3600});
    share.set_instances(start, 2);
    retry_allowance it{{core::seconds{20}, 0.5, 10}};
    share.on_listed(start);
    CHECK(it.left(start + milliseconds{19'999}, share) == Approx(0).margin(0.001));
    CHECK(it.left(start + core::seconds{20}, share) == Approx(3.5));
    CHECK(it.try_take(start + core::seconds{21}, share));
    CHECK(it.left(start + milliseconds{40'999}, share) == Approx(2.5));
    CHECK(it.left(start + core::seconds{41}, share) == Approx(3.5));
}

TEST_CASE("an instance has no share of the slack before the others know it, and a small one without contact")
{
    retry_share it{10};
    CHECK(it.at(start + core::seconds{60}) == 0);
    it.confirm(start + core::seconds{60});
    CHECK(it.at(start + core::seconds{60}) == 0);
    it.on_listed(start);
    CHECK(it.at(start + milliseconds{14'999}) == 0);
    CHECK(it.at(start + core::seconds{15}) == Approx(7));
    CHECK(it.at(start + milliseconds{69'999}) == Approx(7));
    CHECK(it.at(start + core::seconds{70}) == Approx(2));
    it.confirm(start + core::seconds{71});
    CHECK(it.at(start + core::seconds{71}) == Approx(7));
    it.on_unlisted();
    CHECK(it.at(start + core::seconds{71}) == 0);
    it.on_listed(start + core::seconds{71});
    CHECK(it.at(start + core::seconds{72}) == 0);
}

TEST_CASE("an instance that lost contact right after it was listed has no share of the slack")
{
    retry_share it{10};
    it.on_listed(start);
    it.confirm(start + milliseconds{4999});
    CHECK(it.at(start + core::seconds{60}) == 0);
    it.confirm(start + core::seconds{5});
    CHECK(it.at(start + core::seconds{60}) == Approx(2));
}

TEST_CASE(
    "the share of the slack shrinks at once with each instance and grows a minute after the last one left")
{
    auto it = known_share(100.0 / 7, 1);
    it.set_instances(start, 4);
    CHECK(it.at(start) == Approx(2.5));
    it.set_instances(start, 2);
    it.set_instances(start + core::seconds{59}, 2);
    CHECK(it.at(start + core::seconds{59}) == Approx(2.5));
    it.set_instances(start + core::seconds{60}, 2);
    CHECK(it.at(start + core::seconds{60}) == Approx(5));
    it.set_instances(start + core::seconds{61}, 8);
    CHECK(it.at(start + core::seconds{61}) == Approx(1.25));
}

TEST_CASE("an instance with a request a second repeats the first that fails")
{
    const auto share = known_share(222, 91);
    retry_allowance it{{core::seconds{10}, 0.9, 222}};
    for (int s = 0; s < 8; ++s)
        it.on_request(start + core::seconds{s});
    CHECK(it.try_take(start + milliseconds{7100}, share));
}

TEST_CASE("an escalation and a hedge leave some of the share to failed attempts")
{
    CHECK(reserve_fraction(retry_cause::loss) == 0);
    CHECK(reserve_fraction(retry_cause::escalation) > 0);
    CHECK(reserve_fraction(retry_cause::hedge) > reserve_fraction(retry_cause::escalation));
}

TEST_CASE("a session's pin expires after its time to live since the last run")
{
    session_pins it{milliseconds{5000}};
    it.record_run(start, session_hash{1}, core::version_id{"v1"});
    CHECK(it.find(start + milliseconds{5000}, session_hash{1})->str() == "v1");
    CHECK_FALSE(it.find(start + milliseconds{5001}, session_hash{1}));
    it.expire(start + milliseconds{5001});
    CHECK(it.size() == 0);
}

TEST_CASE("an unreachable endpoint is avoided unless there is no other")
{
    endpoint_directory directory;
    directory.put(make_endpoint("e1"));
    directory.put(make_endpoint("e2"));
    endpoint_chooser it{{}, core::failure_domain_id{"n"}};
    endpoint_need need;
    need.service = core::service_id{"s"};
    it.connect_failed(start, core::endpoint_id{"e1"});
    for (int n = 0; n < 4; ++n)
        CHECK(it.choose(start, directory, need)->id.str() == "e2");
    it.connect_failed(start, core::endpoint_id{"e2"});
    CHECK(it.choose(start, directory, need) != nullptr);
}

TEST_CASE("the own failure domain is preferred until it has more requests in flight")
{
    endpoint_directory directory;
    directory.put(make_endpoint("near", "v1", "n"));
    directory.put(make_endpoint("far", "v1", "f"));
    endpoint_chooser it{{}, core::failure_domain_id{"n"}};
    endpoint_need need;
    need.service = core::service_id{"s"};
    for (int n = 0; n < 4; ++n)
        CHECK(it.choose(start, directory, need)->id.str() == "near");
    it.started(core::endpoint_id{"near"});
    it.started(core::endpoint_id{"near"});
    CHECK(it.choose(start, directory, need)->id.str() == "far");
}

TEST_CASE("an excluded version gets no requests, a preferred one gets all if it has endpoints")
{
    endpoint_directory directory;
    directory.put(make_endpoint("o", "v1"));
    directory.put(make_endpoint("n", "v2"));
    endpoint_chooser it{{}, core::failure_domain_id{"n"}};
    endpoint_need need;
    need.service = core::service_id{"s"};
    need.versions.excluded = core::version_id{"v2"};
    CHECK(it.choose(start, directory, need)->id.str() == "o");
    need.versions = {};
    need.versions.only = core::version_id{"v2"};
    CHECK(it.choose(start, directory, need)->id.str() == "n");
    need.versions.only = core::version_id{"v3"};
    CHECK(it.choose(start, directory, need) != nullptr);
    need.versions.is_strict = true;
    CHECK(it.choose(start, directory, need) == nullptr);
}

TEST_CASE(
    "an answer is accepted if its confidence is high, no retry is possible, or the model is the largest")
{
    const cascade_policy it;
    cascade_input in;
    in.sizes = 3;
    in.confidence = 95;
    in.target_latency = milliseconds{1000};
    CHECK(it.accepts(in));
    in.confidence = 10;
    CHECK_FALSE(it.accepts(in));
    in.may_retry = false;
    CHECK(it.accepts(in));
    in.may_retry = true;
    in.size = 2;
    CHECK(it.accepts(in));
}

TEST_CASE("the confidence threshold falls with the wait for the largest model")
{
    const cascade_options options;
    const cascade_policy it{options};
    cascade_input in;
    in.sizes = 3;
    in.target_latency = milliseconds{4000};
    in.larger_read = milliseconds{1000};
    CHECK(it.threshold(in) == options.accept_confidence);
    int before = it.threshold(in);
    for (int wait = 500; wait < 3000; wait += 500)
    {
        in.larger_wait = milliseconds{wait};
        CHECK(it.threshold(in) < before);
        before = it.threshold(in);
    }
    in.larger_wait = milliseconds{3000}; // the larger model would miss the target latency
    CHECK(it.threshold(in) == options.accept_confidence_late);
    in.larger_wait = {};
    in.elapsed = milliseconds{3500}; // would miss the target latency even without a wait
    CHECK(it.threshold(in) == options.accept_confidence_late);
    // An answer with very low confidence is still escalated.
    in.confidence = options.accept_confidence_late - 1;
    CHECK_FALSE(it.accepts(in));
}
