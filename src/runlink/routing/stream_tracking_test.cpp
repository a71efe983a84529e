// Tests of what the forwarder records and announces of streams at engines.

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "runlink/routing/request_forwarder.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

const core::service_id service_name{"s"};
const core::model_id model{"m"};

struct tracked_forwarder
{
    time_point now{core::seconds{100}};
    std::vector<attempt_order> starts;
    std::vector<prompt_sent> announced;
    std::vector<load::stream_ended> ended;
    std::vector<decision> dispatched;
    request_forwarder forwarder;

    explicit tracked_forwarder(load::load_switch is_on, std::uint32_t memory_tokens = 367'000)
        : forwarder{options_with(is_on), core::failure_domain_id{"north"}, core::instance_id{"i1"},
                    make_hooks()}
    {
        forwarder.own_retry_share().on_listed(now - core::seconds{60});
        apply(memory_tokens);
        forwarder.proven_current(now);
        for (int n = 1; n <= 4; ++n)
            forwarder.on_endpoint(now, entry_of(n, 1));
    }

    static forwarder_options options_with(load::load_switch is_on)
    {
        forwarder_options out;
        out.load.engine_load = is_on;
        out.load.scarce_tokens_per_slot = 6000;
        return out;
    }

    void apply(std::uint32_t memory_tokens)
    {
        route it;
        it.name = "llm";
        it.host = "h";
        it.path_prefix = "/";
        it.kind = route_kind::streaming;
        it.resumable = true;
        it.max_attempts = 4;
        it.timeout = milliseconds{20000};
        it.target_latency = milliseconds{4000};
        it.services = {{service_name, 1}};
        service engines{service_name, 0, true, {}, {}};
        engines.engine = {64, memory_tokens, 9};
        forwarder.apply(std::make_shared<const routing_table>(1, std::vector{it}, std::vector{engines},
                                                              std::vector<account>{}, caller_limits{}));
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
        out.cancel = [](core::attempt_id) {};
        out.ask = [](const endpoint_entry&) {};
        out.forward_answer = [](flow_id, core::attempt_id) {};
        out.forward_head = [](flow_id, core::attempt_id) {};
        out.forward_bytes = [](flow_id, std::string_view) {};
        out.forward_end = [](flow_id) {};
        out.break_off = [](flow_id) {};
        out.refuse = [](flow_id, const refusal&) {};
        out.announce_session_run = [](const session_run&) {};
        out.announce_prompt_sent = [this](const prompt_sent& e) { announced.push_back(e); };
        out.announce_prompt_answered = [](const prompt_answered&) {};
        out.announce_stream_ended = [this](const load::stream_ended& e) { ended.push_back(e); };
        out.log = [this](const decision& e)
        {
            if (e.event == "dispatched")
                dispatched.push_back(e);
        };
        out.ended = [](const decision&, core::duration) {};
        return out;
    }

    core::attempt_id request(std::uint64_t flow, std::uint32_t prompt_tokens = 830)
    {
        inbound_request in;
        in.id = core::request_id{std::to_string(flow)};
        in.host = "h";
        in.path = "/x";
        in.time_left = milliseconds{15000};
        in.model = model;
        in.prompt_tokens = prompt_tokens;
        in.max_new_tokens = 950;
        in.length_hint = 290;
        forwarder.on_request(now, flow_id{flow}, in);
        const auto id = starts.back().id;
        forwarder.on_sent(now, id);
        return id;
    }

    void begin(core::attempt_id id)
    {
        attempt_head head;
        head.status = 200;
        head.is_sealed = true;
        head.is_event_stream = true;
        forwarder.on_stream_head(now, id, head);
        forwarder.on_stream_event(now, id, "x", 1);
    }

    const prompt_placement& placement() const { return forwarder.placement(); }
    load::endpoint_state state_of(const core::endpoint_id& id) const
    {
        return placement().streams().state(now, hash_of(id));
    }
};

} // namespace

TEST_CASE("without tracking nothing is announced of streams, and short prompts are not announced")
{
    tracked_forwarder it{load::load_switch::off};
    const auto first = it.request(1);
    it.begin(first);
    it.forwarder.on_stream_end(it.now, first);
    it.request(2, 12'000);
    REQUIRE(it.announced.size() == 1); // the long one
    CHECK(it.announced[0].stream == load::stream_hash{});
    CHECK(it.announced[0].held_tokens == 0);
    CHECK(it.ended.empty());
    CHECK(it.forwarder.streams_tracked() == 0);
    CHECK(it.dispatched[0].running == -1);
}

TEST_CASE(
    "a tracked stream is announced with its prompt, counts until its end, and the end is announced once")
{
    tracked_forwarder it{load::load_switch::on};
    const auto id = it.request(1);
    const auto at = it.starts.back().endpoint.id;
    REQUIRE(it.announced.size() == 1);
    CHECK(it.announced[0].stream != load::stream_hash{});
    CHECK(it.announced[0].made_tokens == 290);
    CHECK(it.announced[0].held_tokens == 830 + 290);
    CHECK(it.dispatched[0].running == 0);
    CHECK(it.dispatched[0].expected_end_ms > 0);
    CHECK(it.state_of(at).running == 1);
    it.begin(id);
    CHECK(it.state_of(at).tokens_left == 290 - 1 - 9); // the first token, and an event of nine
    SECTION("answered")
    {
        it.forwarder.on_stream_end(it.now, id);
    }
    SECTION("lost")
    {
        it.forwarder.on_lost(it.now, id, attempt_loss::broken);
        CHECK(it.state_of(at).running == 0);
        REQUIRE(it.announced.size() == 2); // resumed elsewhere, as another stream
        CHECK(it.announced[1].stream != it.announced[0].stream);
        it.forwarder.on_caller_left(it.now, flow_id{1});
    }
    SECTION("caller left")
    {
        it.forwarder.on_caller_left(it.now, flow_id{1});
    }
    CHECK(it.forwarder.streams_tracked() == 0);
    REQUIRE(it.ended.size() == it.announced.size());
    for (std::size_t n = 0; n < it.ended.size(); ++n)
    {
        CHECK(it.ended[n].stream == it.announced[n].stream);
        CHECK(it.ended[n].endpoint == it.announced[n].endpoint);
    }
}

TEST_CASE("streams of two instances have different hashes, and those of peers are counted")
{
    tracked_forwarder it{load::load_switch::on};
    it.request(1);
    it.request(2);
    CHECK(it.announced[0].stream != it.announced[1].stream);
    auto peer = it.announced[0];
    peer.stream = load::stream_hash{77};
    it.forwarder.on_peer_prompt(it.now, peer);
    CHECK(it.forwarder.streams_tracked() == 3);
    CHECK_FALSE(it.forwarder.local_loads(it.now, milliseconds{30}).loads.empty());
    it.forwarder.on_peer_stream_ended(it.now, {peer.endpoint, peer.stream});
    CHECK(it.forwarder.streams_tracked() == 2);
}

TEST_CASE("tracking follows the configuration in force while it is scarce")
{
    tracked_forwarder it{load::load_switch::scarce};
    CHECK(it.forwarder.active_load().engine_load);
    const auto id = it.request(1);
    it.apply(500'000);
    CHECK_FALSE(it.forwarder.active_load().engine_load);
    CHECK(it.forwarder.streams_tracked() == 0);
    it.begin(id);
    it.forwarder.on_stream_end(it.now, id);
    CHECK(it.ended.size() == 1); // the end is announced
    it.request(2);
    CHECK(it.announced.size() == 1);
}

// Guards against decisions on nothing, and against a model that is never asked since it never was: without a
// forecast it is not considered.
TEST_CASE(
    "a forecast is given once streams were seen to generate tokens, also for models that were not asked")
{
    tracked_forwarder it{load::load_switch::on};
    prompt_need need;
    need.model = model;
    need.own_tokens = need.prompt_tokens = 830;
    need.length = {290, 950};
    need.engine = {64, 367'000, 9};
    const auto to = tracked_forwarder::entry_of(1, 1);
    CHECK_FALSE(it.placement().forecast(it.now, to, need));
    it.begin(it.request(1));
    const auto forecast = it.placement().forecast(it.now, to, need);
    REQUIRE(forecast);
    CHECK(forecast->end > forecast->first_token);
    CHECK(forecast->late_end > forecast->end);
    need.model = core::model_id{"other"};
    const auto other = it.placement().forecast(it.now, to, need);
    REQUIRE(other);
    const auto running = it.placement().state_of(it.now, load::hash_of(to.id)).running + 1;
    CHECK(other->per_token == load::token_speed{}.per_token(need.model, {}, running));
}
