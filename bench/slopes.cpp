// Measures how processor time, memory use and message sizes grow with the number of members, endpoints and
// ledger records. docs/CAPACITY.md quotes the figures that this program prints.

#include <chrono>
#include <malloc.h>
#include <memory>

#include <CLI/CLI.hpp>

#include "report.hpp"
#include "runlink/core/endpoint_selector.hpp"
#include "runlink/core/ledger_partition.hpp"
#include "runlink/core/membership.hpp"
#include "runlink/proto/codec.hpp"

namespace
{

using namespace runlink;
using namespace runlink::bench;
using steady = std::chrono::steady_clock;

/// Fits a line to the measured points by least squares.
struct linear_fit
{
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    int n = 0;

    void add(double x, double y)
    {
        sum_x += x;
        sum_y += y;
        sum_xx += x * x;
        sum_xy += x * y;
        ++n;
    }
    double slope() const { return (n * sum_xy - sum_x * sum_y) / (n * sum_xx - sum_x * sum_x); }
    double at(double x) const { return (sum_y - slope() * sum_x) / n + slope() * x; }
};

/// Bytes that the process has allocated on the heap.
double bytes_in_use()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// The duration of one call in microseconds: each round averages over `calls` calls, and the result is the
/// median of the rounds. `action` receives the number of the call.
template <class Action>
double median_call_us(int calls, Action action)
{
    constexpr int rounds = 7;
    std::vector<double> rounds_us;
    for (int r = 0; r < rounds; ++r)
    {
        const auto begin = steady::now();
        for (int n = 0; n < calls; ++n)
            action(n);
        rounds_us.push_back(std::chrono::duration<double, std::micro>(steady::now() - begin).count() / calls);
    }
    std::sort(rounds_us.begin(), rounds_us.end());
    return rounds_us[rounds / 2];
}

core::member_info make_member(int n)
{
    const auto text = std::to_string(n);
    return {core::instance_id{"instance-" + text}, core::incarnation_id{"0123456789ab" + text},
            core::failure_domain_id{"domain-" + std::to_string(n % 17)},
            "10.0." + std::to_string(n / 250) + ".7:7100"};
}

core::heartbeat make_heartbeat(int members, int versions)
{
    core::heartbeat it;
    it.ready = true;
    it.revision = core::config_revision{790};
    for (int n = 0; n < members; ++n)
        it.members.push_back(make_member(n));
    for (int n = 0; n < versions; ++n)
        it.versions.push_back({{core::model_id{"model-" + std::to_string(n)}, core::version_id{"version-1"}},
                               100000,
                               90000,
                               1000,
                               10,
                               false});
    return it;
}

core::configuration make_configuration(int endpoints)
{
    core::configuration it;
    it.deployment = "d";
    core::pool_settings pool;
    pool.id = core::pool_id{"p"};
    for (int n = 0; n < endpoints; ++n)
    {
        core::endpoint_settings e;
        e.id = core::endpoint_id{"worker-" + std::to_string(n)};
        e.host = "10.1.2.3";
        e.port = 8000;
        e.failure_domain = core::failure_domain_id{"domain-1"};
        e.versions = {{core::model_id{"model-" + std::to_string(n % 12)}, core::version_id{"a"}},
                      {core::model_id{"model-" + std::to_string(n % 12)}, core::version_id{"b"}}};
        pool.endpoints.push_back(e);
    }
    it.pools.push_back(pool);
    return it;
}

void measure_heartbeats(const std::string& path)
{
    report out{{"members", "bytes", "encode µs", "decode µs", "take in µs", "owner of 64 µs"}};
    linear_fit bytes;
    linear_fit cost_us;
    for (const int n : {7, 20, 50, 100, 200, 350})
    {
        const core::peer_envelope envelope{"d", make_member(0), make_heartbeat(n, 24)};
        const auto wire = proto::encode(envelope);
        const double encode_us = median_call_us(200, [&](int) { (void)proto::encode(envelope); });
        const double decode_us = median_call_us(200, [&](int) { (void)proto::decode(wire); });
        core::membership view{make_member(0), {}};
        for (int k = 1; k < n; ++k)
            view.on_heartbeat({}, make_member(k), make_heartbeat(n, 24));
        const auto it = make_heartbeat(n, 24);
        const double on_heartbeat_us =
            median_call_us(100, [&](int k) { view.on_heartbeat({}, make_member(1 + k % (n - 1)), it); });
        const double owner_us = median_call_us(5,
                                               [&](int k)
                                               {
                                                   view.set_self_state(k % 2 == 0, false);
                                                   for (std::uint64_t p = 0; p < 64; ++p)
                                                       (void)view.owner_of(core::partition_id{p});
                                               });
        bytes.add(n, static_cast<double>(wire.size()));
        cost_us.add(n, encode_us + decode_us + on_heartbeat_us);
        out.add_row({n, wire.size(), encode_us, decode_us, on_heartbeat_us, owner_us});
    }
    out.finish("heartbeat with 24 versions, by members; slope " + std::to_string(bytes.slope()) +
                   " bytes and " + std::to_string(cost_us.slope()) + " µs a member",
               path);
}

void measure_selection(const std::string& path)
{
    report out{{"endpoints", "pick µs", "capacity µs", "bytes an endpoint"}};
    linear_fit cost_us;
    for (const int n : {10, 50, 100, 200, 400, 800, 1200})
    {
        const auto before = bytes_in_use();
        const auto configuration = std::make_shared<const core::configuration>(make_configuration(n));
        const double bytes = (bytes_in_use() - before) / n;
        std::mt19937_64 random{1};
        core::endpoint_selector it{{}, [](const core::endpoint_id&) { return false; }, random};
        it.apply(configuration);
        core::endpoint_demand demand;
        demand.version = configuration->pools[0].endpoints[0].versions[0];
        const double pick = median_call_us(500, [&](int) { (void)it.pick({}, demand); });
        const double capacity = median_call_us(500, [&](int) { (void)it.capacity({}, demand); });
        cost_us.add(n, pick);
        out.add_row({n, pick, capacity, bytes});
    }
    out.finish("choice of an endpoint; slope " + std::to_string(cost_us.slope()) + " µs an endpoint", path);
}

/// A store that answers at once. It reads from `values`; writes succeed but are not kept.
core::store_port make_instant_store(std::map<std::string, core::store_value>& values)
{
    core::store_port it;
    it.get = [&values](const std::string& key, const core::store_read_handler& handler)
    {
        const auto found = values.find(key);
        if (found == values.end())
            return handler(core::failure{core::errc::store_absent, key});
        handler(found->second);
    };
    it.put = [](const std::string&, const std::string&, core::store_condition,
                const core::store_write_handler& handler) { handler(std::uint64_t{1}); };
    it.erase = [](const std::string&) {};
    return it;
}

core::ledger_entry make_settlement(int n, std::size_t answer)
{
    core::ledger_entry it;
    it.kind = core::entry_kind::settle;
    it.bill = core::bill_id{"k:account/" + std::to_string(n)};
    it.request = core::request_id{"0123456789abcdef-" + std::to_string(n)};
    it.holder = core::incarnation_id{"0123456789abcdef"};
    it.account = core::account_id{"account"};
    it.keyed = true;
    it.fingerprint = std::string(32, 'f');
    it.version = {core::model_id{"model"}, core::version_id{"version"}};
    it.endpoint = core::endpoint_id{"worker-1"};
    it.answer = {answer > 0, 200, "application/json", std::string(answer, 'x')};
    return it;
}

void measure_ledger(const std::string& path)
{
    report out{{"records", "answer bytes", "settle µs", "bytes a record", "stored bytes an entry"}};
    for (const std::size_t answer : {std::size_t{0}, std::size_t{2048}})
        for (const int n : {1000, 5000, 20000})
        {
            std::map<std::string, core::store_value> values;
            core::ledger_hooks hooks{
                make_instant_store(values),         proto::make_ledger_codec(),
                [] { return core::wall_time{1}; },  [](const core::incarnation_id&) { return true; },
                [] { return core::batch_id{"b"}; }, [](core::time_point) { return true; }};
            core::ledger_options options;
            options.checkpoint_every = 1'000'000'000;
            core::ledger_partition it{core::partition_id{0}, core::incarnation_id{"a"}, options, hooks};
            it.acquire({});
            const auto before = bytes_in_use();
            const auto begin = steady::now();
            for (int k = 0; k < n; ++k)
                it.submit({}, make_settlement(k, answer), [](const core::ledger_reply&) {});
            const double cost_us =
                std::chrono::duration<double, std::micro>(steady::now() - begin).count() / n;
            core::ledger_segment segment;
            segment.entries = {make_settlement(1, answer)};
            const auto stored = hooks.codec.encode_segment(segment).size();
            out.add_row({n, answer, cost_us, (bytes_in_use() - before) / n, stored});
        }
    out.finish("ledger partition: one write for each settlement", path);
}

void measure_configurations(const std::string& path)
{
    report out{{"endpoints", "document bytes", "parse ms", "print ms"}};
    for (const int n : {10, 100, 400, 1200})
    {
        auto it = make_configuration(n);
        for (int m = 0; m < 12; ++m)
        {
            core::model_settings model;
            model.id = core::model_id{"model-" + std::to_string(m)};
            for (const char* v : {"a", "b"})
            {
                core::version_settings version;
                version.id = core::version_id{v};
                model.versions.push_back(version);
            }
            it.models.push_back(model);
        }
        const auto text = print_configuration(it);
        const double parse = median_call_us(3, [&](int) { (void)core::parse_configuration(text).value(); });
        const double print = median_call_us(3, [&](int) { (void)print_configuration(it); });
        out.add_row({n, text.size(), parse / 1000, print / 1000});
    }
    out.finish("configuration document", path);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"Measures how processor time, memory use and message sizes grow with the number of entries"};
    std::string path;
    cli.add_option("--json", path, "Append the results to this file");
    CLI11_PARSE(cli, argc, argv);
    measure_heartbeats(path);
    measure_selection(path);
    measure_ledger(path);
    measure_configurations(path);
}
