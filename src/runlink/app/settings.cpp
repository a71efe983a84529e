#include "runlink/app/settings.hpp"

#include <charconv>
#include <fstream>
#include <sstream>

#include "runlink/core/json_reader.hpp"

namespace runlink::app
{
namespace
{

using core::json_object_reader;

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_ms = 600'000;
constexpr std::int64_t max_bytes = 1LL << 30;
constexpr std::int64_t max_instances = 100'000;
constexpr std::int64_t max_partitions = 4096;

bool is_ip_address(std::string_view it)
{
    return !it.empty() && it.find_first_not_of("0123456789abcdefABCDEF.:") == std::string_view::npos &&
           it.find_first_of(".:") != std::string_view::npos;
}

host_port read_host_port(json_object_reader& in, std::int64_t min_port)
{
    host_port it;
    it.host = in.required_string("host");
    if (!it.host.empty() && !is_ip_address(it.host))
        in.fault("host", "must be an IP address");
    it.port = static_cast<std::uint16_t>(in.required_integer("port", min_port, max_port));
    return it;
}

host_port read_address(json_object_reader& in, const std::string& name)
{
    const auto text = in.required_string(name);
    const auto it = parse_host_port(text);
    if (!text.empty() && !it)
        in.fault(name, "must be an IP address and a port, such as 10.0.0.1:7100");
    return it.value_or(host_port{});
}

void read_listen(json_object_reader& in, settings& it)
{
    it.callers = read_address(in, "callers");
    it.peers = read_address(in, "peers");
}

void read_store(json_object_reader& in, settings& it)
{
    const auto address = read_host_port(in, 1);
    it.store.host = address.host;
    it.store.port = address.port;
    it.store.timeout_ms = static_cast<int>(in.optional_integer("timeout_ms", 2000, 1, max_ms));
}

void read_seeds(json_object_reader& in, settings& it)
{
    it.seeds = in.optional_strings("seeds");
    for (std::size_t n = 0; n < it.seeds.size(); ++n)
        if (!parse_host_port(it.seeds[n]))
            in.fault("seeds[" + std::to_string(n) + "]", "must be an IP address and a port");
}

void read_bounds(json_object_reader& in, settings& it)
{
    auto& out = it.bounds;
    out.max_header_bytes =
        static_cast<std::size_t>(in.optional_integer("max_header_bytes", 16384, 1024, max_bytes));
    out.max_body_bytes =
        static_cast<std::size_t>(in.optional_integer("max_body_bytes", 4194304, 1024, max_bytes));
    out.max_connections = static_cast<int>(in.optional_integer("max_connections", 4096, 1, 1'000'000));
    out.header_timeout_ms = static_cast<int>(in.optional_integer("header_timeout_ms", 10000, 1, max_ms));
    out.body_timeout_ms = static_cast<int>(in.optional_integer("body_timeout_ms", 30000, 1, max_ms));
    out.idle_timeout_ms = static_cast<int>(in.optional_integer("idle_timeout_ms", 75000, 1, max_ms));
}

void read_ledger(json_object_reader& in, settings& it)
{
    it.ledger_partitions =
        static_cast<std::uint64_t>(in.optional_integer("partitions", 16, 1, max_partitions));
    it.ledger_writes_per_second = in.optional_number("writes_per_second", 200, 1, 100000);
}

void read_instance(json_object_reader& in, settings& it)
{
    it.id = core::instance_id{in.required_string("id")};
    it.failure_domain = core::failure_domain_id{in.required_string("failure_domain")};
}

void read_log(json_object_reader& in, settings& it)
{
    it.log_level = in.optional_string("level", "info");
    if (it.log_level != "debug" && it.log_level != "info" && it.log_level != "warning" &&
        it.log_level != "error")
        in.fault("level", "must be debug, info, warning or error");
}

void read_settings(json_object_reader& in, settings& it)
{
    it.deployment = in.required_string("deployment");
    const auto required = [&](const char* name, const std::function<void(json_object_reader&)>& read)
    {
        if (!in.object(name, read))
            in.fault(name, "is missing");
    };
    required("instance", [&](auto& e) { read_instance(e, it); });
    required("listen", [&](auto& e) { read_listen(e, it); });
    required("store", [&](auto& e) { read_store(e, it); });
    in.object("platform", [&](auto& e) { it.platform = read_host_port(e, 1); });
    in.object("ledger", [&](auto& e) { read_ledger(e, it); });
    in.object("bounds", [&](auto& e) { read_bounds(e, it); });
    in.object("log", [&](auto& e) { read_log(e, it); });
    read_seeds(in, it);
    it.expected_instances =
        static_cast<std::uint32_t>(in.optional_integer("expected_instances", 1, 1, max_instances));
    it.secrets_environment = in.required_string("secrets_environment");
    it.operator_key_hashes = in.optional_strings("operator_key_hashes");
    it.balancer_wait = core::milliseconds{in.optional_integer("balancer_wait_ms", 2000, 0, max_ms)};
    it.tick = core::milliseconds{in.optional_integer("tick_ms", 10, 1, 1000)};
}

} // namespace

std::optional<host_port> parse_host_port(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || !is_ip_address(text.substr(0, colon)))
        return std::nullopt;
    host_port it;
    it.host = std::string{text.substr(0, colon)};
    const auto* end = text.data() + text.size();
    const auto [stop, ec] = std::from_chars(text.data() + colon + 1, end, it.port);
    if (ec != std::errc{} || stop != end)
        return std::nullopt;
    return it;
}

core::result<settings> parse_settings(std::string_view text)
{
    core::json_faults faults;
    settings it;
    if (const auto doc = core::parse_json(text, faults))
    {
        json_object_reader in{*doc, "$", faults};
        read_settings(in, it);
    }
    if (!faults.empty())
        return core::failure{core::errc::settings_invalid, faults.str()};
    return it;
}

core::result<settings> load_settings(const std::string& path)
{
    std::ifstream in{path};
    if (!in)
        return core::failure{core::errc::settings_invalid, path + ": cannot be read"};
    std::ostringstream buf;
    buf << in.rdbuf();
    return parse_settings(buf.str());
}

core::instance_options instance_options_of(const settings& it)
{
    core::instance_options out;
    out.deployment = it.deployment;
    out.self.id = it.id;
    out.self.failure_domain = it.failure_domain;
    out.self.address = it.peers.str();
    out.expected_instances = it.expected_instances;
    out.seed_addresses = it.seeds;
    out.client.partitions = it.ledger_partitions;
    out.ledger_writes_per_second = it.ledger_writes_per_second;
    out.selector.instances = it.expected_instances;
    out.keeper.expected_instances = it.expected_instances;
    return out;
}

} // namespace runlink::app
