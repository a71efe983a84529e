#include <catch2/catch.hpp>

#include <map>
#include <vector>

#include "runlink/control/value_download.hpp"

using namespace runlink;
using namespace runlink::control;

namespace
{

const time_point start{core::seconds{100}};
const instance_id self{"i1"};
const instance_id relay_id{"r1"};
const instance_id stand_by{"r2"};

/// A receiver and what it asks for.
struct receiver
{
    std::vector<std::pair<instance_id, part_request>> asked;
    std::vector<received_value> received;
    std::vector<std::string> failures;
    value_download download{{}, self, hooks()};

    receiver() { download.start(start, {"conf", 7}, {relay_id, stand_by}); }

    download_hooks hooks()
    {
        download_hooks out;
        out.ask = [this](const instance_id& to, const part_request& it) { asked.emplace_back(to, it); };
        out.done = [this](time_point, const received_value& it) { received.push_back(it); };
        out.failed = [this](time_point, const wanted_value&, std::string_view why)
        { failures.emplace_back(why); };
        return out;
    }

    void part(time_point now, std::uint32_t index, std::uint32_t count, std::uint64_t revision = 7,
              const instance_id& from = relay_id)
    {
        download.on_part(now, {from, "conf", revision, index, count, std::to_string(index), false});
    }
};

} // namespace

TEST_CASE("the parts of a value are put together in their order, a few being asked for at once")
{
    receiver it;
    REQUIRE(it.asked.size() == 1);
    CHECK(it.asked[0].first == relay_id);
    CHECK(it.asked[0].second.parts == std::vector<std::uint32_t>{0, 1, 2, 3});
    it.part(start, 1, 6);
    CHECK(it.asked.back().second.parts == std::vector<std::uint32_t>{4});
    for (const std::uint32_t n : {0, 2, 3, 5, 4})
        it.part(start + milliseconds{50}, n, 6);
    REQUIRE(it.received.size() == 1);
    CHECK(it.received[0].bytes == "012345");
    CHECK(it.received[0].revision == 7);
    CHECK(it.received[0].elapsed == milliseconds{50});
    CHECK_FALSE(it.download.is_active());
}

TEST_CASE("only lost parts are asked for again, and parts that arrived are kept at another instance")
{
    receiver it;
    it.part(start, 0, 3);
    it.part(start, 2, 3);
    it.download.tick(start + milliseconds{249});
    CHECK(it.asked.size() == 1);
    it.download.tick(start + milliseconds{250});
    CHECK(it.asked.back().second.parts == std::vector<std::uint32_t>{1});
    it.download.tick(start + milliseconds{500});
    CHECK(it.asked.back().first == stand_by);
    CHECK(it.asked.back().second.parts == std::vector<std::uint32_t>{1});
    it.part(start + milliseconds{510}, 1, 3, 7, stand_by);
    REQUIRE(it.received.size() == 1);
    CHECK(it.received[0].bytes == "012");
}

TEST_CASE("a value that no instance sends is read from the store")
{
    receiver it;
    it.part(start, 0, 0); // the relay does not have it
    CHECK(it.asked.back().first == stand_by);
    for (int n = 1; n <= 2; ++n)
        it.download.tick(start + milliseconds{250} * n);
    CHECK(it.failures == std::vector<std::string>{"silent"});
    CHECK_FALSE(it.download.next_due());
}

TEST_CASE("an instance that has only an older value is not asked further")
{
    receiver it;
    it.part(start, 0, 2, 6);
    CHECK(it.asked.back().first == stand_by);
    it.part(start, 0, 2, 7, stand_by);
    it.part(start, 1, 2, 7, stand_by);
    CHECK(it.received.size() == 1);
}

TEST_CASE("a value that changes on the way is received in its newest revision")
{
    receiver it;
    it.part(start, 0, 2, 7);
    it.part(start, 0, 2, 9);
    it.part(start, 1, 2, 7); // of the value before
    CHECK(it.received.empty());
    it.part(start, 1, 2, 9);
    REQUIRE(it.received.size() == 1);
    CHECK(it.received[0].revision == 9);
}

TEST_CASE("a later revision replaces the one that is being received")
{
    receiver it;
    it.part(start, 0, 2, 7);
    it.download.start(start, {"conf", 9}, {relay_id});
    it.part(start, 1, 2, 7);
    CHECK(it.received.empty());
}

TEST_CASE("a receiver that waits in a queue does not ask again, but asks another instance in time")
{
    receiver it;
    it.download.on_part(start, {relay_id, "conf", {}, 0, 0, {}, true});
    it.download.on_part(start + milliseconds{600}, {relay_id, "conf", {}, 0, 0, {}, true});
    it.download.tick(start + milliseconds{999});
    CHECK(it.asked.size() == 1);
    it.download.tick(start + milliseconds{1000});
    REQUIRE(it.asked.size() == 2);
    CHECK(it.asked.back().first == stand_by);
}

namespace
{

/// A sender with one value of 100,000 bytes.
struct sender
{
    explicit sender(std::uint32_t link_mbps) { options.link_mbps = link_mbps; }

    part_source_options options;
    kv_item item{"conf", std::string(100'000, 'x'), 7};
    std::vector<std::pair<instance_id, value_part>> sent;
    int compressions = 0;

    part_source_hooks hooks()
    {
        part_source_hooks out;
        out.find = [this](const std::string& key) { return key == item.key ? &item : nullptr; };
        out.compress = [this](const std::string& it)
        {
            ++compressions;
            return it;
        };
        out.send = [this](const instance_id& to, const value_part& it) { sent.emplace_back(to, it); };
        return out;
    }
};

} // namespace

TEST_CASE("parts of a value are sent at the rate of the link, and each once while it waits")
{
    sender of{10};
    part_source it{of.options, relay_id, of.hooks()};
    it.on_request(start, {self, "conf", {0, 1, 99}});
    it.on_request(start, {self, "conf", {1}});
    REQUIRE(of.sent.size() == 1);
    CHECK(of.sent[0].second.bytes.size() == of.options.part_bytes);
    CHECK(of.sent[0].second.count == 7);
    // 16 KiB take 16.4 ms at 8 of 10 Mbit/s.
    CHECK(it.next_due() == start + core::duration{16'384});
    it.tick(start + milliseconds{17});
    it.tick(start + milliseconds{40});
    it.tick(start + milliseconds{60});
    CHECK(of.sent.size() == 2);
    CHECK(of.compressions == 1);
    CHECK_FALSE(it.next_due());
}

TEST_CASE("receivers are told that the value is missing, or that they wait")
{
    sender of{10};
    part_source it{of.options, relay_id, of.hooks()};
    it.on_request(start, {self, "other", {0}});
    REQUIRE(of.sent.size() == 1);
    CHECK(of.sent[0].second.count == 0);
    CHECK_FALSE(of.sent[0].second.is_queued);
    it.on_request(start, {self, "conf", {0, 1, 2, 3, 4, 5}});
    it.on_request(start, {stand_by, "conf", {0, 1, 2, 3}});
    CHECK(of.sent.back().first == stand_by);
    CHECK(of.sent.back().second.is_queued);
}

TEST_CASE("receivers are sent elsewhere if the queue is longer than reading the value from the store takes")
{
    sender of{1};
    part_source it{of.options, relay_id, of.hooks()};
    it.on_request(start, {self, "conf", {0, 1, 2, 3, 4, 5}});
    of.sent.clear();
    it.on_request(start, {stand_by, "conf", {0}});
    REQUIRE(of.sent.size() == 1);
    CHECK(of.sent[0].first == stand_by);
    CHECK(of.sent[0].second.count == 0);
    CHECK_FALSE(of.sent[0].second.is_queued);
}

TEST_CASE("a new value is compressed once for all receivers")
{
    sender of{0};
    part_source it{of.options, relay_id, of.hooks()};
    it.on_request(start, {self, "conf", {0, 1}});
    it.on_request(start, {stand_by, "conf", {0, 1}});
    CHECK(of.compressions == 1);
    CHECK(of.sent.size() == 4);
    of.item = {"conf", "y", 8};
    it.on_request(start, {self, "conf", {0, 1}});
    CHECK(of.compressions == 2);
    CHECK(of.sent.back().second.count == 1);
    CHECK(of.sent.back().second.revision == 8);
}
