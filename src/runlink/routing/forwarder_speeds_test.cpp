// What the forwarder learns from streams while the load of engines is tracked.

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

constexpr time_point start{core::seconds{1000}};
const core::service_id engines{"engines"};
const model_id middle{"m"};

routing_table_ptr make_table(std::uint64_t version = 1)
{
    route chat;
    chat.name = "chat";
    chat.host = "h";
    chat.path_prefix = "/chat/";
    chat.kind = route_kind::streaming;
    chat.resumable = true;
    chat.max_attempts = 3;
    chat.services = {{engines, 1}};
    service it;
    it.id = engines;
    it.runs_models = true;
    it.engine = {64, 367'000, 9};
    return std::make_shared<const routing_table>(version, std::vector<route>{chat}, std::vector<service>{it},
                                                 std::vector<account>{}, caller_limits{});
}

/// A forwarder with two endpoints, and the clock and the attempts of its requests.
struct script
{
    explicit script(load::load_switch engine_load)
    {
        forwarder_options options;
        options.load.engine_load = engine_load;
        options.load.scarce_tokens_per_slot = 6000;
        forwarder = std::make_unique<request_forwarder>(options, core::failure_domain_id{"n"},
                                                        core::instance_id{"i"}, hooks());
        forwarder->own_retry_share().on_listed(now - core::seconds{60});
        forwarder->apply(make_table());
        forwarder->proven_current(now);
        for (const auto* name : {"e1", "e2"})
        {
            endpoint_entry out;
            out.name = core::endpoint_name{name};
            out.id = endpoint_id_of(out.name, {});
            out.service = engines;
            out.version = core::version_id{"v1"};
            out.failure_domain = core::failure_domain_id{"n"};
            forwarder->on_endpoint(now, out);
        }
    }

    forwarder_hooks hooks()
    {
        forwarder_hooks out;
        out.start = [this](const attempt_order& it) { orders.push_back(it); };
        out.cancel = [](attempt_id) {};
        out.ask = [](const endpoint_entry&) {};
        out.forward_answer = [](flow_id, attempt_id) {};
        out.forward_head = [](flow_id, attempt_id) {};
        out.forward_bytes = [](flow_id, std::string_view) {};
        out.forward_end = [](flow_id) {};
        out.break_off = [](flow_id) {};
        out.refuse = [](flow_id, const refusal&) {};
        out.announce_session_run = [](const session_run&) {};
        out.announce_prompt_sent = [](const prompt_sent&) {};
        out.announce_prompt_answered = [](const prompt_answered&) {};
        out.log = [](const decision&) {};
        out.ended = [](const decision&, core::duration) {};
        return out;
    }

    void send(std::uint64_t id, std::optional<std::uint64_t> last_event = std::nullopt)
    {
        inbound_request out;
        out.id = core::request_id{std::to_string(id)};
        out.host = "h";
        out.path = "/chat/x";
        out.time_left = milliseconds{15'000};
        out.model = middle;
        out.prompt_tokens = 830;
        out.last_event = last_event;
        const auto sent = orders.size();
        forwarder->on_request(now, flow_id{id}, out);
        REQUIRE(orders.size() == sent + 1);
        begin();
    }

    /// The latest attempt is sent and answered.
    void begin()
    {
        const auto id = orders.back().id;
        REQUIRE(forwarder->may_write(now, id));
        forwarder->on_sent(now, id);
        attempt_head head;
        head.status = 200;
        head.is_sealed = true;
        head.is_event_stream = true;
        forwarder->on_stream_head(now, id, head);
    }

    /// Events of the latest attempt, each after `gap`.
    void events(int count, duration gap)
    {
        for (int n = 0; n < count; ++n)
        {
            now += gap;
            forwarder->on_stream_event(now, orders.back().id, "x", ++event);
        }
    }

    void end() { forwarder->on_stream_end(now, orders.back().id); }

    duration per_token(const endpoint_id& at) const
    {
        return forwarder->token_speeds().per_token(middle, load::hash_of(at), 1);
    }
    load::length_estimate length() const
    {
        return forwarder->answer_lengths().expect("chat", std::nullopt, 0);
    }

    time_point now = start;
    std::uint64_t event = 0;
    std::vector<attempt_order> orders;
    std::unique_ptr<request_forwarder> forwarder;
};

} // namespace

TEST_CASE("the time per token is learned from the events of a stream, nine tokens each")
{
    // Guards against samples of events instead of tokens, and of the time to the first event.
    script it{load::load_switch::scarce};
    it.now += milliseconds{900};
    it.send(1);
    it.now += milliseconds{900};
    it.events(41, milliseconds{72});
    CHECK(it.per_token(it.orders.back().endpoint.id) == milliseconds{8});
}

TEST_CASE("the length of a complete response is learned, and that of a cut one is a lower bound")
{
    script it{load::load_switch::on};
    for (std::uint64_t n = 1; n <= 16; ++n)
    {
        it.send(n);
        it.events(10, milliseconds{20});
        it.end();
        it.event = 0;
    }
    CHECK(it.length() == load::length_estimate{90, 90});
    for (std::uint64_t n = 17; n <= 48; ++n)
    {
        it.send(n);
        it.events(5, milliseconds{20});
        it.forwarder->on_caller_left(it.now, flow_id{n});
        it.event = 0;
    }
    CHECK(it.length() == load::length_estimate{90, 90});
}

TEST_CASE("a resumed stream counts the events of all its attempts")
{
    // Guards against lengths that are too short because an endpoint was lost.
    script it{load::load_switch::on};
    it.send(1);
    it.events(10, milliseconds{20});
    it.forwarder->on_lost(it.now, it.orders.back().id, attempt_loss::broken);
    REQUIRE(it.orders.size() == 2);
    it.begin();
    --it.event; // sent again by the second endpoint
    it.events(11, milliseconds{20});
    it.end();
    load::answer_length expected;
    expected.observe("chat", std::nullopt, 20 * 9);
    CHECK(it.length() == expected.expect("chat", std::nullopt, 0));
}

TEST_CASE("a stream that the caller resumed itself is a lower bound")
{
    script it{load::load_switch::on};
    for (std::uint64_t n = 1; n <= 16; ++n)
    {
        it.event = 20;
        it.send(n, 20);
        it.events(2, milliseconds{20});
        it.end();
        it.event = 0;
        it.send(100 + n);
        it.events(30, milliseconds{20});
        it.end();
    }
    CHECK(it.length() == load::length_estimate{270, 270});
}

TEST_CASE("nothing is learned while load tracking is off")
{
    // Guards against decisions and CPU cost that change for deployments without load tracking.
    script it{load::load_switch::off};
    it.send(1);
    it.events(41, milliseconds{72});
    it.end();
    CHECK(it.per_token(it.orders.back().endpoint.id) == load::token_speed{}.per_token(middle, {}, 1));
    CHECK(it.length() == load::answer_length{}.expect("chat", std::nullopt, 0));
}
