// Guards against accepting a removed key after the machine was suspended. The steady clock of Linux stops
// during suspension, so an instance took its proof of the keys for 1.5 s old, logged no "woke" line, and
// admitted a request with a key removed 5.5 s earlier. The bound is 5 s for every instance, whether or not
// the store can reach it.

#include <catch2/catch.hpp>

#include <csignal>

#include <QTemporaryDir>

#include "soak/caller.hpp"
#include "soak/fleet.hpp"
#include "support/wait_for.hpp"

using namespace runlink;
using namespace runlink::soak;

namespace
{

constexpr milliseconds suspended_for{5500};

void wait(milliseconds it)
{
    tests::wait_for([] { return false; }, it);
}

} // namespace

TEST_CASE("a key that was removed while the machine was suspended admits nothing")
{
    QTemporaryDir directory;
    fleet_options options;
    options.program = RUNLINK_GATEWAY;
    options.shim = RUNLINK_SUSPENSION_SHIM;
    options.directory = directory.path().toStdString();
    options.instances = 1;
    promise_checker checker{{}};
    fleet on{options, checker};
    bool is_ready = false;
    REQUIRE(tests::wait_for(
        [&]
        {
            on.ask_readiness(0, [&](bool it) { is_ready = it; });
            wait(milliseconds{50});
            return is_ready;
        },
        milliseconds{8000}));

    auto& instance = on.instances().front();
    instance.store->set_fault(
        link_fault::silent); // keeps the removal from reaching the instance before the request
    on.signal_instance(0, SIGSTOP);
    on.write_configuration({"key-a"});
    wait(suspended_for);
    on.resume_instance(0, suspended_for);

    caller from{instance.caller_port};
    call it;
    it.id = "r1";
    it.path = "/look/r1";
    it.key = "key-b";
    checker.sent({}, it.id, request_kind::safe, it.key, 0);
    std::optional<caller_outcome> outcome;
    from.start(it, [&](const caller_outcome& e) { outcome = e; });
    REQUIRE(tests::wait_for([&] { return outcome.has_value(); }, milliseconds{5000}));
    CHECK(outcome->status == 503);
    CHECK(checker.check_counts().count("runs") == 0);
}
