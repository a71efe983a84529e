#include "runlink/proto/gossip_codec.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <limits>

#include "gossip.pb.h"

namespace runlink::proto
{
namespace
{

constexpr std::uint32_t max_port = std::numeric_limits<std::uint16_t>::max();
constexpr core::milliseconds max_age = std::chrono::days{366};

void to_wire(const std::monostate&, wire::Datagram&) {}

void to_wire(const core::store_revision& it, wire::StoreRevision& to)
{
    to.set_era(it.era.value());
    to.set_number(it.number);
}

core::store_revision from_wire(const wire::StoreRevision& in)
{
    return {core::store_era{in.era()}, in.number()};
}

void to_wire(const routing::answer_counts& it, wire::AnswerCounts& to)
{
    to.set_all(it.all);
    for (const auto n : it.with)
        to.add_with(n);
}

void to_wire(const load::request_counts& it, wire::RequestCounts& to)
{
    to.set_endpoint(static_cast<std::uint32_t>(it.endpoint.value()));
    to.set_in_flight(it.in_flight);
    to.set_full(it.is_full);
    to.set_arrivals_per_1000_s(it.arrivals_per_1000_s);
    to.set_answer_us(it.answer_us);
}

load::request_counts from_wire(const wire::RequestCounts& in)
{
    return {load::endpoint_hash{in.endpoint()}, in.in_flight(), in.full(), in.arrivals_per_1000_s(),
            in.answer_us()};
}

void to_wire(const routing::gossip_message& message, wire::Datagram& to)
{
    auto& out = *to.mutable_gossip();
    out.set_sender(message.sender.str());
    for (const auto& e : message.runs)
    {
        auto* run = out.add_runs();
        run->set_session_hash(e.session.value());
        run->set_version(e.version.str());
    }
    for (const auto& e : message.evidence)
    {
        auto* evidence = out.add_evidence();
        evidence->set_service(e.service.str());
        to_wire(e.order_revision, *evidence->mutable_order());
        evidence->set_route(e.group.route);
        evidence->set_model(e.group.model.str());
        to_wire(e.fresh, *evidence->mutable_fresh());
        to_wire(e.old, *evidence->mutable_old());
        for (const auto n : e.flawed)
            evidence->add_flawed(static_cast<std::uint32_t>(n.value()));
        for (const auto n : e.sound)
            evidence->add_sound(static_cast<std::uint32_t>(n.value()));
    }
    for (const auto& e : message.prompts)
    {
        auto* prompt = out.add_prompts();
        prompt->set_endpoint(static_cast<std::uint32_t>(e.endpoint.value()));
        prompt->set_prompt(static_cast<std::uint32_t>(e.prompt.value()));
        prompt->set_work_ms(static_cast<std::uint32_t>(e.work.count()));
        prompt->set_stream(static_cast<std::uint32_t>(e.stream.value()));
        prompt->set_held_tokens(e.held_tokens);
        prompt->set_made_tokens(e.made_tokens);
        prompt->set_run_ms(static_cast<std::uint32_t>(e.run_time.count()));
    }
    for (const auto& e : message.answers)
    {
        auto* answer = out.add_answers();
        answer->set_endpoint(static_cast<std::uint32_t>(e.endpoint.value()));
        answer->set_age_ms(static_cast<std::uint32_t>(e.age.count()));
        answer->set_stream(static_cast<std::uint32_t>(e.stream.value()));
    }
    for (const auto& e : message.ended)
    {
        auto* ended = out.add_ended();
        ended->set_endpoint(static_cast<std::uint32_t>(e.endpoint.value()));
        ended->set_stream(static_cast<std::uint32_t>(e.stream.value()));
    }
    for (const auto& e : message.counts)
        to_wire(e, *out.add_counts());
    out.set_configuration_version(message.configuration_version);
}

void to_wire(const control::sync_request& it, wire::Datagram& to)
{
    auto& out = *to.mutable_request();
    out.set_sender(it.sender.id.str());
    out.set_failure_domain(it.sender.failure_domain.str());
    out.set_host(it.sender.host);
    out.set_port(it.sender.port);
    out.set_link_mbps(it.sender.link_mbps);
    out.set_number(it.number);
    to_wire(it.store_revision, *out.mutable_store_at());
    out.set_joining(it.is_joining);
    out.set_configuration_version(it.configuration_version);
}

void to_wire(const control::part_request& it, wire::Datagram& to)
{
    auto& out = *to.mutable_part_request();
    out.set_sender(it.sender.str());
    out.set_key(it.key);
    for (const auto n : it.parts)
        out.add_parts(n);
}

void to_wire(const control::value_part& it, wire::Datagram& to)
{
    auto& out = *to.mutable_part();
    out.set_sender(it.sender.str());
    out.set_key(it.key);
    to_wire(it.revision, *out.mutable_at());
    out.set_index(it.index);
    out.set_count(it.count);
    out.set_data(it.bytes);
    out.set_queued(it.is_queued);
}

void to_wire(const control::sync_reply& it, wire::Datagram& to)
{
    auto& out = *to.mutable_reply();
    out.set_sender(it.sender.str());
    out.set_number(it.number);
    out.set_has_proof(it.proof_age.has_value());
    out.set_proof_age_ms(it.proof_age ? static_cast<std::uint64_t>(it.proof_age->count()) : 0);
    out.set_configuration_version(it.configuration_version);
    out.set_recovering(it.is_recovering);
    to_wire(it.since, *out.mutable_since());
    to_wire(it.complete_since, *out.mutable_complete_since());
    to_wire(it.store_revision, *out.mutable_store_at());
    out.set_history_gone(it.history_gone);
    out.set_queued(it.is_queued);
    out.set_has_more(it.has_more);
    for (const auto& e : it.events)
    {
        auto* event = out.add_events();
        event->set_key(e.item.key);
        event->set_value(e.item.value);
        to_wire(e.item.revision, *event->mutable_at());
        event->set_deleted(e.is_deleted);
        event->set_from_copy(e.is_from_copy);
    }
    for (const auto& e : it.omitted)
    {
        auto* omitted = out.add_omitted();
        omitted->set_key(e.key);
        to_wire(e.revision, *omitted->mutable_at());
    }
}

void to_wire(const load::load_digest& it, wire::Datagram& to)
{
    auto& out = *to.mutable_load();
    out.set_failure_domain(it.domain.str());
    for (const auto& e : it.loads)
    {
        out.add_endpoints(static_cast<std::uint32_t>(e.endpoint.value()));
        out.add_left_ms(static_cast<std::uint32_t>(e.left.count()));
    }
    for (const auto& e : it.counts)
        to_wire(e, *out.add_counts());
    const auto is_tracked = [](const load::endpoint_load& e) { return e.running > 0; };
    if (std::none_of(it.loads.begin(), it.loads.end(), is_tracked))
        return;
    for (const auto& e : it.loads)
    {
        out.add_running(e.running);
        out.add_held_tokens(e.held_tokens);
        out.add_tokens_left(e.tokens_left);
    }
}

void to_wire(const crashes::crash_message& it, wire::Datagram& to)
{
    auto& out = *to.mutable_crashes();
    for (const auto& e : it.reports)
    {
        auto* report = out.add_reports();
        report->set_endpoint(e.endpoint.value());
        for (const auto& run : e.running)
        {
            report->add_requests(run.element.value());
            report->add_ran_ms(static_cast<std::uint32_t>(run.run_duration.count()));
        }
    }
    for (const auto& e : it.trials)
    {
        auto* trial = out.add_trials();
        trial->set_request(e.element.value());
        trial->set_endpoint(e.endpoint.value());
        trial->set_over(e.is_over);
        trial->set_reached(e.has_reached);
    }
    for (const auto& e : it.findings)
    {
        auto* finding = out.add_findings();
        finding->set_request(e.element.value());
        finding->set_harmful(e.what == crashes::element_effect::harmful);
        for (const auto companion : e.companions)
            finding->add_companions(companion.value());
    }
}

void to_wire(const places::limit_reports& it, wire::Datagram& to)
{
    auto& out = *to.mutable_limits();
    out.set_sender(it.sender.str());
    for (const auto& e : it.reports)
    {
        auto* report = out.add_reports();
        report->set_endpoint(e.endpoint.str());
        report->set_limited(e.requests_per_s.has_value());
        report->set_requests_per_s(e.requests_per_s.value_or(0));
        report->set_age_ms(static_cast<std::uint32_t>(e.age.count()));
        report->set_sends(e.sends);
    }
}

void to_wire(const routing::leaving_notices& it, wire::Datagram& to)
{
    auto& out = *to.mutable_leaving();
    for (const auto& e : it.notices)
    {
        auto* notice = out.add_notices();
        notice->set_endpoint(e.endpoint.str());
        notice->set_age_ms(static_cast<std::uint32_t>(e.age.count()));
    }
}

void to_wire(const duties::usage_report& it, wire::Datagram& to)
{
    auto& out = *to.mutable_usage();
    out.set_sender(it.sender.str());
    out.set_process(it.process.str());
    for (const auto& e : it.windows)
    {
        auto* window = out.add_windows();
        window->set_window(e.window.value());
        for (const auto& [account, n] : e.accounts)
        {
            window->add_accounts(account.str());
            window->add_counts(n);
        }
    }
    for (const auto& e : it.loads)
    {
        auto* load = out.add_loads();
        load->set_service(e.service.str());
        load->set_running(e.running);
    }
}

wire::Contact to_wire(std::optional<core::contact> it)
{
    if (!it)
        return wire::CONTACT_NONE;
    switch (*it)
    {
    case core::contact::answered: return wire::CONTACT_ANSWERED;
    case core::contact::refused: return wire::CONTACT_REFUSED;
    case core::contact::silent: return wire::CONTACT_SILENT;
    }
    return wire::CONTACT_NONE;
}

std::optional<core::contact> from_wire(wire::Contact in)
{
    switch (in)
    {
    case wire::CONTACT_ANSWERED: return core::contact::answered;
    case wire::CONTACT_REFUSED: return core::contact::refused;
    case wire::CONTACT_SILENT: return core::contact::silent;
    default: return std::nullopt;
    }
}

void to_wire(const paths::reach_query& it, wire::Datagram& to)
{
    auto& out = *to.mutable_reach_query();
    out.set_sender(it.sender.str());
    out.set_number(it.number);
    out.set_endpoint(it.endpoint.str());
}

void to_wire(const paths::reach_reply& it, wire::Datagram& to)
{
    auto& out = *to.mutable_reach_reply();
    out.set_sender(it.sender.str());
    out.set_number(it.number);
    out.set_endpoint(it.endpoint.str());
    out.set_contact(to_wire(it.contact));
    out.set_carries(it.carries);
    out.set_port(it.port);
    out.set_ticket(it.ticket);
}

datagram from_wire(const wire::ReachQuery& in)
{
    return paths::reach_query{core::instance_id{in.sender()}, in.number(), core::endpoint_id{in.endpoint()}};
}

datagram from_wire(const wire::ReachReply& in)
{
    paths::reach_reply out;
    if (in.port() > max_port)
        return {};
    out.sender = core::instance_id{in.sender()};
    out.number = in.number();
    out.endpoint = core::endpoint_id{in.endpoint()};
    out.contact = from_wire(in.contact());
    out.carries = in.carries();
    out.port = static_cast<std::uint16_t>(in.port());
    out.ticket = in.ticket();
    return out;
}

datagram from_wire(const wire::UsageReport& in)
{
    duties::usage_report out;
    out.sender = core::instance_id{in.sender()};
    out.process = core::incarnation_id{in.process()};
    for (const auto& e : in.windows())
    {
        duties::window_counts window;
        window.window = duties::window_number{e.window()};
        const auto n = std::min(e.accounts_size(), e.counts_size());
        for (int i = 0; i < n; ++i)
            window.accounts[core::account_id{e.accounts(i)}] = e.counts(i);
        out.windows.push_back(std::move(window));
    }
    for (const auto& e : in.loads())
        out.loads.push_back({core::service_id{e.service()}, e.running()});
    return out;
}

datagram from_wire(const wire::LeavingNotices& in)
{
    routing::leaving_notices out;
    for (const auto& e : in.notices())
        out.notices.push_back({core::endpoint_id{e.endpoint()}, core::milliseconds{e.age_ms()}});
    return out;
}

/// Skips reports whose rate limit is negative, infinite or NaN.
datagram from_wire(const wire::LimitReports& in)
{
    places::limit_reports out;
    out.sender = core::instance_id{in.sender()};
    for (const auto& e : in.reports())
    {
        if (!std::isfinite(e.requests_per_s()) || e.requests_per_s() < 0)
            continue;
        places::limit_report report;
        report.endpoint = core::endpoint_id{e.endpoint()};
        if (e.limited())
            report.requests_per_s = e.requests_per_s();
        report.age = core::milliseconds{e.age_ms()};
        report.sends = e.sends();
        out.reports.push_back(std::move(report));
    }
    return out;
}

datagram from_wire(const wire::CrashNews& in)
{
    crashes::crash_message out;
    for (const auto& e : in.reports())
    {
        crashes::crash_report report;
        report.endpoint = crashes::endpoint_id_hash{e.endpoint()};
        const auto n = std::min(e.requests_size(), e.ran_ms_size());
        for (int i = 0; i < n; ++i)
            report.running.push_back(
                {crashes::element_fingerprint{e.requests(i)}, core::milliseconds{e.ran_ms(i)}});
        out.reports.push_back(std::move(report));
    }
    for (const auto& e : in.trials())
        out.trials.push_back({crashes::element_fingerprint{e.request()},
                              crashes::endpoint_id_hash{e.endpoint()}, e.over(), e.reached()});
    for (const auto& e : in.findings())
    {
        crashes::element_finding finding{crashes::element_fingerprint{e.request()},
                                         e.harmful() ? crashes::element_effect::harmful
                                                     : crashes::element_effect::harmless};
        for (const auto companion : e.companions())
            finding.companions.emplace_back(companion);
        out.findings.push_back(std::move(finding));
    }
    return out;
}

datagram from_wire(const wire::LoadDigest& in)
{
    load::load_digest out;
    out.domain = core::failure_domain_id{in.failure_domain()};
    const auto n = std::min(in.endpoints_size(), in.left_ms_size());
    for (int i = 0; i < n; ++i)
    {
        load::endpoint_load it{load::endpoint_hash{in.endpoints(i)}, core::milliseconds{in.left_ms(i)}};
        if (i < in.running_size() && i < in.held_tokens_size() && i < in.tokens_left_size())
        {
            it.running = in.running(i);
            it.held_tokens = in.held_tokens(i);
            it.tokens_left = in.tokens_left(i);
        }
        out.loads.push_back(it);
    }
    for (const auto& e : in.counts())
        out.counts.push_back(from_wire(e));
    return out;
}

routing::answer_counts from_wire(const wire::AnswerCounts& in)
{
    routing::answer_counts out{in.all(), {}};
    const auto n = std::min(static_cast<std::size_t>(in.with_size()), out.with.size());
    std::copy_n(in.with().begin(), n, out.with.begin());
    return out;
}

routing::version_evidence from_wire(const wire::VersionEvidence& in)
{
    routing::version_evidence out;
    out.service = core::service_id{in.service()};
    out.order_revision = from_wire(in.order());
    out.group = {in.route(), core::model_id{in.model()}};
    out.fresh = from_wire(in.fresh());
    out.old = from_wire(in.old());
    for (const auto n : in.flawed())
        out.flawed.emplace_back(n);
    for (const auto n : in.sound())
        out.sound.emplace_back(n);
    return out;
}

datagram from_wire(const wire::Gossip& in)
{
    routing::gossip_message out;
    out.sender = core::instance_id{in.sender()};
    for (const auto& e : in.runs())
        out.runs.push_back({routing::session_hash{e.session_hash()}, core::version_id{e.version()}});
    for (const auto& e : in.evidence())
        out.evidence.push_back(from_wire(e));
    for (const auto& e : in.prompts())
        out.prompts.push_back({routing::endpoint_hash{e.endpoint()}, routing::prompt_hash{e.prompt()},
                               core::milliseconds{e.work_ms()}, load::stream_hash{e.stream()},
                               e.held_tokens(), e.made_tokens(), core::milliseconds{e.run_ms()}});
    for (const auto& e : in.answers())
        out.answers.push_back({routing::endpoint_hash{e.endpoint()}, core::milliseconds{e.age_ms()},
                               load::stream_hash{e.stream()}});
    for (const auto& e : in.ended())
        out.ended.push_back({load::endpoint_hash{e.endpoint()}, load::stream_hash{e.stream()}});
    for (const auto& e : in.counts())
        out.counts.push_back(from_wire(e));
    out.configuration_version = in.configuration_version();
    return out;
}

datagram from_wire(const wire::SyncRequest& in)
{
    control::sync_request out;
    if (in.port() > max_port)
        return {};
    out.sender.id = core::instance_id{in.sender()};
    out.sender.failure_domain = core::failure_domain_id{in.failure_domain()};
    out.sender.host = in.host();
    out.sender.port = static_cast<std::uint16_t>(in.port());
    out.sender.link_mbps = in.link_mbps();
    out.number = in.number();
    out.store_revision = from_wire(in.store_at());
    out.is_joining = in.joining();
    out.configuration_version = in.configuration_version();
    return out;
}

datagram from_wire(const wire::SyncReply& in)
{
    control::sync_reply out;
    if (in.proof_age_ms() > static_cast<std::uint64_t>(max_age.count()))
        return {};
    out.sender = core::instance_id{in.sender()};
    out.number = in.number();
    if (in.has_proof())
        out.proof_age = core::milliseconds{static_cast<core::milliseconds::rep>(in.proof_age_ms())};
    out.configuration_version = in.configuration_version();
    out.is_recovering = in.recovering();
    out.since = from_wire(in.since());
    out.complete_since = from_wire(in.complete_since());
    out.store_revision = from_wire(in.store_at());
    out.history_gone = in.history_gone();
    out.is_queued = in.queued();
    out.has_more = in.has_more();
    for (const auto& e : in.events())
        out.events.push_back({{e.key(), e.value(), from_wire(e.at())}, e.deleted(), e.from_copy()});
    for (const auto& e : in.omitted())
        out.omitted.push_back({e.key(), from_wire(e.at())});
    return out;
}

datagram from_wire(const wire::PartRequest& in)
{
    control::part_request out;
    out.sender = core::instance_id{in.sender()};
    out.key = in.key();
    out.parts = {in.parts().begin(), in.parts().end()};
    return out;
}

datagram from_wire(const wire::ValuePart& in)
{
    control::value_part out;
    out.sender = core::instance_id{in.sender()};
    out.key = in.key();
    out.revision = from_wire(in.at());
    out.index = in.index();
    out.count = in.count();
    out.bytes = in.data();
    out.is_queued = in.queued();
    return out;
}

} // namespace

std::string encode(const datagram& it)
{
    wire::Datagram out;
    std::visit([&](const auto& e) { to_wire(e, out); }, it);
    return out.SerializeAsString();
}

datagram decode_datagram(std::string_view bytes)
{
    wire::Datagram in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return {};
    switch (in.message_case())
    {
    case wire::Datagram::kGossip: return from_wire(in.gossip());
    case wire::Datagram::kRequest: return from_wire(in.request());
    case wire::Datagram::kReply: return from_wire(in.reply());
    case wire::Datagram::kLoad: return from_wire(in.load());
    case wire::Datagram::kCrashes: return from_wire(in.crashes());
    case wire::Datagram::kLimits: return from_wire(in.limits());
    case wire::Datagram::kLeaving: return from_wire(in.leaving());
    case wire::Datagram::kUsage: return from_wire(in.usage());
    case wire::Datagram::kReachQuery: return from_wire(in.reach_query());
    case wire::Datagram::kReachReply: return from_wire(in.reach_reply());
    case wire::Datagram::kPartRequest: return from_wire(in.part_request());
    case wire::Datagram::kPart: return from_wire(in.part());
    case wire::Datagram::MESSAGE_NOT_SET: break;
    }
    return {};
}

} // namespace runlink::proto
