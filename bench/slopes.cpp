// Measures how processor time, memory and message sizes of the decisions grow with the number of entries.
// The figures of docs/CAPACITY.md come from here.

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

/// A least-squares line through the measured points.
struct line
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

double bytes_in_use()
{
    return static_cast<double>(mallinfo2().uordblks);
}

/// Microseconds of one call, the median of several rounds.
template <class Action>
double microseconds_of(int calls, Action action)
{
    constexpr int rounds = 7;
    std::vector<double> took;
    for (int r = 0; r < rounds; ++r)
    {
        const auto begin = steady::now();
        for (int n = 0; n < calls; ++n)
            action(n);
        took.push_back(std::chrono::duration<double, std::micro>(steady::now() - begin).count() / calls);
    }
    std::sort(took.begin(), took.end());
    return took[rounds / 2];
}

core::member_info member(int n)
{
    const auto text = std::to_string(n);
    return {core::instance_id{"instance-" + text}, core::incarnation_id{"0123456789ab" + text},
            core::failure_domain_id{"domain-" + std::to_string(n % 17)},
            "10.0." + std::to_string(n / 250) + ".7:7100"};
}

core::heartbeat beat_of(int members, int versions)
{
    core::heartbeat it;
    it.ready = true;
    it.revision = core::config_revision{790};
    for (int n = 0; n < members; ++n)
        it.members.push_back(member(n));
    for (int n = 0; n < versions; ++n)
        it.versions.push_back({{core::model_id{"model-" + std::to_string(n)}, core::version_id{"version-1"}},
                               100000,
                               90000,
                               1000,
                               10,
                               false});
    return it;
}

core::configuration configuration_of(int endpoints)
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

void heartbeats(const std::string& path)
{
    report out{{"members", "bytes", "encode µs", "decode µs", "take in µs", "owner of 64 µs"}};
    line bytes;
    line micros;
    for (const int n : {7, 20, 50, 100, 200, 350})
    {
        const core::peer_envelope envelope{"d", member(0), beat_of(n, 24)};
        const auto wire = proto::encode(envelope);
        const double encode = microseconds_of(200, [&](int) { (void)proto::encode(envelope); });
        const double decode = microseconds_of(200, [&](int) { (void)proto::decode(wire); });
        core::membership view{member(0), {}};
        for (int k = 1; k < n; ++k)
            view.on_heartbeat({}, member(k), beat_of(n, 24));
        const auto it = beat_of(n, 24);
        const double take =
            microseconds_of(100, [&](int k) { view.on_heartbeat({}, member(1 + k % (n - 1)), it); });
        const double owner = microseconds_of(5,
                                             [&](int k)
                                             {
                                                 view.set_self_state(k % 2 == 0, false);
                                                 for (std::uint64_t p = 0; p < 64; ++p)
                                                     (void)view.owner_of(core::partition_id{p});
                                             });
        bytes.add(n, static_cast<double>(wire.size()));
        micros.add(n, encode + decode + take);
        out.add({n, wire.size(), encode, decode, take, owner});
    }
    out.finish("heartbeat with 24 versions, by members; slope " + std::to_string(bytes.slope()) +
                   " bytes and " + std::to_string(micros.slope()) + " µs a member",
               path);
}

void selection(const std::string& path)
{
    report out{{"endpoints", "pick µs", "capacity µs", "bytes an endpoint"}};
    line micros;
    for (const int n : {10, 50, 100, 200, 400, 800, 1200})
    {
        const auto before = bytes_in_use();
        const auto configuration = std::make_shared<const core::configuration>(configuration_of(n));
        const double bytes = (bytes_in_use() - before) / n;
        std::mt19937_64 random{1};
        core::endpoint_selector it{{}, [](const core::endpoint_id&) { return false; }, random};
        it.apply(configuration);
        core::endpoint_demand demand;
        demand.version = configuration->pools[0].endpoints[0].versions[0];
        const double pick = microseconds_of(500, [&](int) { (void)it.pick({}, demand); });
        const double capacity = microseconds_of(500, [&](int) { (void)it.capacity({}, demand); });
        micros.add(n, pick);
        out.add({n, pick, capacity, bytes});
    }
    out.finish("choice of an endpoint; slope " + std::to_string(micros.slope()) + " µs an endpoint", path);
}

core::store_port instant_store(std::map<std::string, core::store_value>& values)
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

core::ledger_entry settlement(int n, std::size_t answer)
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

void ledger(const std::string& path)
{
    report out{{"records", "answer bytes", "settle µs", "bytes a record", "stored bytes an entry"}};
    for (const std::size_t answer : {std::size_t{0}, std::size_t{2048}})
        for (const int n : {1000, 5000, 20000})
        {
            std::map<std::string, core::store_value> values;
            core::ledger_hooks hooks{instant_store(values),
                                     proto::make_ledger_codec(),
                                     [] { return core::wall_time{1}; },
                                     [](const core::incarnation_id&) { return true; },
                                     [] { return core::batch_id{"b"}; },
                                     [](core::time_point) { return true; }};
            core::ledger_options options;
            options.checkpoint_every = 1'000'000'000;
            core::ledger_partition it{core::partition_id{0}, core::incarnation_id{"a"}, options, hooks};
            it.acquire({});
            const auto before = bytes_in_use();
            const auto begin = steady::now();
            for (int k = 0; k < n; ++k)
                it.submit({}, settlement(k, answer), [](const core::ledger_reply&) {});
            const double micros =
                std::chrono::duration<double, std::micro>(steady::now() - begin).count() / n;
            core::ledger_segment segment;
            segment.entries = {settlement(1, answer)};
            const auto stored = hooks.codec.encode_segment(segment).size();
            out.add({n, answer, micros, (bytes_in_use() - before) / n, stored});
        }
    out.finish("ledger partition: one write for each settlement", path);
}

void configurations(const std::string& path)
{
    report out{{"endpoints", "document bytes", "parse ms", "print ms"}};
    for (const int n : {10, 100, 400, 1200})
    {
        auto it = configuration_of(n);
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
        const double parse = microseconds_of(3, [&](int) { (void)core::parse_configuration(text).value(); });
        const double print = microseconds_of(3, [&](int) { (void)print_configuration(it); });
        out.add({n, text.size(), parse / 1000, print / 1000});
    }
    out.finish("configuration document", path);
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"Slopes of the decisions' costs"};
    std::string path;
    cli.add_option("--json", path, "Append the results to this file");
    CLI11_PARSE(cli, argc, argv);
    heartbeats(path);
    selection(path);
    ledger(path);
    configurations(path);
}
