#include "runlink/core/configuration.hpp"

#include <algorithm>
#include <set>

#include "runlink/core/json_reader.hpp"

namespace runlink::core
{
namespace
{

using nlohmann::json;

constexpr std::int64_t max_percent = 100;
constexpr std::int64_t max_count = 1'000'000'000;
constexpr int min_status = 400;
constexpr int max_status = 599;
constexpr std::size_t sha256_digits = 64;

bool is_ip_address(const std::string& it)
{
    return !it.empty() && it.find_first_not_of("0123456789abcdefABCDEF.:") == std::string::npos &&
           it.find_first_of(".:") != std::string::npos;
}

bool is_sha256(const std::string& it)
{
    return it.size() == sha256_digits && it.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::vector<std::string> read_key_hashes(json_object_reader& in, const std::string& name)
{
    auto out = in.optional_strings(name);
    for (std::size_t n = 0; n < out.size(); ++n)
        if (!is_sha256(out[n]))
            in.fault(name + "[" + std::to_string(n) + "]", "must be a SHA-256 in lower-case hexadecimal");
    return out;
}

std::optional<version_ref> split_version(const std::string& it)
{
    const auto slash = it.find('/');
    if (slash == 0 || slash == std::string::npos || slash + 1 == it.size() ||
        it.find('/', slash + 1) != std::string::npos)
        return std::nullopt;
    return version_ref{model_id{it.substr(0, slash)}, version_id{it.substr(slash + 1)}};
}

version_state read_state(json_object_reader& in)
{
    const auto text = in.optional_string("state", "serving");
    for (const auto it : {version_state::rolling_out, version_state::serving, version_state::retiring,
                          version_state::withdrawn})
        if (text == to_string(it))
            return it;
    in.fault("state", "must be rolling_out, serving, retiring or withdrawn");
    return version_state::withdrawn;
}

version_settings read_version(json_object_reader& in)
{
    version_settings it;
    it.id = version_id{in.required_string("name")};
    it.state = read_state(in);
    it.share_percent =
        static_cast<std::uint32_t>(in.optional_integer("share_percent", max_percent, 0, max_percent));
    it.cost_per_1k_tokens =
        micro_cost{static_cast<std::uint64_t>(in.optional_integer("cost_per_1k_tokens", 0, 0, max_count))};
    return it;
}

model_settings read_model(json_object_reader& in)
{
    model_settings it;
    it.id = model_id{in.required_string("name")};
    in.each_object("versions", [&](auto& e) { it.versions.push_back(read_version(e)); });
    for (const auto& e : in.optional_strings("cascade"))
        it.cascade.emplace_back(e);
    it.quality_target_percent =
        static_cast<std::uint32_t>(in.optional_integer("quality_target_percent", 95, 0, max_percent));
    it.stop_last_version = in.optional_bool("stop_last_version", false);
    return it;
}

account_settings read_account(json_object_reader& in)
{
    account_settings it;
    it.id = account_id{in.required_string("name")};
    it.key_hashes = read_key_hashes(in, "key_hashes");
    it.allow = in.optional_strings("allow");
    for (std::size_t n = 0; n < it.allow.size(); ++n)
        if (!split_version(it.allow[n]))
            in.fault("allow[" + std::to_string(n) + "]", "must be model/version or model/*");
    for (const auto& e : in.optional_strings("services"))
        it.services.emplace_back(e);
    it.default_class = request_class{in.optional_string("default_class", "standard")};
    it.requests_per_second = in.optional_number("requests_per_second", 0, 0, max_count);
    it.max_in_flight = static_cast<std::uint32_t>(in.optional_integer("max_in_flight", 0, 0, max_count));
    return it;
}

endpoint_settings read_endpoint(json_object_reader& in)
{
    endpoint_settings it;
    it.id = endpoint_id{in.required_string("name")};
    it.host = in.required_string("host");
    if (!it.host.empty() && !is_ip_address(it.host))
        in.fault("host", "must be an IP address");
    it.port = static_cast<std::uint16_t>(in.required_integer("port", 1, 65535));
    it.failure_domain = failure_domain_id{in.required_string("failure_domain")};
    const auto versions = in.optional_strings("versions");
    for (std::size_t n = 0; n < versions.size(); ++n)
    {
        if (const auto ref = split_version(versions[n]))
            it.versions.push_back(*ref);
        else
            in.fault("versions[" + std::to_string(n) + "]", "must be model/version");
    }
    it.capacity = static_cast<std::uint32_t>(in.optional_integer("capacity", 16, 1, 65535));
    it.leaving = in.optional_bool("leaving", false);
    return it;
}

pool_settings read_pool(json_object_reader& in)
{
    pool_settings it;
    it.id = pool_id{in.required_string("name")};
    in.each_object("endpoints", [&](auto& e) { it.endpoints.push_back(read_endpoint(e)); });
    it.not_started_statuses =
        in.optional_integers("not_started_statuses", it.not_started_statuses, min_status, max_status);
    it.checks_fencing = in.optional_bool("checks_fencing", false);
    return it;
}

service_settings read_service(json_object_reader& in)
{
    return {service_id{in.required_string("name")}, pool_id{in.required_string("pool")}};
}

/// Names are part of tokens, store keys and paths, so only letters, digits, `_`, `.` and `-` are allowed.
bool is_name(const std::string& it)
{
    constexpr std::size_t max_size = 64;
    constexpr auto allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_.-";
    return it.size() <= max_size && it.find_first_not_of(allowed) == std::string::npos;
}

template <class Range>
void check_unique(const Range& range, const std::string& path, json_faults& faults)
{
    std::set<std::string> seen;
    for (std::size_t n = 0; n < range.size(); ++n)
    {
        const auto name_path = path + "[" + std::to_string(n) + "].name";
        if (!is_name(range[n].id.str()))
            faults.add(name_path, "must be at most 64 letters, digits, '_', '.' and '-'");
        if (!seen.insert(range[n].id.str()).second)
            faults.add(name_path, "must be unique");
    }
}

void check_pools(const configuration& it, json_faults& faults)
{
    std::set<std::string> seen;
    for (std::size_t p = 0; p < it.pools.size(); ++p)
        for (std::size_t e = 0; e < it.pools[p].endpoints.size(); ++e)
        {
            const auto path = "$.pools[" + std::to_string(p) + "].endpoints[" + std::to_string(e) + "]";
            const auto& endpoint = it.pools[p].endpoints[e];
            if (!seen.insert(endpoint.id.str()).second)
                faults.add(path + ".name", "must be unique");
            for (std::size_t v = 0; v < endpoint.versions.size(); ++v)
                if (it.find_version(endpoint.versions[v]) == nullptr)
                    faults.add(path + ".versions[" + std::to_string(v) + "]", "no such version");
        }
}

void check_accounts(const configuration& it, json_faults& faults)
{
    std::set<std::string> hashes;
    for (std::size_t a = 0; a < it.accounts.size(); ++a)
    {
        const auto path = "$.accounts[" + std::to_string(a) + "]";
        const auto& account = it.accounts[a];
        for (std::size_t n = 0; n < account.key_hashes.size(); ++n)
            if (!hashes.insert(account.key_hashes[n]).second)
                faults.add(path + ".key_hashes[" + std::to_string(n) + "]", "must be unique");
        for (std::size_t n = 0; n < account.allow.size(); ++n)
        {
            const auto ref = split_version(account.allow[n]);
            const bool known = ref && (ref->version.str() == "*" ? it.find_model(ref->model) != nullptr
                                                                 : it.find_version(*ref) != nullptr);
            if (ref && !known)
                faults.add(path + ".allow[" + std::to_string(n) + "]", "no such model or version");
        }
        for (std::size_t n = 0; n < account.services.size(); ++n)
            if (it.find_service(account.services[n]) == nullptr)
                faults.add(path + ".services[" + std::to_string(n) + "]", "no such service");
    }
}

void check_models(const configuration& it, json_faults& faults)
{
    for (std::size_t m = 0; m < it.models.size(); ++m)
    {
        const auto path = "$.models[" + std::to_string(m) + "]";
        check_unique(it.models[m].versions, path + ".versions", faults);
        for (std::size_t n = 0; n < it.models[m].cascade.size(); ++n)
            if (it.find_model(it.models[m].cascade[n]) == nullptr ||
                it.models[m].cascade[n] == it.models[m].id)
                faults.add(path + ".cascade[" + std::to_string(n) + "]", "must name another model");
    }
}

void check_references(const configuration& it, json_faults& faults)
{
    check_unique(it.accounts, "$.accounts", faults);
    check_unique(it.models, "$.models", faults);
    check_unique(it.pools, "$.pools", faults);
    check_unique(it.services, "$.services", faults);
    check_models(it, faults);
    check_accounts(it, faults);
    check_pools(it, faults);
    for (std::size_t n = 0; n < it.services.size(); ++n)
        if (it.find_pool(it.services[n].pool) == nullptr)
            faults.add("$.services[" + std::to_string(n) + "].pool", "no such pool");
}

template <class Range>
json names_of(const Range& range)
{
    json out = json::array();
    for (const auto& it : range)
        out.push_back(it.str());
    return out;
}

json to_json(const model_settings& it)
{
    json versions = json::array();
    for (const auto& e : it.versions)
        versions.push_back({{"name", e.id.str()},
                            {"state", std::string{to_string(e.state)}},
                            {"share_percent", e.share_percent},
                            {"cost_per_1k_tokens", e.cost_per_1k_tokens.value()}});
    return {{"name", it.id.str()},
            {"versions", versions},
            {"cascade", names_of(it.cascade)},
            {"quality_target_percent", it.quality_target_percent},
            {"stop_last_version", it.stop_last_version}};
}

json to_json(const account_settings& it)
{
    return {{"name", it.id.str()},
            {"key_hashes", it.key_hashes},
            {"allow", it.allow},
            {"services", names_of(it.services)},
            {"default_class", it.default_class.str()},
            {"requests_per_second", it.requests_per_second},
            {"max_in_flight", it.max_in_flight}};
}

json to_json(const pool_settings& it)
{
    json endpoints = json::array();
    for (const auto& e : it.endpoints)
        endpoints.push_back({{"name", e.id.str()},
                             {"host", e.host},
                             {"port", e.port},
                             {"failure_domain", e.failure_domain.str()},
                             {"versions", names_of(e.versions)},
                             {"capacity", e.capacity},
                             {"leaving", e.leaving}});
    return {{"name", it.id.str()},
            {"endpoints", endpoints},
            {"not_started_statuses", it.not_started_statuses},
            {"checks_fencing", it.checks_fencing}};
}

template <class Range>
json json_array_of(const Range& range)
{
    json out = json::array();
    for (const auto& it : range)
        out.push_back(to_json(it));
    return out;
}

} // namespace

result<configuration> parse_configuration(std::string_view text)
{
    json_faults faults;
    configuration it;
    if (const auto doc = parse_json(text, faults))
    {
        json_object_reader in{*doc, "$", faults};
        it.deployment = in.required_string("deployment");
        it.revision = config_revision{static_cast<std::uint64_t>(in.optional_integer("revision", 0))};
        it.operation_id = in.optional_string("operation_id");
        it.operator_key_hashes = read_key_hashes(in, "operator_key_hashes");
        in.each_object("accounts", [&](auto& e) { it.accounts.push_back(read_account(e)); });
        in.each_object("models", [&](auto& e) { it.models.push_back(read_model(e)); });
        in.each_object("pools", [&](auto& e) { it.pools.push_back(read_pool(e)); });
        in.each_object("services", [&](auto& e) { it.services.push_back(read_service(e)); });
    }
    if (faults.empty())
        check_references(it, faults);
    if (!faults.empty())
        return failure{errc::configuration_invalid, faults.str()};
    return it;
}

std::string print_configuration(const configuration& it)
{
    json services = json::array();
    for (const auto& e : it.services)
        services.push_back({{"name", e.id.str()}, {"pool", e.pool.str()}});
    json doc{{"deployment", it.deployment},
             {"revision", it.revision.value()},
             {"operator_key_hashes", it.operator_key_hashes},
             {"accounts", json_array_of(it.accounts)},
             {"models", json_array_of(it.models)},
             {"pools", json_array_of(it.pools)},
             {"services", services}};
    if (!it.operation_id.empty())
        doc["operation_id"] = it.operation_id;
    return doc.dump(2);
}

} // namespace runlink::core
