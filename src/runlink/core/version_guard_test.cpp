#include <catch2/catch.hpp>

#include "runlink/core/version_choice.hpp"
#include "runlink/core/version_guard.hpp"
#include "support/fake_world.hpp"

using namespace runlink::core;

namespace
{

constexpr time_point start{seconds{100}};
const version_ref r2{model_id{"review"}, version_id{"r2"}};

int admitted(version_guard& it, int asked)
{
    int out = 0;
    for (int n = 0; n < asked; ++n)
    {
        if (!it.admits(start, r2, version_state::rolling_out))
            continue;
        it.started(start, r2);
        ++out;
    }
    return out;
}

} // namespace

TEST_CASE("a version that is rolled out may have few unrated answers, more after good ratings, fewer after "
          "bad ones")
{
    version_guard it{{}, [] { return std::size_t{1}; }};
    CHECK(admitted(it, 100) == 4);
    for (int n = 0; n < 4; ++n)
        it.rated(r2, true);
    CHECK(admitted(it, 100) == 6);
    it.rated(r2, false);
    CHECK(it.window(r2) == Approx(4.8));
    CHECK(admitted(it, 100) == 0);
    CHECK(it.admits(start, r2, version_state::serving));                    // serving versions have no window
    CHECK(it.admits(start + seconds{601}, r2, version_state::rolling_out)); // unrated answers expire
}

TEST_CASE("the window is divided among the instances")
{
    version_guard it{{}, [] { return std::size_t{4}; }};
    CHECK(admitted(it, 100) == 1);
}

TEST_CASE("a bad version is stopped by the ratings of all instances, and its peers stop it too")
{
    std::vector<std::string> stopped;
    version_guard a{{}, [] { return std::size_t{2}; }};
    version_guard b{{}, [] { return std::size_t{2}; }};
    b.on_bad = [&](const version_ref& it, bool) { stopped.push_back(it.str()); };
    a.rated(r2, false);
    a.rated(r2, false);
    CHECK_FALSE(a.is_stopped(r2));
    b.on_peer(incarnation_id{"a"}, a.counts());
    b.on_peer(incarnation_id{"a"}, a.counts()); // nothing is counted twice
    CHECK_FALSE(b.is_stopped(r2));
    b.rated(r2, false);
    b.rated(r2, false);
    CHECK_FALSE(b.is_stopped(r2));
    b.rated(r2, false);
    CHECK(b.is_stopped(r2));
    CHECK(stopped == std::vector<std::string>{"review/r2"});
    CHECK_FALSE(b.admits(start, r2, version_state::serving));
    a.on_peer(incarnation_id{"b"}, b.counts());
    CHECK(a.is_stopped(r2));
    a.clear(r2);
    CHECK_FALSE(a.is_stopped(r2));
}

TEST_CASE("a version that becomes bad after many good answers is stopped within five bad ones")
{
    version_guard it{{}, [] { return std::size_t{1}; }};
    for (int n = 0; n < 10000; ++n)
        it.rated(r2, true);
    int bad = 0;
    for (; !it.is_stopped(r2); ++bad)
        it.rated(r2, false);
    CHECK(bad <= 5);
}

TEST_CASE("versions are chosen by their share, always the same for one request, and never a withdrawn one")
{
    auto it = runlink::tests::base_configuration();
    it.models[0].versions[1].state = version_state::rolling_out;
    it.models[0].versions[1].share_percent = 20;
    const auto& account = it.accounts[0];
    const auto all = [](const version_settings&, const version_ref&) { return true; };
    caller_request request;
    request.model = model_id{"review"};
    int rolled_out_count = 0;
    for (int n = 0; n < 2000; ++n)
    {
        request.id = request_id{std::to_string(n)};
        const auto chosen = choose_version(it, account, request, all).value();
        CHECK(chosen == choose_version(it, account, request, all).value());
        rolled_out_count += chosen == r2 ? 1 : 0;
    }
    CHECK(rolled_out_count > 320);
    CHECK(rolled_out_count < 480);
    it.models[0].versions[0].state = version_state::withdrawn;
    it.models[0].versions[1].state = version_state::retiring;
    CHECK(choose_version(it, account, request, all).error().code == errc::version_withdrawn);
    CHECK(check_version(it, account, r2, true).value() == r2);
    CHECK(check_version(it, account, r2, false).error().code == errc::version_withdrawn);
}
