#include <catch2/catch.hpp>

#include <vector>

#include "runlink/routing/request_forwarder.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

const core::service_id service_name{"s"};
/// Within this time a suspected request gets its isolated run.
constexpr milliseconds isolated_run_delay{400};

/// A forwarder of one instance with several endpoints and a simulated clock.
struct forwarder_under_test
{
    time_point now{core::seconds{100}};
    std::vector<attempt_order> starts;
    std::vector<core::attempt_id> cancelled;
    std::vector<refusal> refusals;
    std::vector<core::endpoint_id> probed;
    std::vector<crashes::element_fingerprint> found;
    request_forwarder forwarder{{}, core::failure_domain_id{"north"}, core::instance_id{"i1"}, make_hooks()};

    explicit forwarder_under_test(int endpoints)
    {
        forwarder.own_retry_share().on_listed(now - core::seconds{60});
        route llm_route;
        llm_route.name = "llm";
        llm_route.host = "h";
        llm_route.path_prefix = "/";
        llm_route.kind = route_kind::streaming;
        llm_route.resumable = true;
        llm_route.max_attempts = 4;
        llm_route.timeout = milliseconds{20000};
        llm_route.target_latency = milliseconds{4000};
        llm_route.services = {{service_name, 1}};
        forwarder.apply(std::make_shared<const routing_table>(
            1, std::vector{llm_route}, std::vector{service{service_name, 0, true, {}, {}}},
            std::vector<account>{}, caller_limits{}));
        forwarder.proven_current(now);
        for (int n = 1; n <= endpoints; ++n)
            forwarder.on_endpoint(now, entry_of(n, 1));
        forwarder.keep_house(now);
        advance(milliseconds{2000});
    }

    static endpoint_entry entry_of(int n, std::uint64_t incarnation)
    {
        endpoint_entry out;
        out.name = core::endpoint_name{"e" + std::to_string(n)};
        out.incarnation = core::endpoint_incarnation{incarnation};
        out.id = endpoint_id_of(out.name, out.incarnation);
        out.service = service_name;
        out.failure_domain = core::failure_domain_id{"north"};
        return out;
    }

    forwarder_hooks make_hooks()
    {
        forwarder_hooks out;
        out.start = [this](const attempt_order& e) { starts.push_back(e); };
        out.cancel = [this](core::attempt_id e) { cancelled.push_back(e); };
        out.ask = [this](const endpoint_entry& e) { probed.push_back(e.id); };
        out.forward_answer = [](flow_id, core::attempt_id) {};
        out.forward_head = [](flow_id, core::attempt_id) {};
        out.forward_bytes = [](flow_id, std::string_view) {};
        out.forward_end = [](flow_id) {};
        out.break_off = [](flow_id) {};
        out.refuse = [this](flow_id, const refusal& e) { refusals.push_back(e); };
        out.announce_session_run = [](const session_run&) {};
        out.announce_prompt_sent = [](const prompt_sent&) {};
        out.announce_prompt_answered = [](const prompt_answered&) {};
        out.found_harmful = [this](crashes::element_fingerprint e) { found.push_back(e); };
        out.log = [](const decision&) {};
        out.ended = [](const decision&, core::duration) {};
        return out;
    }

    void advance(milliseconds time)
    {
        for (const auto end = now + time; now < end; now += milliseconds{5})
            forwarder.tick(now);
    }

    void request(std::uint64_t flow)
    {
        inbound_request in;
        in.id = core::request_id{std::to_string(flow)};
        in.host = "h";
        in.path = "/x";
        in.content = crashes::content_hash{7};
        in.time_left = milliseconds{20000};
        forwarder.on_request(now, flow_id{flow}, in);
    }

    /// Runs the latest attempt and breaks its connection.
    void run_and_break()
    {
        const auto id = starts.back().id;
        forwarder.on_sent(now, id);
        advance(milliseconds{100});
        forwarder.on_lost(now, id, attempt_loss::broken);
    }

    /// Like `run_and_break`, but a probe also finds that the endpoint has ended.
    void run_and_end()
    {
        const auto at = starts.back().endpoint.id;
        run_and_break();
        forwarder.on_probe_result(now, at, core::contact::refused);
        advance(milliseconds{30});
    }
};

crashes::element_fingerprint fingerprint()
{
    return crashes::fingerprint_of(crashes::content_hash{7}, core::account_id{});
}

} // namespace

// Guards against a use after free that crashed instances: a loss that made its own request suspected withdrew
// the attempt that was being processed. It needs an endpoint that another instance has already reported as
// ended.
TEST_CASE("a request becomes suspected by the loss of its own attempt")
{
    forwarder_under_test fixture{5};
    fixture.request(1);
    fixture.run_and_end();
    REQUIRE(fixture.starts.size() == 2);
    const auto second = fixture.starts.back().endpoint.id;
    fixture.forwarder.on_crash_news(fixture.now, {{{crashes::hash_of_endpoint_id(second), {}}}, {}, {}});
    fixture.run_and_break();
    CHECK(fixture.starts.size() == 2); // held until its isolated run
    fixture.advance(isolated_run_delay);
    CHECK(fixture.starts.size() == 3);
    CHECK(fixture.refusals.empty());
}

TEST_CASE("two attempts of a suspected request at a restarted endpoint are both withdrawn")
{
    forwarder_under_test fixture{1};
    fixture.request(1);
    fixture.forwarder.on_sent(fixture.now, fixture.starts.back().id);
    fixture.request(2);
    fixture.forwarder.on_sent(fixture.now, fixture.starts.back().id);
    fixture.forwarder.on_crash_news(
        fixture.now, {{{crashes::endpoint_id_hash{1}, {{fingerprint(), milliseconds{100}}}}}, {}, {}});
    fixture.forwarder.on_endpoint(fixture.now, forwarder_under_test::entry_of(1, 2));
    fixture.advance(isolated_run_delay);
    CHECK(fixture.refusals.empty());
}

TEST_CASE("a request found harmful is refused at once, and the refusal says whether it ran")
{
    forwarder_under_test fixture{6};
    fixture.request(1);
    fixture.run_and_end();
    fixture.run_and_end();
    fixture.advance(isolated_run_delay);
    REQUIRE(fixture.starts.size() == 3);
    fixture.run_and_end();
    fixture.advance(isolated_run_delay);
    CHECK(fixture.found == std::vector{fingerprint()});
    REQUIRE(fixture.refusals.size() == 1);
    CHECK(fixture.refusals.back().why.code == core::errc::request_harmful);
    CHECK_FALSE(fixture.refusals.back().not_run); // this request ran at three endpoints
    fixture.request(2);
    REQUIRE(fixture.refusals.size() == 2);
    CHECK(fixture.refusals.back().not_run);
    CHECK(fixture.refusals.back().status == 503);
    CHECK(fixture.refusals.back().why.retry_after > milliseconds{60000});
    CHECK(fixture.starts.size() == 3);
}

TEST_CASE("copies queued at endpoints are withdrawn when their request becomes suspected")
{
    forwarder_under_test fixture{6};
    fixture.request(1);
    fixture.request(2);
    fixture.forwarder.on_sent(fixture.now, fixture.starts[0].id);
    fixture.forwarder.on_sent(fixture.now, fixture.starts[1].id);
    for (std::uint64_t n = 1; n <= 2; ++n)
        fixture.forwarder.on_crash_news(
            fixture.now, {{{crashes::endpoint_id_hash{n}, {{fingerprint(), milliseconds{100}}}}}, {}, {}});
    fixture.advance(milliseconds{10});
    CHECK(fixture.cancelled.size() == 2);
    fixture.advance(isolated_run_delay);
    CHECK(fixture.starts.size() == 3); // one copy at a time
}

TEST_CASE(
    "no other request is sent to an endpoint that runs a suspected one, unless there is no other endpoint")
{
    forwarder_under_test fixture{2};
    const auto at = forwarder_under_test::entry_of(1, 1).id;
    fixture.forwarder.on_crash_news(fixture.now,
                                    {{}, {{fingerprint(), crashes::hash_of_endpoint_id(at)}}, {}});
    for (std::uint64_t n = 1; n <= 4; ++n)
    {
        inbound_request in;
        in.id = core::request_id{std::to_string(n)};
        in.host = "h";
        in.path = "/x";
        in.content = crashes::content_hash{100 + n};
        in.time_left = milliseconds{20000};
        fixture.forwarder.on_request(fixture.now, flow_id{n}, in);
        CHECK(fixture.starts.back().endpoint.id != at);
    }
    fixture.forwarder.endpoints().remove(fixture.now, core::endpoint_name{"e2"});
    inbound_request last;
    last.id = core::request_id{"last"};
    last.host = "h";
    last.path = "/x";
    last.content = crashes::content_hash{200};
    last.time_left = milliseconds{20000};
    fixture.forwarder.on_request(fixture.now, flow_id{9}, last);
    CHECK(fixture.starts.back().endpoint.id == at);
}

TEST_CASE("the end of a resumed stream without an event of its own does not clear a suspected request")
{
    forwarder_under_test fixture{6};
    fixture.request(1);
    fixture.run_and_end();
    fixture.run_and_end();
    fixture.advance(isolated_run_delay);
    const auto trial = fixture.starts.back().id;
    fixture.forwarder.on_sent(fixture.now, trial);
    fixture.forwarder.on_stream_head(fixture.now, trial, {200, false, true, true, {}});
    fixture.forwarder.on_stream_end(fixture.now, trial);
    CHECK(fixture.forwarder.attribution().suspicion_of(fixture.now, fingerprint()).ends == 2);
}

// Guards against clearing a harmful request by error answers: endpoints of a bad version answered it with 500
// within milliseconds, which cleared it at every instance, and 40 endpoints ended where 5 would have.
TEST_CASE("an error answer of an endpoint does not clear a suspected request")
{
    forwarder_under_test fixture{6};
    fixture.request(1);
    fixture.run_and_end();
    fixture.run_and_end();
    fixture.advance(isolated_run_delay);
    const auto trial = fixture.starts.back().id;
    fixture.forwarder.on_sent(fixture.now, trial);
    fixture.forwarder.on_answer(fixture.now, trial, {500, false, true, false, {}});
    CHECK(fixture.forwarder.attribution().suspicion_of(fixture.now, fingerprint()).ends == 2);
}
