#include "operator_documents.hpp"

namespace runlink::standins
{

using nlohmann::json;

json make_configuration(int version, const std::vector<std::string>& keys,
                        core::milliseconds timeout_of_streams)
{
    json look{{"name", "look"},      {"hostname", operator_host}, {"pathPrefix", "/look/"},
              {"routeType", "safe"}, {"timeoutMs", 2000},         {"targetLatencyMs", 400},
              {"priority", 1},       {"service", "app"},          {"maxAttempts", 2},
              {"public", false}};
    auto pay = look;
    pay.update({{"name", "pay"}, {"pathPrefix", "/pay/"}, {"routeType", "unsafe"}, {"maxAttempts", 1}});
    auto stream = look;
    stream.update({{"name", "llm"},
                   {"pathPrefix", "/llm/"},
                   {"routeType", "streaming"},
                   {"service", "pool"},
                   {"resumable", true},
                   {"sizes", {"small", "large"}},
                   {"maxAttempts", 3},
                   {"timeoutMs", timeout_of_streams.count()},
                   {"targetLatencyMs", 800},
                   {"targetGapMs", stream_target_gap.count()}});
    return {{"version", version},
            {"routes", {look, pay, stream}},
            {"services", {{{"name", "app"}}, {{"name", "pool"}, {"engine", {{"slots", 16}}}}}},
            {"limits", {{"maxBodyBytes", 10000}, {"idleTimeoutMs", 9000}}},
            {"tenants", {{{"name", "acme"}, {"apiKeys", keys}, {"priority", 0}}}}};
}

json make_rollout(const std::string& version, double seconds)
{
    return {{"service", "pool"}, {"targetVersion", version}, {"durationS", seconds}};
}

} // namespace runlink::standins
