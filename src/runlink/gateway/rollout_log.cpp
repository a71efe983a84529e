#include "runlink/gateway/rollout_log.hpp"

#include <string>

namespace runlink::gateway
{
namespace
{

std::int64_t signed_number(std::uint64_t it)
{
    return static_cast<std::int64_t>(it);
}

void add_record(observe::log_line& to, const routing::rollout_record& it)
{
    to.text("service", it.service.str())
        .text("version", it.target.str())
        .text("state", to_string(it.state))
        .number("share_percent", it.share_percent)
        .number("revision", signed_number(it.revision.number));
}

void add_counts(observe::log_line& to, const std::optional<routing::rollout_status>& known)
{
    if (!known)
        return;
    to.number("answers", known->fresh.all);
    for (const auto it : routing::all_answer_flaws)
        to.number(to_string(it), known->fresh[it]);
    to.number("old_answers", known->old.all);
    for (const auto it : routing::all_answer_flaws)
        to.number("old_" + std::string{to_string(it)}, known->old[it]);
    to.number("peers", signed_number(known->peers));
}

std::string_view outcome_of(const control::kv_commit_result& it)
{
    if (const auto* why = std::get_if<control::kv_error>(&it))
        return to_string(*why);
    return std::holds_alternative<control::kv_conflict>(it) ? "conflict" : "done";
}

} // namespace

observe::log_line rollout_order_line(const routing::rollout_order& it)
{
    observe::log_line out{"rollout_ordered"};
    out.text("service", it.service.str())
        .text("version", it.target.str())
        .number("allowed_ms", it.allowed.count())
        .number("revision", signed_number(it.revision.number));
    return out;
}

observe::log_line rollout_record_line(const routing::rollout_record& it,
                                      const std::optional<routing::rollout_status>& known)
{
    observe::log_line out{"rollout_record"};
    add_record(out, it);
    if (known)
        out.number("order_revision", signed_number(known->order.revision.number));
    add_counts(out, known);
    return out;
}

observe::log_line rollout_write_line(const routing::rollout_record& it,
                                     const std::optional<routing::rollout_status>& known)
{
    observe::log_line out{"rollout_write"};
    add_record(out, it);
    add_counts(out, known);
    return out;
}

observe::log_line rollout_written_line(const routing::rollout_record& it,
                                       const control::kv_commit_result& result)
{
    observe::log_line out{"rollout_written"};
    add_record(out, it);
    out.text("reason", outcome_of(result));
    return out;
}

observe::log_line version_found_bad_line(const core::service_id& service, const routing::version_fault& why,
                                         const std::optional<routing::rollout_status>& known)
{
    observe::log_line out{"version_found_bad"};
    out.text("service", service.str()).text("reason", routing::to_string(why));
    add_counts(out, known);
    return out;
}

} // namespace runlink::gateway
