#include "runlink/proto/codec.hpp"

#include <google/protobuf/stubs/logging.h>

#include "peer.pb.h"

namespace runlink::proto
{
namespace
{

using core::errc;
using core::failure;

void to_wire(const core::version_ref& from, wire::Version& to)
{
    to.set_model(from.model.str());
    to.set_version(from.version.str());
}

core::version_ref from_wire(const wire::Version& from)
{
    return {core::model_id{from.model()}, core::version_id{from.version()}};
}

void to_wire(const core::member_info& from, wire::Member& to)
{
    to.set_id(from.id.str());
    to.set_incarnation(from.incarnation.str());
    to.set_failure_domain(from.failure_domain.str());
    to.set_address(from.address);
}

core::member_info from_wire(const wire::Member& from)
{
    return {core::instance_id{from.id()}, core::incarnation_id{from.incarnation()},
            core::failure_domain_id{from.failure_domain()}, from.address()};
}

void to_wire(const core::leave_mark& from, wire::LeaveMark& to)
{
    to.set_endpoint(from.endpoint.str());
    to.set_incarnation(from.incarnation.value());
}

core::leave_mark from_wire(const wire::LeaveMark& from)
{
    return {core::endpoint_id{from.endpoint()}, core::endpoint_incarnation{from.incarnation()}};
}

void to_wire(const core::version_counts& from, wire::VersionCounts& to)
{
    to_wire(from.version, *to.mutable_version());
    to.set_started(from.started);
    to.set_good(from.good);
    to.set_bad(from.bad);
    to.set_failed(from.failed);
    to.set_stopped(from.stopped);
}

core::version_counts from_wire(const wire::VersionCounts& from)
{
    return {
        from_wire(from.version()), from.started(), from.good(), from.bad(), from.failed(), from.stopped()};
}

void to_wire(const core::heartbeat& from, wire::Heartbeat& to)
{
    to.set_ready(from.ready);
    to.set_stopping(from.stopping);
    to.set_revision(from.revision.value());
    for (const auto& it : from.leaving)
        to_wire(it, *to.add_leaving());
    for (const auto& it : from.versions)
        to_wire(it, *to.add_versions());
    for (const auto& it : from.members)
        to_wire(it, *to.add_members());
}

core::heartbeat from_wire(const wire::Heartbeat& from)
{
    core::heartbeat to;
    to.ready = from.ready();
    to.stopping = from.stopping();
    to.revision = core::config_revision{from.revision()};
    for (const auto& it : from.leaving())
        to.leaving.push_back(from_wire(it));
    for (const auto& it : from.versions())
        to.versions.push_back(from_wire(it));
    for (const auto& it : from.members())
        to.members.push_back(from_wire(it));
    return to;
}

void to_wire(const core::kept_answer& from, wire::KeptAnswer& to)
{
    to.set_kept(from.kept);
    to.set_status(from.status);
    to.set_content_type(from.content_type);
    to.set_body(from.body);
}

void to_wire(const core::ledger_entry& from, wire::LedgerEntry& to)
{
    to.set_kind(static_cast<std::uint32_t>(from.kind));
    to.set_bill(from.bill.str());
    to.set_request(from.request.str());
    to.set_holder(from.holder.str());
    to.set_account(from.account.str());
    to.set_keyed(from.keyed);
    to.set_repeatable(from.repeatable);
    to.set_fingerprint(from.fingerprint);
    to.set_at(from.at.value());
    to.set_partition(from.partition.value());
    to.set_outcome(static_cast<std::uint32_t>(from.outcome));
    to_wire(from.version, *to.mutable_version());
    to.set_service(from.service.str());
    to.set_endpoint(from.endpoint.str());
    to.set_prompt_tokens(from.prompt_tokens.value());
    to.set_answer_tokens(from.answer_tokens.value());
    to.set_cost(from.cost.value());
    if (from.answer.kept)
        to_wire(from.answer, *to.mutable_answer());
}

core::ledger_entry from_wire(const wire::LedgerEntry& from)
{
    core::ledger_entry to;
    to.kind = static_cast<core::entry_kind>(from.kind());
    to.bill = core::bill_id{from.bill()};
    to.request = core::request_id{from.request()};
    to.holder = core::incarnation_id{from.holder()};
    to.account = core::account_id{from.account()};
    to.keyed = from.keyed();
    to.repeatable = from.repeatable();
    to.fingerprint = from.fingerprint();
    to.at = core::wall_time{from.at()};
    to.partition = core::partition_id{from.partition()};
    to.outcome = static_cast<core::run_outcome>(from.outcome());
    to.version = from_wire(from.version());
    to.service = core::service_id{from.service()};
    to.endpoint = core::endpoint_id{from.endpoint()};
    to.prompt_tokens = core::token_count{from.prompt_tokens()};
    to.answer_tokens = core::token_count{from.answer_tokens()};
    to.cost = core::micro_cost{from.cost()};
    to.answer = {from.answer().kept(), from.answer().status(), from.answer().content_type(),
                 from.answer().body()};
    return to;
}

/// True if the enum values `kind` and `outcome` are in range.
bool is_valid(const wire::LedgerEntry& it)
{
    return it.kind() <= static_cast<std::uint32_t>(core::entry_kind::mark_unknown) &&
           it.outcome() <= static_cast<std::uint32_t>(core::run_outcome::unknown);
}

struct message_writer
{
    wire::Envelope& to;

    void operator()(const core::heartbeat& it) const { to_wire(it, *to.mutable_heartbeat()); }
    void operator()(const core::configuration_request&) const { to.mutable_configuration_request(); }
    void operator()(const core::configuration_document& it) const
    {
        to.mutable_configuration_document()->set_json(it.json);
    }
    void operator()(const core::ledger_request& it) const
    {
        to.mutable_ledger_request()->set_id(it.id);
        to_wire(it.entry, *to.mutable_ledger_request()->mutable_entry());
    }
    void operator()(const core::ledger_response& it) const
    {
        auto& m = *to.mutable_ledger_response();
        m.set_id(it.id);
        m.set_status(static_cast<std::uint32_t>(it.status));
        to_wire(it.record, *m.mutable_record());
    }
    void operator()(const core::copy_request& it) const
    {
        to_wire(it.entry, *to.mutable_copy_request()->mutable_entry());
    }
    void operator()(const core::copy_response& it) const
    {
        to.mutable_copy_response()->set_bill(it.bill.str());
        to.mutable_copy_response()->set_request(it.request.str());
    }
    void operator()(const core::copy_release& it) const
    {
        to.mutable_copy_release()->set_bill(it.bill.str());
        to.mutable_copy_release()->set_request(it.request.str());
    }
};

core::result<core::peer_message> message_from_wire(const wire::Envelope& from)
{
    using core::bill_id;
    using core::request_id;
    const failure malformed{errc::malformed_request, "malformed peer message"};
    switch (from.message_case())
    {
    case wire::Envelope::kHeartbeat: return core::peer_message{from_wire(from.heartbeat())};
    case wire::Envelope::kConfigurationRequest: return core::peer_message{core::configuration_request{}};
    case wire::Envelope::kConfigurationDocument:
        return core::peer_message{core::configuration_document{from.configuration_document().json()}};
    case wire::Envelope::kLedgerRequest:
        if (!is_valid(from.ledger_request().entry()))
            return malformed;
        return core::peer_message{
            core::ledger_request{from.ledger_request().id(), from_wire(from.ledger_request().entry())}};
    case wire::Envelope::kLedgerResponse:
    {
        const auto& m = from.ledger_response();
        if (!is_valid(m.record()) || m.status() > static_cast<std::uint32_t>(core::ledger_status::not_owner))
            return malformed;
        return core::peer_message{core::ledger_response{m.id(), static_cast<core::ledger_status>(m.status()),
                                                        from_wire(m.record())}};
    }
    case wire::Envelope::kCopyRequest:
        if (!is_valid(from.copy_request().entry()))
            return malformed;
        return core::peer_message{core::copy_request{from_wire(from.copy_request().entry())}};
    case wire::Envelope::kCopyResponse:
        return core::peer_message{core::copy_response{bill_id{from.copy_response().bill()},
                                                      request_id{from.copy_response().request()}}};
    case wire::Envelope::kCopyRelease:
        return core::peer_message{core::copy_release{bill_id{from.copy_release().bill()},
                                                     request_id{from.copy_release().request()}}};
    case wire::Envelope::MESSAGE_NOT_SET: break;
    }
    return malformed;
}

/// Turns off protobuf's own log, which prints a line for each malformed message. The caller receives a
/// typed failure instead.
void silence_protobuf_log()
{
    static const auto previous_handler = google::protobuf::SetLogHandler(nullptr);
    (void)previous_handler;
}

template <class Message>
bool parse(Message& it, std::string_view bytes)
{
    silence_protobuf_log();
    return it.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()));
}

std::string encode_segment(const core::ledger_segment& it)
{
    wire::LedgerSegment to;
    to.set_partition(it.partition.value());
    to.set_sequence(it.sequence.value());
    to.set_batch(it.batch.str());
    to.set_owner(it.owner.str());
    for (const auto& e : it.entries)
        to_wire(e, *to.add_entries());
    return to.SerializeAsString();
}

core::result<core::ledger_segment> decode_segment(std::string_view bytes)
{
    wire::LedgerSegment from;
    if (!parse(from, bytes))
        return failure{errc::internal, "malformed ledger segment"};
    core::ledger_segment to;
    to.partition = core::partition_id{from.partition()};
    to.sequence = core::segment_sequence{from.sequence()};
    to.batch = core::batch_id{from.batch()};
    to.owner = core::incarnation_id{from.owner()};
    for (const auto& e : from.entries())
        to.entries.push_back(from_wire(e));
    return to;
}

std::string encode_header(const core::checkpoint_header& it)
{
    wire::CheckpointHeader to;
    to.set_next(it.next.value());
    for (const auto& e : it.part_keys)
        to.add_part_keys(e);
    return to.SerializeAsString();
}

core::result<core::checkpoint_header> decode_header(std::string_view bytes)
{
    wire::CheckpointHeader from;
    if (!parse(from, bytes))
        return failure{errc::internal, "malformed ledger checkpoint"};
    return core::checkpoint_header{core::segment_sequence{from.next()},
                                   {from.part_keys().begin(), from.part_keys().end()}};
}

std::string encode_records(const std::vector<core::ledger_record>& it)
{
    wire::LedgerRecords to;
    for (const auto& e : it)
    {
        auto& record = *to.add_records();
        record.set_state(static_cast<std::uint32_t>(e.state));
        to_wire(e.entry, *record.mutable_entry());
    }
    return to.SerializeAsString();
}

core::result<std::vector<core::ledger_record>> decode_records(std::string_view bytes)
{
    wire::LedgerRecords from;
    if (!parse(from, bytes))
        return failure{errc::internal, "malformed ledger records"};
    std::vector<core::ledger_record> to;
    for (const auto& e : from.records())
        to.push_back({static_cast<core::record_state>(e.state()), from_wire(e.entry())});
    return to;
}

} // namespace

std::string encode(const core::peer_envelope& it)
{
    wire::Envelope to;
    to.set_deployment(it.deployment);
    to_wire(it.sender, *to.mutable_sender());
    std::visit(message_writer{to}, it.message);
    return to.SerializeAsString();
}

core::result<core::peer_envelope> decode(std::string_view bytes)
{
    wire::Envelope from;
    if (!parse(from, bytes))
        return failure{errc::malformed_request, "malformed peer message"};
    BOOST_OUTCOME_TRY(message, message_from_wire(from));
    return core::peer_envelope{from.deployment(), from_wire(from.sender()), std::move(message)};
}

core::ledger_codec make_ledger_codec()
{
    return {encode_segment, decode_segment, encode_header, decode_header, encode_records, decode_records};
}

} // namespace runlink::proto
