#include <catch2/catch.hpp>

#include <QTcpServer>

#include "runlink/net/peer_link.hpp"
#include "support/event_loop.hpp"

using namespace runlink;

namespace
{

std::string free_address()
{
    QTcpServer it;
    it.listen(QHostAddress{"127.0.0.1"});
    return "127.0.0.1:" + std::to_string(it.serverPort());
}

core::peer_envelope document(const std::string& text)
{
    return {"d",
            {core::instance_id{"a"}, core::incarnation_id{"a1"}, core::failure_domain_id{"x"}, ""},
            core::configuration_document{text}};
}

} // namespace

TEST_CASE("messages arrive in order, however many come at once")
{
    std::vector<std::string> got;
    net::peer_link receiver{[&](const core::peer_envelope& it)
                            { got.push_back(std::get<core::configuration_document>(it.message).json); }};
    const auto address = free_address();
    REQUIRE(receiver.bind(address));
    net::peer_link sender{[](const core::peer_envelope&) {}};
    REQUIRE(net::run_until(
        [&]
        {
            sender.send(address, document("hello"));
            return !got.empty();
        }));
    got.clear();
    for (int n = 0; n < 500; ++n)
        sender.send(address, document(std::to_string(n)));
    REQUIRE(net::run_until([&] { return !got.empty() && got.back() == "499"; }));
    const auto first = std::find(got.begin(), got.end(), "0");
    REQUIRE(std::distance(first, got.end()) == 500);
    for (int n = 0; n < 500; ++n)
        CHECK(*(first + n) == std::to_string(n));
}

TEST_CASE("messages to an unreachable address are dropped, and binding an address in use fails")
{
    net::peer_link a{[](const core::peer_envelope&) {}};
    const auto address = free_address();
    REQUIRE(a.bind(address));
    net::peer_link b{[](const core::peer_envelope&) {}};
    CHECK(b.bind(address).error().code == core::errc::settings_invalid);
    for (int n = 0; n < 10; ++n)
        b.send("127.0.0.1:1", document("x"));
    CHECK(b.dropped_messages() == 10);
}
