// Measures the processor time that a forwarded request takes, and how evenly many instances that each handle
// few requests use the endpoints. docs/CAPACITY.md quotes the figures.

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <vector>

#include <CLI/CLI.hpp>

#include "report.hpp"
#include "runlink/core/clock.hpp"
#include "runlink/core/hash.hpp"
#include "runlink/routing/request_forwarder.hpp"

namespace
{

using namespace runlink;
using namespace runlink::bench;
using routing::request_forwarder;

constexpr int domain_count = 5;
constexpr int plain_one_in = 33; ///< one endpoint of this many serves the plain service
const core::service_id plain{"plain"};
const core::service_id models{"models"};

routing::routing_table_ptr make_table()
{
    routing::route look;
    look.name = "look";
    look.host = "api.example";
    look.path_prefix = "/look/";
    look.kind = routing::route_kind::unsafe;
    look.is_public = true;
    look.services = {{plain, 1}};
    auto ask = look;
    ask.name = "ask";
    ask.path_prefix = "/ask/";
    ask.kind = routing::route_kind::streaming;
    ask.resumable = true;
    ask.model_sizes = {core::model_id{"small"}, core::model_id{"large"}};
    ask.services = {{models, 1}};
    routing::service service;
    service.id = models;
    service.runs_models = true;
    routing::service plain_service;
    plain_service.id = plain;
    return std::make_shared<const routing::routing_table>(
        1, std::vector{look, ask}, std::vector{service, plain_service}, std::vector<routing::account>{},
        routing::caller_limits{});
}

std::vector<routing::endpoint_entry> make_endpoints(int n)
{
    std::vector<routing::endpoint_entry> out;
    for (int i = 0; i < n; ++i)
    {
        routing::endpoint_entry it;
        it.name = core::endpoint_name{"i-" + core::stable_digest(std::to_string(i)).substr(0, 8)};
        it.incarnation = core::endpoint_incarnation{1'700'000'000'000};
        it.id = routing::endpoint_id_of(it.name, it.incarnation);
        it.service = i % plain_one_in == 0 ? plain : models;
        it.host = "10.1.0.1";
        it.port = 80;
        it.failure_domain = core::failure_domain_id{"domain-" + std::to_string(i % domain_count)};
        it.version = core::version_id{"v1"};
        it.slots = 24;
        out.push_back(std::move(it));
    }
    return out;
}

routing::inbound_request make_request(bool runs_models, std::uint64_t n)
{
    routing::inbound_request out;
    out.id = core::request_id{"r" + std::to_string(n)};
    out.host = "api.example";
    out.path = runs_models ? "/ask/x" : "/look/x";
    out.time_left = core::milliseconds{8000};
    if (!runs_models)
        return out;
    constexpr std::uint32_t shared_tokens = 6300;
    constexpr std::uint32_t own_tokens = 2890;
    constexpr std::uint64_t subjects = 5000;
    out.prompt = {{"s" + std::to_string(n % subjects), shared_tokens}, {out.id.str(), own_tokens}};
    out.prompt_tokens = shared_tokens + own_tokens;
    out.body_bytes = 9200;
    return out;
}

/// An instance whose attempts are recorded and then lost to the measurement.
struct instance
{
    std::vector<core::endpoint_id> sent;
    request_forwarder it;

    instance(const std::string& id, int domain)
        : it{options_of(id), core::failure_domain_id{"domain-" + std::to_string(domain)},
             core::instance_id{id}, hooks()}
    {
    }

    static routing::forwarder_options options_of(const std::string& id)
    {
        routing::forwarder_options out;
        out.chooser.rotation_start = core::stable_hash(id);
        return out;
    }
    routing::forwarder_hooks hooks()
    {
        routing::forwarder_hooks out;
        out.start = [this](const routing::attempt_order& e) { sent.push_back(e.endpoint.id); };
        out.cancel = [](core::attempt_id) {};
        out.ask = [](const routing::endpoint_entry&) {};
        out.forward_answer = [](routing::flow_id, core::attempt_id) {};
        out.forward_head = [](routing::flow_id, core::attempt_id) {};
        out.forward_bytes = [](routing::flow_id, std::string_view) {};
        out.forward_end = [](routing::flow_id) {};
        out.break_off = [](routing::flow_id) {};
        out.refuse = [](routing::flow_id, const routing::refusal&) {};
        out.announce_session_run = [](const routing::session_run&) {};
        out.announce_prompt_sent = [](const routing::prompt_sent&) {};
        out.announce_prompt_answered = [](const routing::prompt_answered&) {};
        out.log = [](const routing::decision&) {};
        out.ended = [](const routing::decision&, core::duration) {};
        return out;
    }
};

std::unique_ptr<instance> make_instance(int n, const std::vector<routing::endpoint_entry>& endpoints,
                                        core::time_point now)
{
    auto out = std::make_unique<instance>("instance-" + std::to_string(n), n % domain_count);
    out->it.apply(make_table());
    out->it.proven_current(now);
    out->it.on_endpoints(now, endpoints, {});
    return out;
}

/// Microseconds of one request, as the median of several.
double request_us(int endpoints, bool runs_models)
{
    constexpr int requests = 60;
    core::manual_clock clock;
    clock.advance(core::seconds{10});
    auto by = make_instance(0, make_endpoints(endpoints), clock.now());
    std::vector<double> all;
    for (int n = 0; n < requests; ++n)
    {
        clock.advance(core::seconds{1});
        by->it.proven_current(clock.now());
        const auto begin = std::chrono::steady_clock::now();
        by->it.on_request(clock.now(), routing::flow_id{static_cast<std::uint64_t>(n + 1)},
                          make_request(runs_models, static_cast<std::uint64_t>(n)));
        all.push_back(
            std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - begin).count());
        by->it.on_caller_left(clock.now(), routing::flow_id{static_cast<std::uint64_t>(n + 1)});
    }
    std::sort(all.begin(), all.end());
    return all[all.size() / 2];
}

/// Requests at the busiest endpoint of a service as a multiple of the mean, when each instance handles a few.
double busiest_to_mean(int instances, int endpoints, bool runs_models, int requests_each)
{
    core::manual_clock clock;
    clock.advance(core::seconds{10});
    const auto all = make_endpoints(endpoints);
    std::map<core::endpoint_id, int> counts;
    int total = 0;
    for (int n = 0; n < instances; ++n)
    {
        auto by = make_instance(n, all, clock.now());
        for (int i = 0; i < requests_each; ++i)
        {
            const auto number = static_cast<std::uint64_t>(n) * requests_each + static_cast<std::uint64_t>(i);
            by->it.on_request(clock.now(), routing::flow_id{number + 1}, make_request(runs_models, number));
            by->it.on_caller_left(clock.now(), routing::flow_id{number + 1});
        }
        for (const auto& id : by->sent)
            ++counts[id];
        total += requests_each;
    }
    const auto service = runs_models ? models : plain;
    const auto of_service =
        std::count_if(all.begin(), all.end(), [&](const auto& it) { return it.service == service; });
    int most = 0;
    for (const auto& [id, n] : counts)
        most = std::max(most, n);
    return most * static_cast<double>(of_service) / total;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"bench_choice: cost and spread of the choice of an endpoint"};
    std::string path;
    int instances = 200;
    cli.add_option("--json", path, "Append the results to this file");
    cli.add_option("--instances", instances, "Instances in the measurement of the spread");
    CLI11_PARSE(cli, argc, argv);
    report costs{{"endpoints", "plain_us", "model_us"}};
    for (const int n : {200, 2000, 10'000, 20'000})
        costs.add_row({n, request_us(n, false), request_us(n, true)});
    costs.finish("processor time of a request", path);
    report spread{{"instances", "endpoints", "plain_busiest_to_mean", "model_busiest_to_mean"}};
    constexpr int requests_each = 10;
    const auto endpoints = instances * 10;
    spread.add_row({instances, endpoints, busiest_to_mean(instances, endpoints, false, requests_each),
                    busiest_to_mean(instances, endpoints, true, requests_each)});
    spread.finish("spread of requests", path);
    return 0;
}
