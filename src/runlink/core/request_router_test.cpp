#include <catch2/catch.hpp>

#include <string>

#include "support/fake_world.hpp"

using namespace runlink;
using namespace runlink::core;
using namespace runlink::tests;

namespace
{

const service_id transfer{"transfer"};

caller_request call_of(const std::string& id)
{
    caller_request out;
    out.id = request_id{id};
    out.account = account_id{"office"};
    out.service = transfer;
    out.deadline = milliseconds{5000};
    return out;
}

/// An instance that runs as many calls of the service as its endpoint accepts, with one more call queued.
class busy_service
{
public:
    busy_service()
    {
        world.configure(base_configuration());
        world.advance(seconds{3});
        while (world.at("a").router().queued_count() == 0)
        {
            last = request_id{"r" + std::to_string(++calls_)};
            world.request("a", call_of(last.str()));
        }
    }

    void remove_service()
    {
        auto it = base_configuration();
        it.services.clear();
        it.accounts.front().services.clear();
        it.revision = config_revision{it.revision.value() + 1};
        world.configure(it);
        world.advance(seconds{3});
    }

    fake_world world{{"a"}};
    request_id last;

private:
    int calls_ = 0;
};

} // namespace

TEST_CASE("a queued call is refused when its service is removed")
{
    busy_service it;
    it.remove_service();
    const auto& seen = it.world.caller(it.last);
    CHECK(seen.ended);
    CHECK(seen.refusal.why.code == errc::unknown_service);
    CHECK(seen.refusal.outcome == run_outcome::not_run);
}

TEST_CASE("a call whose endpoint is lost ends when its service is removed")
{
    busy_service it;
    it.remove_service();
    auto* call = it.world.open_call_of(request_id{"r1"});
    REQUIRE(call != nullptr);
    it.world.endpoint_loses(*call, true);
    const auto& seen = it.world.caller(request_id{"r1"});
    CHECK(seen.ended);
    CHECK(seen.refusal.outcome == run_outcome::unknown);
}

TEST_CASE("a running call is answered although its service is removed")
{
    busy_service it;
    it.remove_service();
    auto* call = it.world.open_call_of(request_id{"r1"});
    REQUIRE(call != nullptr);
    it.world.endpoint_answers(*call, "done");
    it.world.advance(seconds{1}); // the answer ends after its record is written
    CHECK(it.world.caller(request_id{"r1"}).whole);
}
