// What endpoints say of themselves in their answers.

#include <charconv>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::routing
{
namespace
{

std::string to_text(double it)
{
    char buf[32];
    const auto end = std::to_chars(buf, buf + sizeof buf, it).ptr;
    return {buf, end};
}

} // namespace

void request_forwarder::on_statement(time_point, const endpoint_id& id, time_point,
                                     const endpoint_statement& it)
{
    decision line;
    line.event = "endpoint_limit";
    line.source = "answer";
    line.endpoint = id.str();
    if (!it.is_limit_readable)
    {
        line.reason = "unreadable";
        return hooks_.log(line);
    }
    const auto known = named_limits_.find(id);
    const auto before = known == named_limits_.end() ? std::nullopt : std::optional{known->second};
    if (it.requests_per_s == before)
        return;
    line.reason = it.requests_per_s ? "named" : "ended";
    if (it.requests_per_s)
    {
        line.limit = to_text(*it.requests_per_s);
        named_limits_[id] = *it.requests_per_s;
    }
    else
        named_limits_.erase(id);
    hooks_.log(line);
}

} // namespace runlink::routing
