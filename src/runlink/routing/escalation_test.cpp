// Escalations of the forwarder by forecasts, on a paused clock.

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

const service_id pool{"pool"};
const std::vector<model_id> sizes{model_id{"small"}, model_id{"middle"}, model_id{"large"}};
constexpr milliseconds deadline{15000};

/// The fields of a log line that tell why a model was asked.
struct choice_line
{
    std::string event;
    std::string model;
    std::string reason;
    std::int64_t expected_end_ms = -1;
    std::int64_t time_left_ms = -1;
    int confidence = -1;
};

routing_table_ptr make_table()
{
    route llm;
    llm.name = "llm";
    llm.host = "h";
    llm.path_prefix = "/llm/";
    llm.kind = route_kind::streaming;
    llm.resumable = true;
    llm.timeout = milliseconds{60000};
    llm.target_latency = milliseconds{2000};
    llm.target_gap = milliseconds{2000};
    llm.max_attempts = 3;
    llm.model_sizes = sizes;
    llm.services = {{pool, 1}};
    routing::service models;
    models.id = pool;
    models.runs_models = true;
    models.models = {{sizes[0], 0.015}, {sizes[1], 0.11}, {sizes[2], 0.22}};
    models.engine = {64, 367'000, 9};
    return std::make_shared<const routing_table>(1, std::vector<route>{llm},
                                                 std::vector<routing::service>{models},
                                                 std::vector<account>{}, caller_limits{});
}

/// A forwarder with two endpoints, whose forecasts are given by model.
class session
{
public:
    explicit session(load::load_switch choice, bool has_forecasts = true)
        : forwarder_{options(choice, has_forecasts), core::failure_domain_id{"n"}, core::instance_id{"i"},
                     hooks()}
    {
        forwarder_.own_retry_share().on_listed(now_ - core::seconds{60});
        forwarder_.apply(make_table());
        forwarder_.proven_current(now_);
        for (const auto* name : {"e1", "e2"})
        {
            endpoint_entry it;
            it.name = core::endpoint_name{name};
            it.id = endpoint_id_of(it.name, {});
            it.service = pool;
            it.version = core::version_id{"v1"};
            it.failure_domain = core::failure_domain_id{"n"};
            forwarder_.on_endpoint(now_, it);
        }
    }

    /// Sends a request; its smallest model answers with this confidence after `elapsed`.
    void answer_small(int confidence, milliseconds elapsed = milliseconds{200})
    {
        inbound_request it;
        it.id = core::request_id{"r" + std::to_string(++requests_)};
        it.host = "h";
        it.path = "/llm/x";
        it.time_left = deadline;
        it.prompt_tokens = 800;
        it.body_bytes = 3000;
        it.prompt = {{"question", 800}};
        forwarder_.on_request(now_, flow_id{requests_}, it);
        answer_latest(confidence, elapsed);
    }

    void answer_latest(int confidence, milliseconds elapsed)
    {
        const auto id = started.back().id;
        forwarder_.on_sent(now_, id);
        now_ += elapsed;
        forwarder_.tick(now_);
        attempt_head head;
        head.status = 200;
        head.is_sealed = true;
        head.is_event_stream = true;
        head.confidence = confidence;
        forwarder_.on_stream_head(now_, id, head);
    }

    std::string latest_model() const { return started.back().model.str(); }
    const forwarder_counters& counters() const { return forwarder_.counters(); }

    void set_end(std::size_t size, milliseconds end)
    {
        auto& it = forecasts_[sizes[size]];
        it.first_token = milliseconds{100};
        it.per_token = milliseconds{8};
        it.end = end;
        it.late_end = end + end / 4;
    }

    std::vector<attempt_order> started;
    std::vector<choice_line> lines;
    std::size_t heads = 0;

private:
    forwarder_options options(load::load_switch choice, bool has_forecasts)
    {
        forwarder_options out;
        out.load.engine_load = choice;
        out.load.model_choice = choice;
        out.load.scarce_tokens_per_slot = 6000;
        if (has_forecasts)
            out.forecast = [this](time_point, const endpoint_entry&, const prompt_need& need)
            {
                const auto found = forecasts_.find(need.model);
                return found == forecasts_.end() ? std::nullopt : std::optional{found->second};
            };
        return out;
    }

    forwarder_hooks hooks()
    {
        forwarder_hooks to;
        to.start = [this](const attempt_order& it) { started.push_back(it); };
        to.cancel = [](core::attempt_id) {};
        to.ask = [](const endpoint_entry&) {};
        to.forward_answer = [](flow_id, core::attempt_id) {};
        to.forward_head = [this](flow_id, core::attempt_id) { ++heads; };
        to.forward_bytes = [](flow_id, std::string_view) {};
        to.forward_end = [](flow_id) {};
        to.break_off = [](flow_id) {};
        to.refuse = [](flow_id, const refusal&) {};
        to.announce_session_run = [](const session_run&) {};
        to.announce_prompt_sent = [](const prompt_sent&) {};
        to.announce_prompt_answered = [](const prompt_answered&) {};
        to.log = [this](const decision& it)
        {
            if (it.event == "escalated" || it.event == "not_escalated")
                lines.push_back({std::string{it.event}, it.model, std::string{it.reason}, it.expected_end_ms,
                                 it.time_left_ms, it.confidence});
        };
        to.ended = [](const decision&, core::duration) {};
        return to;
    }

    time_point now_{core::seconds{100}};
    std::map<model_id, load::stream_forecast> forecasts_;
    request_forwarder forwarder_;
    std::size_t requests_ = 0;
};

} // namespace

// Guards against escalations that are cut at the deadline, at each confidence and load.
TEST_CASE("no answer is given up for a model that is expected to end after the deadline")
{
    std::size_t to_middle = 0;
    std::size_t kept = 0;
    for (int end = 1000; end <= 31000; end += 1000)
        for (int confidence = 0; confidence <= 100; confidence += 10)
        {
            session it{load::load_switch::on};
            it.set_end(0, milliseconds{1000});
            it.set_end(1, milliseconds{end / 2});
            it.set_end(2, milliseconds{end});
            it.answer_small(confidence);
            const auto left = deadline - milliseconds{200};
            INFO("end " << end << ", confidence " << confidence);
            const auto model = it.latest_model();
            if (milliseconds{end} > left)
                CHECK(model != "large");
            if (milliseconds{end / 2} > left)
                CHECK(model == "small");
            to_middle += model == "middle" ? 1 : 0;
            kept += it.heads;
            for (const auto& e : it.lines)
                if (e.event == "escalated")
                    CHECK(e.expected_end_ms <= e.time_left_ms);
        }
    CHECK(to_middle > 0);
    CHECK(kept > 0);
}

TEST_CASE("the log and the counters tell why a model was asked or an unsure answer was kept")
{
    session it{load::load_switch::on};
    it.set_end(0, milliseconds{1000});
    it.set_end(1, milliseconds{1500});
    it.set_end(2, milliseconds{3000});
    it.answer_small(5);
    CHECK(it.latest_model() == "large");
    it.set_end(2, milliseconds{16000});
    it.answer_small(5);
    CHECK(it.latest_model() == "middle");
    it.set_end(1, milliseconds{16000});
    it.answer_small(5);
    CHECK(it.latest_model() == "small");
    REQUIRE(it.lines.size() == 3);
    CHECK(it.lines[0].event == "escalated");
    CHECK(it.lines[0].model == "large");
    CHECK(it.lines[0].reason == "confidence");
    CHECK(it.lines[0].expected_end_ms == 3000);
    CHECK(it.lines[0].time_left_ms == 14800);
    CHECK(it.lines[1].event == "escalated");
    CHECK(it.lines[1].model == "middle");
    CHECK(it.lines[1].reason == "deadline");
    CHECK(it.lines[2].event == "not_escalated");
    CHECK(it.lines[2].model == "small");
    CHECK(it.lines[2].reason == "deadline");
    CHECK(it.lines[2].expected_end_ms == 16000);
    CHECK(it.counters().escalated == 2);
    CHECK(it.counters().escalated_to_middle == 1);
    CHECK(it.counters().kept_for_time == 1);
    CHECK(it.counters().kept_for_load == 0);
}

TEST_CASE("an unsure answer of the middle model may be given up for the largest")
{
    session it{load::load_switch::on};
    it.set_end(0, milliseconds{1000});
    it.set_end(1, milliseconds{1500});
    it.set_end(2, milliseconds{16000});
    it.answer_small(5);
    REQUIRE(it.latest_model() == "middle");
    it.set_end(2, milliseconds{3000}); // the load has fallen meanwhile
    it.answer_latest(5, milliseconds{100});
    CHECK(it.latest_model() == "large");
    it.answer_latest(5, milliseconds{100}); // no larger one
    CHECK(it.heads == 1);
}

TEST_CASE("a sure answer is kept without a line")
{
    session it{load::load_switch::on};
    it.set_end(1, milliseconds{1500});
    it.set_end(2, milliseconds{3000});
    it.answer_small(90);
    CHECK(it.heads == 1);
    CHECK(it.lines.empty());
}

// Guards against a choice by unknown speeds: the thresholds decide until something is known.
TEST_CASE("without forecasts, or with the switch off, the thresholds decide")
{
    const auto check = [](session& it)
    {
        it.set_end(0, milliseconds{1000});
        it.set_end(1, milliseconds{1500}); // the largest model is unknown
        it.answer_small(49);
        CHECK(it.latest_model() == "large");
        it.answer_small(50);
        CHECK(it.latest_model() == "small");
        REQUIRE(it.lines.size() == 1);
        CHECK(it.lines[0].reason.empty());
        CHECK(it.lines[0].model.empty());
    };
    session on{load::load_switch::on};
    check(on);
    session without{load::load_switch::on, false};
    check(without);
    session off{load::load_switch::off};
    off.set_end(2, milliseconds{16000}); // would not be asked with the switch on
    check(off);
}

TEST_CASE("the switch follows the engines of the configuration")
{
    session it{load::load_switch::scarce}; // 367,000 tokens for 64 slots
    it.set_end(0, milliseconds{1000});
    it.set_end(1, milliseconds{16000});
    it.set_end(2, milliseconds{16000});
    it.answer_small(5);
    CHECK(it.latest_model() == "small");
}
