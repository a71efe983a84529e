#include "runlink/app/tables.hpp"

#include <algorithm>

namespace runlink::app
{
namespace
{

using nlohmann::json;

constexpr std::size_t column_gap = 2;

std::string cell_text(const json& it, const char* name)
{
    if (!it.contains(name))
        return "-";
    const auto& value = it.at(name);
    if (value.is_boolean())
        return value.get<bool>() ? "yes" : "no";
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::vector<std::vector<std::string>> table_rows(const json& list, const std::vector<const char*>& names,
                                                 std::vector<std::string> heading)
{
    std::vector<std::vector<std::string>> out{std::move(heading)};
    for (const auto& it : list)
    {
        std::vector<std::string> row;
        row.reserve(names.size());
        for (const auto* name : names)
            row.push_back(cell_text(it, name));
        out.push_back(std::move(row));
    }
    return out;
}

} // namespace

std::string format_table(const std::vector<std::vector<std::string>>& rows)
{
    std::vector<std::size_t> widths;
    for (const auto& row : rows)
    {
        widths.resize(std::max(widths.size(), row.size()));
        for (std::size_t n = 0; n < row.size(); ++n)
            widths[n] = std::max(widths[n], row[n].size());
    }
    std::string out;
    for (const auto& row : rows)
    {
        std::string line;
        for (std::size_t n = 0; n < row.size(); ++n)
            line += row[n] + std::string(widths[n] - row[n].size() + column_gap, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out += line + "\n";
    }
    return out;
}

std::string status_table(const json& status)
{
    return "deployment " + status.value("deployment", "") + ", revision " +
           std::to_string(status.value("revision", 0)) + " in force at " + status.value("instance", "") +
           "\n" +
           format_table(
               table_rows(status.at("members"),
                          {"instance", "failure_domain", "address", "ready", "stopping", "revision"},
                          {"INSTANCE", "FAILURE DOMAIN", "ADDRESS", "READY", "STOPPING", "REVISION"}));
}

std::string versions_table(const json& status)
{
    return format_table(table_rows(
        status.at("versions"),
        {"version", "state", "share_percent", "cost_per_1k_tokens", "started", "good", "bad", "failed",
         "stopped_by_guard"},
        {"VERSION", "STATE", "SHARE %", "COST/1K", "STARTED", "GOOD", "BAD", "FAILED", "STOPPED"}));
}

std::string changes_table(const json& changes)
{
    return format_table(table_rows(changes, {"path", "before", "after"}, {"PATH", "BEFORE", "AFTER"}));
}

} // namespace runlink::app
