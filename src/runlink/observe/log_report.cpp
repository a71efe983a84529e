#include "runlink/observe/log_report.hpp"

#include <algorithm>
#include <set>
#include <sstream>

namespace runlink::observe
{
namespace
{

using nlohmann::json;

/// State changes up to this long before a request's first line are part of its trace: they may have caused
/// it.
constexpr std::int64_t lead_time_ms = 1000;

std::int64_t time_of(const json& it)
{
    return it.value("t_ms", std::int64_t{0});
}

bool is_about_request(const json& it)
{
    return it.contains("request");
}

std::string format(const json& it, std::int64_t start)
{
    std::ostringstream out;
    out << (time_of(it) - start) << " ms " << it.value("instance", "?") << " " << it.value("event", "?");
    for (const auto& [name, value] : it.items())
        if (name != "t_ms" && name != "instance" && name != "event" && name != "request")
            out << " " << name << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
    out << "\n";
    return out.str();
}

} // namespace

void read_log(std::istream& in, log_records& to)
{
    for (std::string line; std::getline(in, line);)
    {
        const auto brace = line.find('{');
        auto it = brace == std::string::npos ? json{} : json::parse(line.substr(brace), nullptr, false);
        if (it.is_object() && it.contains("event"))
            to.lines.push_back(std::move(it));
        else if (!line.empty())
            ++to.unreadable;
    }
    std::stable_sort(to.lines.begin(), to.lines.end(),
                     [](const json& a, const json& b) { return time_of(a) < time_of(b); });
}

std::string trace_request(const log_records& from, const std::string& request)
{
    std::set<std::string> instances;
    std::vector<const json*> request_lines;
    for (const auto& it : from.lines)
    {
        if (it.value("request", "") != request)
            continue;
        request_lines.push_back(&it);
        instances.insert(it.value("instance", ""));
    }
    if (request_lines.empty())
        return "no log line for request " + request + "\n";
    const auto first = time_of(*request_lines.front());
    const auto last = time_of(*request_lines.back());
    std::string out;
    for (const auto& it : from.lines)
    {
        const bool is_own = it.value("request", "") == request;
        const bool is_state_change = time_of(it) >= first - lead_time_ms && time_of(it) <= last &&
                                     instances.contains(it.value("instance", "")) && !is_about_request(it);
        if (is_own || is_state_change)
            out += (is_own ? "  " : "~ ") + format(it, first);
    }
    return out;
}

std::string summarize(const log_records& from)
{
    std::map<std::pair<std::string, std::string>, std::size_t> counts;
    std::size_t dropped = 0;
    for (const auto& it : from.lines)
    {
        const auto event = it.value("event", "");
        if (event == "lines_left_out")
            for (const auto& [name, n] : it.items())
                dropped += n.is_number() && name != "t_ms" ? n.get<std::size_t>() : 0;
        const auto reason = is_about_request(it) ? it.value("reason", "") : std::string{};
        ++counts[{event, reason}];
    }
    std::ostringstream out;
    for (const auto& [key, n] : counts)
        out << n << "\t" << key.first << (key.second.empty() ? "" : " " + key.second) << "\n";
    out << from.lines.size() << "\tlines; left out by the instances: " << dropped
        << "; not readable: " << from.unreadable << "\n";
    return out.str();
}

} // namespace runlink::observe
