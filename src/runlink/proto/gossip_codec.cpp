#include "runlink/proto/gossip_codec.hpp"

#include "gossip.pb.h"

namespace runlink::proto
{

std::string encode(const routing::gossip_message& it)
{
    wire::Gossip out;
    out.set_sender(it.sender.str());
    for (const auto& e : it.runs)
    {
        auto* to = out.add_runs();
        to->set_session_hash(e.session.value());
        to->set_version(e.version.str());
    }
    for (const auto& e : it.evidence)
    {
        auto* to = out.add_evidence();
        to->set_service(e.service.str());
        to->set_version(e.version.str());
        to->set_route(e.route);
        to->set_all(e.all);
        to->set_bad(e.bad);
        for (const auto n : e.bad_endpoints)
            to->add_bad_endpoints(n);
    }
    return out.SerializeAsString();
}

std::optional<routing::gossip_message> decode_gossip(std::string_view bytes)
{
    wire::Gossip in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || in.sender().empty())
        return std::nullopt;
    routing::gossip_message out;
    out.sender = core::instance_id{in.sender()};
    for (const auto& e : in.runs())
        out.runs.push_back({routing::session_hash{e.session_hash()}, core::version_id{e.version()}});
    for (const auto& e : in.evidence())
        out.evidence.push_back({core::service_id{e.service()},
                                core::version_id{e.version()},
                                e.route(),
                                e.all(),
                                e.bad(),
                                {e.bad_endpoints().begin(), e.bad_endpoints().end()}});
    return out;
}

} // namespace runlink::proto
