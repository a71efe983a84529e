/// \file
/// Log lines of roll-outs: an order, a record, what was known when a step or a verdict was decided.
#pragma once

#include <optional>

#include "runlink/control/kv_store.hpp"
#include "runlink/observe/decision_log.hpp"
#include "runlink/routing/rollout_control.hpp"

namespace runlink::gateway
{

observe::log_line rollout_order_line(const routing::rollout_order& it);
/// A record that came, beside the order that it is compared with.
observe::log_line rollout_record_line(const routing::rollout_record& it,
                                      const std::optional<routing::rollout_status>& known);
/// A record that this instance writes, with the counts that it decided on.
observe::log_line rollout_write_line(const routing::rollout_record& it,
                                     const std::optional<routing::rollout_status>& known);
/// What became of the write.
observe::log_line rollout_written_line(const routing::rollout_record& it,
                                       const control::kv_commit_result& result);
/// This instance found a version bad.
observe::log_line version_found_bad_line(const core::service_id& service, const routing::version_fault& why,
                                         const std::optional<routing::rollout_status>& known);

} // namespace runlink::gateway
