#include "runlink/gateway/gateway_settings.hpp"

#include <charconv>
#include <fstream>
#include <optional>
#include <sstream>

#include "runlink/core/json_reader.hpp"
#include "runlink/core/names.hpp"

namespace runlink::gateway
{
namespace
{

using core::json_object_reader;

constexpr std::int64_t max_port = 65535;
constexpr std::int64_t max_ms = 600'000;
constexpr double max_s = 3600;
constexpr double max_mbps = 1'000'000;
constexpr std::int64_t max_descriptors = 10'000'000;
constexpr double max_memory_mb = 1'000'000;
constexpr std::int64_t max_lines_per_second = 1'000'000;

std::optional<net::peer_address> parse_address(const std::string& text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0 || text.find_first_not_of("0123456789.") != colon)
        return std::nullopt;
    net::peer_address out;
    out.host = text.substr(0, colon);
    const auto* last = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, last, out.port);
    return parsed.ec == std::errc{} && parsed.ptr == last ? std::optional{out} : std::nullopt;
}

net::peer_address read_address(json_object_reader& in, const std::string& name)
{
    const auto text = in.required_string(name);
    const auto out = parse_address(text);
    if (!text.empty() && !out)
        in.fault(name, "must be an IP number and a port, such as 10.0.0.1:7100");
    return out.value_or(net::peer_address{});
}

/// Reads the IP addresses of seeds and ignores their ports: platforms list seeds with a port other than the
/// one for datagrams.
std::vector<std::string> read_seeds(json_object_reader& in)
{
    std::vector<std::string> out;
    for (const auto& it : in.optional_strings("seeds"))
        if (const auto address = parse_address(it))
            out.push_back(address->host);
        else
            in.fault("seeds", "must be IP numbers and ports, such as 10.0.0.1:7100");
    return out;
}

core::milliseconds read_ms(json_object_reader& in, const std::string& name, core::milliseconds fallback)
{
    return core::milliseconds{in.optional_integer(name, fallback.count(), 0, max_ms)};
}

core::milliseconds read_s(json_object_reader& in, const std::string& name, core::milliseconds fallback)
{
    constexpr double ms_per_s = 1000;
    const auto s = in.optional_number(name, static_cast<double>(fallback.count()) / ms_per_s, 0, max_s);
    return core::milliseconds{static_cast<core::milliseconds::rep>(s * ms_per_s)};
}

std::string read_name(json_object_reader& in, const std::string& name)
{
    auto out = in.required_string(name);
    if (!out.empty() && !core::is_name(out))
        in.fault(name, "must be a name: at most 256 bytes, no control characters, no blanks at its ends");
    return out;
}

/// Reads the region of each failure domain.
places::region_map read_regions(json_object_reader& in)
{
    const auto* all = in.raw("regions");
    if (all == nullptr)
        return {};
    std::map<core::failure_domain_id, core::region_id> out;
    if (!all->is_object())
        in.fault("regions", "must be an object that maps failure domains to regions");
    else
        for (const auto& [domain, region] : all->items())
            if (region.is_string())
                out[core::failure_domain_id{domain}] = core::region_id{region.get<std::string>()};
            else
                in.fault("regions." + domain, "must be the name of a region");
    return places::region_map{std::move(out)};
}

void read_bounds(json_object_reader& in, gateway_settings& out)
{
    out.stop_grace = read_s(in, "stop_grace_s", out.stop_grace);
    out.key_revocation = read_ms(in, "key_revocation_ms", out.key_revocation);
    out.keys_expire = in.optional_bool("keys_expire", out.keys_expire);
    out.configuration_apply = read_ms(in, "configuration_apply_ms", out.configuration_apply);
    out.drain = read_ms(in, "drain_ms", out.drain);
    out.session_ttl = read_s(in, "session_ttl_s", out.session_ttl);
    constexpr double max_ratio = 10;
    constexpr double max_slack = 1e6;
    out.retry_window = read_s(in, "retry_window_s", out.retry_window);
    if (out.retry_window < core::seconds{1})
        in.fault("retry_window_s", "must be at least 1");
    out.retry_ratio = in.required_number("retry_ratio", 0, max_ratio);
    out.retry_slack = in.required_number("retry_slack", 0, max_slack);
    out.exposure_share = in.optional_number("exposure_share", out.exposure_share, 0, 1);
    out.exposure_slack = in.optional_number("exposure_slack", out.exposure_slack, 0, max_slack);
}

void read_duties(json_object_reader& in, duty_settings& out)
{
    out.address = read_address(in, "address");
    for (const auto& it : in.optional_strings("names"))
        if (it == "usage_report")
            out.reports_usage = true;
        else if (it == "autoscale")
            out.orders_endpoints = true;
        else
            in.fault("names", "must be usage_report or autoscale");
    out.lease = read_ms(in, "lease_ms", out.lease);
    out.report_window = read_s(in, "report_window_s", out.report_window);
    out.report_lateness = read_s(in, "report_lateness_s", out.report_lateness);
    if (out.report_window == core::milliseconds{0})
        in.fault("report_window_s", "must be positive");
}

void read_tuning(json_object_reader& in, forwarding_tuning& out)
{
    constexpr double max_factor = 20;
    out.start_small = in.optional_bool("start_small", out.start_small);
    out.accept_confidence =
        static_cast<int>(in.optional_integer("accept_confidence", out.accept_confidence, 0, 101));
    out.accept_confidence_late =
        static_cast<int>(in.optional_integer("accept_confidence_late", out.accept_confidence_late, 0, 101));
    out.far_per_kb = read_ms(in, "far_ms_per_kb", out.far_per_kb);
    out.again_weight = in.optional_number("again_weight", out.again_weight, 0, max_factor);
    constexpr std::int64_t max_weight = 1000;
    out.late_weight = static_cast<int>(in.optional_integer("late_weight", out.late_weight, 0, max_weight));
    out.least_told = read_ms(in, "least_told_ms", out.least_told);
    out.prompts_kept_for = read_ms(in, "prompts_kept_for_ms", out.prompts_kept_for);
    constexpr std::int64_t max_senders = 1000;
    out.cold_senders = static_cast<std::size_t>(
        in.optional_integer("cold_senders", static_cast<std::int64_t>(out.cold_senders), 0, max_senders));
    out.hedge_after = in.optional_number("hedge_after", out.hedge_after, 0, max_factor);
    out.move_after = in.optional_number("move_after", out.move_after, 0, max_factor);
    out.stall_after = in.optional_number("stall_after", out.stall_after, 0, max_factor);
}

load::load_switch read_switch(json_object_reader& in, const std::string& name)
{
    const auto text = in.optional_string(name, "off");
    if (text == "on")
        return load::load_switch::on;
    if (text == "scarce")
        return load::load_switch::scarce;
    if (text != "off")
        in.fault(name, "must be off, on or scarce");
    return load::load_switch::off;
}

void read_load(json_object_reader& in, load::load_options& out)
{
    out.engine_load = read_switch(in, "engine_load");
    out.model_choice = read_switch(in, "model_choice");
    out.plain_load = read_switch(in, "plain_load");
    constexpr std::int64_t max_tokens = 1'000'000;
    out.scarce_tokens_per_slot =
        static_cast<std::uint32_t>(in.optional_integer("scarce_tokens_per_slot", 0, 0, max_tokens));
    const auto forecast = in.optional_string("forecast", "ends");
    if (forecast == "counts")
        out.forecast = load::forecast_kind::counts;
    else if (forecast != "ends")
        in.fault("forecast", "must be counts or ends");
    // The choice of a model is based on forecasts of the load of engines.
    if (out.model_choice != load::load_switch::off && out.engine_load != out.model_choice)
        in.fault("model_choice", "must be off or equal to engine_load");
}

void read_all(json_object_reader& in, gateway_settings& out)
{
    const auto required = [&](const char* name, const std::function<void(json_object_reader&)>& read)
    {
        if (!in.object(name, read))
            in.fault(name, "is missing");
    };
    required("instance",
             [&](auto& e)
             {
                 out.id = core::instance_id{read_name(e, "id")};
                 out.failure_domain = core::failure_domain_id{read_name(e, "failure_domain")};
                 out.memory_mb =
                     static_cast<std::uint32_t>(e.optional_number("memory_mb", 0, 0, max_memory_mb));
                 out.descriptors =
                     static_cast<std::uint32_t>(e.optional_integer("descriptors", 0, 0, max_descriptors));
                 out.link_mbps = static_cast<std::uint32_t>(e.optional_number("link_mbps", 0, 0, max_mbps));
             });
    required("listen",
             [&](auto& e)
             {
                 out.callers = read_address(e, "callers");
                 out.readiness = read_address(e, "readiness");
                 out.peers = read_address(e, "peers");
                 out.metrics_port =
                     static_cast<std::uint16_t>(e.optional_integer("metrics_port", 0, 0, max_port));
             });
    out.store = read_address(in, "store");
    out.seeds = read_seeds(in);
    out.regions = read_regions(in);
    required("bounds", [&](auto& e) { read_bounds(e, out); });
    in.object("duties", [&](auto& e) { read_duties(e, out.duties); });
    in.object("tuning", [&](auto& e) { read_tuning(e, out.tuning); });
    in.object("load", [&](auto& e) { read_load(e, out.load); });
    out.log_lines_per_second = static_cast<std::uint32_t>(
        in.optional_integer("log_lines_per_second", out.log_lines_per_second, 1, max_lines_per_second));
}

} // namespace

core::result<gateway_settings> parse_gateway_settings(std::string_view json)
{
    gateway_settings out;
    core::json_faults faults;
    if (const auto value = core::parse_json(json, faults))
    {
        json_object_reader in{*value, "$", faults};
        read_all(in, out);
    }
    if (!faults.empty())
        return core::failure{core::errc::settings_invalid, faults.str()};
    return out;
}

core::result<gateway_settings> load_gateway_settings(const std::string& path)
{
    std::ifstream in{path};
    if (!in)
        return core::failure{core::errc::settings_invalid, path + ": cannot be read"};
    std::ostringstream text;
    text << in.rdbuf();
    return parse_gateway_settings(text.str());
}

} // namespace runlink::gateway
