#include <catch2/catch.hpp>

#include <vector>

#include "runlink/routing/newer_versions.hpp"
#include "runlink/routing/request_forwarder.hpp"

using namespace runlink;
using namespace runlink::routing;

namespace
{

const time_point start{core::seconds{100}};
constexpr milliseconds max_outdated{1400};

/// An instance with one endpoint and the routes of one version.
struct instance
{
    time_point now = start;
    std::vector<refusal> refusals;
    std::size_t sends = 0;
    request_forwarder forwarder;

    instance() : forwarder{options(), core::failure_domain_id{"north"}, core::instance_id{"i1"}, hooks()}
    {
        apply(14);
        endpoint_entry it;
        it.name = core::endpoint_name{"e1"};
        it.id = endpoint_id_of(it.name, it.incarnation);
        it.service = core::service_id{"s"};
        it.failure_domain = core::failure_domain_id{"north"};
        forwarder.on_endpoint(now, it);
        forwarder.proven_current(now);
    }

    static forwarder_options options()
    {
        forwarder_options out;
        out.max_outdated_time = max_outdated;
        return out;
    }

    forwarder_hooks hooks()
    {
        forwarder_hooks out;
        out.start = [this](const attempt_order&) { ++sends; };
        out.cancel = [](auto) {};
        out.ask = [](const auto&) {};
        out.refuse = [this](flow_id, const refusal& it) { refusals.push_back(it); };
        out.log = [](const auto&) {};
        out.ended = [](const auto&, auto) {};
        return out;
    }

    void apply(std::uint64_t version)
    {
        route it;
        it.name = "plain";
        it.host = "h";
        it.path_prefix = "/";
        it.kind = route_kind::safe;
        it.services = {{core::service_id{"s"}, 1}};
        forwarder.apply(std::make_shared<const routing_table>(
            version, std::vector{it}, std::vector{service{core::service_id{"s"}, 0, false, {}, {}}},
            std::vector<account>{}, caller_limits{}));
    }

    /// Whether a request is sent to the endpoint.
    bool serves(std::uint64_t flow)
    {
        const auto before = sends;
        inbound_request in;
        in.id = core::request_id{std::to_string(flow)};
        in.host = "h";
        in.path = "/x";
        in.time_left = milliseconds{2000};
        forwarder.on_request(now, flow_id{flow}, in);
        return sends > before;
    }
};

} // namespace

TEST_CASE("an instance that lacks a configuration which others have in force refuses after a while")
{
    instance it;
    it.forwarder.on_version_known(start, 16);
    it.now = start + max_outdated - milliseconds{1};
    CHECK(it.serves(1));
    it.now = start + max_outdated;
    CHECK_FALSE(it.serves(2));
    REQUIRE(it.refusals.size() == 1);
    CHECK(it.refusals.back().why.code == core::errc::cut_off);
    CHECK(it.refusals.back().not_run);
    it.apply(16);
    CHECK(it.serves(3));
}

TEST_CASE("an instance that has lost contact and knows of no newer configuration goes on serving")
{
    instance it;
    it.now = start + core::seconds{60};
    CHECK(it.serves(1));
    it.forwarder.on_version_known(it.now, 14);
    it.now += core::seconds{60};
    CHECK(it.serves(2));
}

TEST_CASE("each newer version has its own time until it must be in force")
{
    newer_versions it;
    it.on_applied(14);
    CHECK(it.on_known(start, 16));
    CHECK_FALSE(it.on_known(start + milliseconds{10}, 16));
    CHECK(it.on_known(start + milliseconds{1000}, 20));
    CHECK(it.since() == start);
    CHECK(it.newest() == 20);
    it.on_applied(16);
    CHECK(it.since() == start + milliseconds{1000});
    it.on_applied(20);
    CHECK_FALSE(it.since());
    CHECK_FALSE(it.on_known(start + milliseconds{2000}, 16));
}

TEST_CASE("a version that is lost with the store's latest changes is forgotten by a later proof")
{
    newer_versions it;
    it.on_applied(14);
    it.on_known(start, 16);
    it.on_proven(start - milliseconds{1});
    CHECK(it.since() == start);
    it.on_proven(start);
    CHECK_FALSE(it.since());
}
