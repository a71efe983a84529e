#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <random>

#include "runlink/proto/codec.hpp"

using namespace runlink;

namespace
{

core::ledger_entry full_entry()
{
    core::ledger_entry it;
    it.kind = core::entry_kind::settle;
    it.bill = core::bill_id{"k:a/1"};
    it.request = core::request_id{"r"};
    it.holder = core::incarnation_id{"i"};
    it.account = core::account_id{"a"};
    it.keyed = true;
    it.repeatable = false;
    it.fingerprint = "f";
    it.at = core::wall_time{5};
    it.partition = core::partition_id{3};
    it.outcome = core::run_outcome::ran;
    it.version = {core::model_id{"m"}, core::version_id{"v"}};
    it.service = core::service_id{"s"};
    it.endpoint = core::endpoint_id{"e"};
    it.prompt_tokens = core::token_count{1};
    it.answer_tokens = core::token_count{2};
    it.cost = core::micro_cost{3};
    it.answer = {true, 200, "text/plain", std::string{"\0\xff", 2}};
    return it;
}

std::vector<core::peer_message> every_message()
{
    core::heartbeat heartbeat;
    heartbeat.ready = true;
    heartbeat.stopping = true;
    heartbeat.revision = core::config_revision{9};
    heartbeat.leaving = {{core::endpoint_id{"e"}, core::endpoint_incarnation{4}}};
    heartbeat.versions = {{{core::model_id{"m"}, core::version_id{"v"}}, 1, 2, 3, 4, true}};
    heartbeat.members = {
        {core::instance_id{"b"}, core::incarnation_id{"b1"}, core::failure_domain_id{"d"}, "1.2.3.4:5"}};
    return {heartbeat,
            core::configuration_request{},
            core::configuration_document{"{}"},
            core::ledger_request{7, full_entry()},
            core::ledger_response{7, core::ledger_status::settled, full_entry()},
            core::copy_request{full_entry()},
            core::copy_response{core::bill_id{"b"}, core::request_id{"r"}},
            core::copy_release{core::bill_id{"b"}, core::request_id{"r"}}};
}

} // namespace

TEST_CASE("every peer message survives an encode and decode round trip")
{
    for (const auto& it : every_message())
    {
        const core::peer_envelope envelope{
            "d",
            {core::instance_id{"a"}, core::incarnation_id{"a1"}, core::failure_domain_id{"x"}, "1.2.3.4:5"},
            it};
        const auto decoded = proto::decode(proto::encode(envelope)).value();
        CHECK(decoded.deployment == "d");
        CHECK(decoded.sender == envelope.sender);
        CHECK(decoded.message == it);
    }
}

TEST_CASE("ledger segments, checkpoint headers and records survive an encode and decode round trip")
{
    const auto codec = proto::make_ledger_codec();
    const core::ledger_segment segment{core::partition_id{1},
                                       core::segment_sequence{2},
                                       core::batch_id{"b"},
                                       core::incarnation_id{"o"},
                                       {full_entry(), full_entry()}};
    CHECK(codec.decode_segment(codec.encode_segment(segment)).value() == segment);
    const core::checkpoint_header header{core::segment_sequence{5}, {"x", "y"}};
    CHECK(codec.decode_header(codec.encode_header(header)).value() == header);
    const std::vector<core::ledger_record> records{{core::record_state::unknown, full_entry()}};
    CHECK(codec.decode_records(codec.encode_records(records)).value() == records);
}

TEST_CASE("decoding corrupted bytes gives a failure or another message, never a crash")
{
    std::mt19937_64 random{1};
    for (const auto& it : every_message())
    {
        const auto bytes = proto::encode({"d", {}, it});
        for (int n = 0; n < 2000; ++n)
        {
            auto changed = bytes;
            for (int k = 0; k < 3; ++k)
                changed[random() % changed.size()] = static_cast<char>(random());
            changed.resize(random() % (changed.size() + 1));
            (void)proto::decode(changed);
        }
    }
    CHECK_FALSE(proto::decode("not a message"));
    CHECK_FALSE(proto::decode(""));
}
