#include "runlink/core/plan.hpp"

#include <algorithm>
#include <map>
#include <utility>

#include "runlink/core/json_reader.hpp"

namespace runlink::core
{
namespace
{

using nlohmann::json;

/// Converts arrays of named objects to objects keyed by name, so that paths don't depend on array positions.
json keyed_by_name(const json& it)
{
    if (it.is_object())
    {
        json out = json::object();
        for (const auto& [name, value] : it.items())
            out[name] = keyed_by_name(value);
        return out;
    }
    const bool named = it.is_array() && !it.empty() && it.front().is_object() && it.front().contains("name");
    if (!named)
        return it.is_array() ? json(it.dump()) : it;
    json out = json::object();
    for (const auto& e : it)
    {
        auto value = keyed_by_name(e);
        value.erase("name");
        out[e.at("name").get<std::string>()] = std::move(value);
    }
    return out;
}

void flatten(const json& it, const std::string& path, std::map<std::string, std::string>& out)
{
    if (!it.is_object())
    {
        out[path] = it.is_string() ? it.get<std::string>() : it.dump();
        return;
    }
    for (const auto& [name, value] : it.items())
    {
        auto child = path;
        child += child.empty() ? "" : ".";
        child += name;
        flatten(value, child, out);
    }
}

std::map<std::string, std::string> leaves_of(const configuration& it)
{
    std::map<std::string, std::string> out;
    flatten(keyed_by_name(json::parse(print_configuration(it))), "", out);
    out.erase("revision");
    out.erase("operation_id");
    return out;
}

version_settings* find_version(configuration& it, const std::string& name)
{
    for (auto& model : it.models)
        for (auto& version : model.versions)
            if (model.id.str() + "/" + version.id.str() == name)
                return &version;
    return nullptr;
}

endpoint_settings* find_endpoint(configuration& it, const std::string& name)
{
    for (auto& pool : it.pools)
        for (auto& endpoint : pool.endpoints)
            if (endpoint.id.str() == name)
                return &endpoint;
    return nullptr;
}

std::optional<version_state> state_of_action(const std::string& action)
{
    if (action == "roll_out")
        return version_state::rolling_out;
    if (action == "serve")
        return version_state::serving;
    if (action == "retire")
        return version_state::retiring;
    if (action == "withdraw")
        return version_state::withdrawn;
    return std::nullopt;
}

void change_version(configuration& next, json_object_reader& in, version_state state)
{
    auto* it = find_version(next, in.required_string("version"));
    const auto share = in.optional_integer("share_percent", 100, 0, 100);
    if (it == nullptr)
        return in.fault("version", "no such version");
    it->state = state;
    it->share_percent = static_cast<std::uint32_t>(share);
}

void change_endpoint(configuration& next, json_object_reader& in, bool leaving)
{
    auto* it = find_endpoint(next, in.required_string("endpoint"));
    if (it == nullptr)
        return in.fault("endpoint", "no such endpoint");
    it->leaving = leaving;
}

void apply_change(configuration& next, json_object_reader& in)
{
    const auto action = in.required_string("action");
    if (const auto state = state_of_action(action))
        return change_version(next, in, *state);
    if (action == "leave" || action == "stay")
        return change_endpoint(next, in, action == "leave");
    in.fault("action", "must be roll_out, serve, retire, withdraw, leave or stay");
}

result<configuration> apply_intent(const configuration& base, std::string_view intent)
{
    json_faults faults;
    const auto doc = parse_json(intent, faults);
    if (!doc)
        return failure{errc::plan_invalid, faults.str()};
    configuration next = base;
    std::optional<std::string> whole_configuration;
    {
        json_object_reader in{*doc, "$", faults};
        if (const auto* it = in.raw("configuration"))
            whole_configuration = it->dump();
        in.each_object("changes", [&](auto& e) { apply_change(next, e); });
        if (whole_configuration.has_value() == in.has("changes"))
            faults.add("$", "must hold either configuration or changes");
    }
    if (!faults.empty())
        return failure{errc::plan_invalid, faults.str()};
    return whole_configuration ? parse_configuration(*whole_configuration)
                               : result<configuration>{std::move(next)};
}

json changes_json(const std::vector<configuration_change>& changes)
{
    json out = json::array();
    for (const auto& it : changes)
        out.push_back({{"path", it.path}, {"before", it.before}, {"after", it.after}});
    return out;
}

} // namespace

std::vector<configuration_change> compare(const configuration& before, const configuration& after)
{
    const auto a = leaves_of(before);
    const auto b = leaves_of(after);
    std::vector<configuration_change> out;
    for (const auto& [path, value] : a)
    {
        const auto found = b.find(path);
        if (found == b.end())
            out.push_back({path, value, ""});
        else if (found->second != value)
            out.push_back({path, value, found->second});
    }
    for (const auto& [path, value] : b)
        if (!a.contains(path))
            out.push_back({path, "", value});
    std::sort(out.begin(), out.end(), [](const auto& x, const auto& y) { return x.path < y.path; });
    return out;
}

result<plan> make_plan(const configuration& base, std::string_view intent, const std::string& operation_id)
{
    BOOST_OUTCOME_TRY(next, apply_intent(base, intent));
    if (next.deployment != base.deployment)
        return failure{errc::wrong_deployment, next.deployment};
    next.revision = config_revision{base.revision.value() + 1};
    next.operation_id = operation_id;
    auto changes = compare(base, next);
    if (changes.empty())
        return failure{errc::plan_invalid, "$: the intent changes nothing"};
    return plan{std::move(next), std::move(changes)};
}

std::string print_plan(const plan& it, std::string_view secret, const mac_function& mac)
{
    json doc{{"configuration", json::parse(print_configuration(it.next))},
             {"changes", changes_json(it.changes)}};
    doc["code"] = mac(secret, "plan " + doc.dump());
    return doc.dump(2);
}

result<plan> parse_plan(std::string_view text, std::string_view secret, const mac_function& mac)
{
    json_faults faults;
    auto doc = parse_json(text, faults);
    if (!doc || !faults.empty() || !doc->is_object() || !doc->contains("code") || !(*doc)["code"].is_string())
        return failure{errc::plan_invalid, faults.empty() ? "$: must be a plan" : faults.str()};
    const auto code = (*doc)["code"].get<std::string>();
    doc->erase("code");
    if (!equal_in_constant_time(code, mac(secret, "plan " + doc->dump())))
        return failure{errc::plan_invalid, "$.code: the plan was edited or belongs to another deployment"};
    plan out;
    BOOST_OUTCOME_TRY(next, parse_configuration(doc->at("configuration").dump()));
    out.next = std::move(next);
    for (const auto& it : doc->at("changes"))
        out.changes.push_back({it.at("path"), it.at("before"), it.at("after")});
    return out;
}

configuration with_version_withdrawn(const configuration& base, const version_ref& version)
{
    auto next = base;
    for (auto& model : next.models)
    {
        if (model.id != version.model)
            continue;
        version_settings* retiring = nullptr;
        bool serving = false;
        for (auto& it : model.versions)
        {
            if (it.id == version.version)
                it.state = version_state::withdrawn;
            serving = serving || it.state == version_state::serving;
            if (it.state == version_state::retiring)
                retiring = &it;
        }
        if (!serving && retiring != nullptr)
            retiring->state = version_state::serving;
    }
    return next;
}

} // namespace runlink::core
