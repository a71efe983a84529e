#include <catch2/catch.hpp>

#include "runlink/core/configuration.hpp"
#include "runlink/core/plan.hpp"
#include "support/fake_world.hpp"

using namespace runlink::core;

namespace
{

std::string faults_of(const std::string& json)
{
    const auto it = parse_configuration(json);
    return it ? "" : it.error().detail;
}

} // namespace

TEST_CASE("parsing a printed configuration returns an equal one")
{
    const auto it = runlink::tests::base_configuration();
    CHECK(parse_configuration(print_configuration(it)).value() == it);
}

TEST_CASE("all faults are reported at once, with their paths")
{
    const auto faults = faults_of(R"({"deployment": 7, "colour": "red", "models": [{"name": "m", "versions": [
        {"name": "v", "state": "asleep", "share_percent": 101}]}], "pools": "none"})");
    CHECK(faults.find("$.deployment: must be a string") != std::string::npos);
    CHECK(faults.find("$.colour: unknown field") != std::string::npos);
    CHECK(faults.find("$.models[0].versions[0].state: must be") != std::string::npos);
    CHECK(faults.find("$.models[0].versions[0].share_percent: must be") != std::string::npos);
    CHECK(faults.find("$.pools: must be an array") != std::string::npos);
}

TEST_CASE("references to missing names, duplicate names and host names are faults")
{
    CHECK(faults_of(R"({"deployment":"d","accounts":[{"name":"a","allow":["m/v"]}]})") ==
          "$.accounts[0].allow[0]: no such model or version");
    CHECK(faults_of(R"({"deployment":"d","models":[{"name":"m"},{"name":"m"}]})") ==
          "$.models[1].name: must be unique");
    CHECK(
        faults_of(R"({"deployment":"d","models":[{"name":"m~"}]})").starts_with("$.models[0].name: must be"));
    CHECK(faults_of(R"({"deployment":"d","pools":[{"name":"p","endpoints":[
        {"name":"e","host":"engine.local","port":1,"failure_domain":"f"}]}]})") ==
          "$.pools[0].endpoints[0].host: must be an IP address");
    CHECK(faults_of(R"({"deployment":"d","deployment":"e"})") ==
          "$: member 'deployment' stands twice in one object");
    CHECK(faults_of("{") == "$: malformed JSON at byte 2");
    CHECK(faults_of(R"({"deployment":"d","services":[{"name":"s","pool":"p"}]})") ==
          "$.services[0].pool: no such pool");
}

TEST_CASE("an account allows exactly the models and versions that it lists")
{
    account_settings it;
    it.allow = {"a/*", "b/1"};
    CHECK(it.allows({model_id{"a"}, version_id{"x"}}));
    CHECK(it.allows({model_id{"b"}, version_id{"1"}}));
    CHECK_FALSE(it.allows({model_id{"b"}, version_id{"2"}}));
    CHECK_FALSE(it.allows({model_id{"c"}, version_id{"1"}}));
}

namespace
{

std::string mac(std::string_view secret, std::string_view text)
{
    return std::to_string(std::hash<std::string>{}(std::string{secret} + std::string{text}));
}

} // namespace

TEST_CASE("a plan lists its changes and is unchanged after printing and parsing")
{
    const auto base = runlink::tests::base_configuration();
    const auto it =
        make_plan(base, R"({"changes":[{"action":"retire","version":"review/r1"}]})", "op").value();
    REQUIRE(it.changes.size() == 1);
    CHECK(it.changes[0] == configuration_change{"models.review.versions.r1.state", "serving", "retiring"});
    CHECK(it.base() == base.revision);
    const auto text = print_plan(it, "secret", mac);
    CHECK(parse_plan(text, "secret", mac).value().next == it.next);
}

TEST_CASE("a plan that was edited or belongs to another deployment is rejected")
{
    const auto base = runlink::tests::base_configuration();
    const auto it =
        make_plan(base, R"({"changes":[{"action":"retire","version":"review/r1"}]})", "op").value();
    auto text = print_plan(it, "secret", mac);
    CHECK(parse_plan(text, "other secret", mac).error().code == errc::plan_invalid);
    text.replace(text.find("retiring"), 8, "serving!");
    CHECK(parse_plan(text, "secret", mac).error().code == errc::plan_invalid);
    CHECK(parse_plan("[]", "secret", mac).error().code == errc::plan_invalid);
    CHECK(parse_plan("{", "secret", mac).error().code == errc::plan_invalid);
}

TEST_CASE("an intent is parsed strictly")
{
    const auto base = runlink::tests::base_configuration();
    const auto fault = [&](const std::string& intent) { return make_plan(base, intent, "op").error(); };
    CHECK(fault(R"({"changes":[{"action":"fly"}]})").detail.find("$.changes[0].action") != std::string::npos);
    CHECK(fault(R"({"changes":[{"action":"retire","version":"review/r7"}]})").detail ==
          "$.changes[0].version: no such version");
    CHECK(fault(R"({"changes":[]})").code == errc::plan_invalid);
    CHECK(fault(R"({})").code == errc::plan_invalid);
    CHECK(fault(R"({"configuration":{"deployment":"another"}})").code == errc::wrong_deployment);
    CHECK(fault(R"({"configuration":{"deployment":"test","x":1}})").code == errc::configuration_invalid);
}

TEST_CASE("withdrawing the last serving version makes the retiring one serve again")
{
    auto it = runlink::tests::base_configuration();
    it.models[0].versions[0].state = version_state::retiring;
    it.models[0].versions[1].state = version_state::serving;
    const auto next = with_version_withdrawn(it, {model_id{"review"}, version_id{"r2"}});
    CHECK(next.models[0].versions[0].state == version_state::serving);
    CHECK(next.models[0].versions[1].state == version_state::withdrawn);
}
