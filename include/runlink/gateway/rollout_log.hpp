/// \file
/// Log lines of rollouts: orders, records, and the counts on which steps and verdicts were based.
#pragma once

#include <optional>

#include "runlink/control/kv_store.hpp"
#include "runlink/observe/decision_log.hpp"
#include "runlink/routing/rollout_control.hpp"

namespace runlink::gateway
{

/// A rollout order was read from the store.
observe::log_line rollout_order_line(const routing::rollout_order& it);
/// A rollout record was read from the store; logged with the order that it belongs to.
observe::log_line rollout_record_line(const routing::rollout_record& it,
                                      const std::optional<routing::rollout_status>& known);
/// This instance writes a rollout record; logged with the counts on which the decision was based.
observe::log_line rollout_write_line(const routing::rollout_record& it,
                                     const std::optional<routing::rollout_status>& known);
/// Result of writing a rollout record.
observe::log_line rollout_written_line(const routing::rollout_record& it,
                                       const control::kv_commit_result& result);
/// This instance judged a version to be bad.
observe::log_line version_found_bad_line(const core::service_id& service, const routing::version_fault& why,
                                         const std::optional<routing::rollout_status>& known);

} // namespace runlink::gateway
