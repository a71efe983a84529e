// The daemon's metrics in the Prometheus text format, and its periodic log lines.

#include "runlink/gateway/gateway_daemon.hpp"

namespace runlink::gateway
{

std::string gateway_daemon::metrics_text() const
{
    const auto& n = forwarder_.counters();
    const auto& calls = store_.counters();
    const auto& callers = gateway_.listener().budget();
    const auto counter = [](std::string name, std::string help, std::uint64_t value) {
        return observe::plain_metric{std::move(name), std::move(help), true, static_cast<double>(value)};
    };
    const auto gauge = [](std::string name, std::string help, double value) {
        return observe::plain_metric{std::move(name), std::move(help), false, value};
    };
    const auto age = forwarder_.proof_age(clock_());
    constexpr double us_per_s = 1e6;
    return metrics_.text({
        counter("runlink_forwarded_requests_total", "Requests that arrived", n.requests),
        counter("runlink_forwarded_answered_total", "Requests with a whole answer", n.answered),
        counter("runlink_forwarded_refused_total", "Requests refused as not run", n.refused),
        counter("runlink_forwarded_failed_total", "Requests ended without an answer that may have run",
                n.failed),
        counter("runlink_forwarded_broken_total", "Streams that were cut", n.broken),
        counter("runlink_callers_left_total", "Callers that went away while waiting", n.callers_left),
        counter("runlink_attempts_total", "Sends to endpoints", n.attempts),
        counter("runlink_attempts_repeated_total", "Sends after the first of a request", n.repeats),
        counter("runlink_retries_charged_total", "Sends that cost retry allowance", n.retries_charged),
        counter("runlink_retries_unaffordable_total",
                "Decisions against another attempt since the retry allowance was spent",
                n.retries_unaffordable),
        counter("runlink_attempts_hedged_total", "Second sends beside a first", n.hedges),
        counter("runlink_streams_resumed_total", "Streams that went on elsewhere", n.resumed),
        counter("runlink_escalated_total", "Answers of a smaller model that were not kept", n.escalated),
        counter("runlink_escalated_to_middle_total", "Of these, asked again of a model below the largest",
                n.escalated_to_middle),
        counter("runlink_kept_for_time_total", "Unsure answers kept since larger models would end too late",
                n.kept_for_time),
        counter("runlink_kept_for_load_total", "Unsure answers kept for the load or price of larger models",
                n.kept_for_load),
        counter("runlink_endpoint_refusals_total", "Sends that endpoints refused", n.endpoint_refusals),
        counter("runlink_attempts_lost_total", "Sends without a whole answer", n.attempts_lost),
        counter("runlink_prompts_told_total", "Prompts sent that other instances were told of",
                n.prompts_told),
        counter("runlink_prompts_heard_total", "Prompts that other instances sent", n.prompts_heard),
        counter("runlink_store_lists_total", "Lists read from the store", calls.lists),
        counter("runlink_store_watches_total", "Watches of the store", calls.watches),
        counter("runlink_store_commits_total", "Transactions, those that only prove a revision included",
                calls.commits),
        counter("runlink_store_writes_total", "Transactions that change something", calls.writes),
        counter("runlink_datagrams_not_sent_total", "Datagrams that the system did not take",
                gossip_.not_sent().count),
        counter("runlink_store_unanswered_total", "Calls of the store without an answer", calls.unanswered),
        counter("runlink_store_refused_total", "Calls that the store refused", calls.refused),
        counter("runlink_store_cut_off_total", "Calls whose answer ended before it was whole", calls.cut_off),
        counter("runlink_store_items_unreadable_total", "Items left out of answers of the store",
                calls.unreadable),
        counter("runlink_store_bytes_total", "Bytes of the store's answers", calls.bytes),
        counter("runlink_connections_opened_total", "Connections opened to endpoints",
                gateway_.pool().totals().opened),
        counter("runlink_connections_reused_total", "Connections to endpoints used again",
                gateway_.pool().totals().reused),
        counter("runlink_log_lines_left_out_total", "Log lines without room", log_.dropped_lines()),
        counter("runlink_cold_sends_total", "Sends to endpoints that were cold", n.cold_sends),
        counter("runlink_without_place_total", "Requests refused since no endpoint may be used now",
                n.without_place),
        counter("runlink_endpoints_ended_total", "Endpoints that ended under requests of this instance",
                n.endpoints_ended),
        counter("runlink_requests_suspected_total", "Requests under which two endpoints ended", n.suspected),
        counter("runlink_request_trials_total", "Suspected requests that this instance ran alone", n.trials),
        counter("runlink_requests_harmful_total", "Requests found or told to end endpoints", n.found_harmful),
        counter("runlink_harmful_refused_total", "Repeats of harmful requests that were refused",
                n.harmful_refused),
        counter("runlink_successors_denied_total",
                "Attempts that were waited for since no other might take their place", n.successors_denied),
        counter("runlink_limited_sends_total", "Sends to endpoints that named a limit", n.limited_sends),
        counter("runlink_withheld_total", "Sends that lost their place while they connected", n.withheld),
        counter("runlink_carried_sends_total", "Sends by way of another instance", n.carried),
        counter("runlink_carrier_connections_total", "Connections carried for other instances",
                carrier_.counters().carried),
        counter("runlink_carrier_rejected_total", "Connections of others that were not carried",
                carrier_.counters().rejected),
        counter("runlink_carrier_unreached_total", "Carried connections that the endpoint did not accept",
                carrier_.counters().unreached),
        counter("runlink_carrier_bytes_total", "Bytes of endpoints carried for other instances",
                carrier_.counters().bytes),
        gauge("runlink_caller_bytes", "Bytes held for callers, of those that the budget allows",
              static_cast<double>(callers.held_bytes())),
        gauge("runlink_caller_bytes_limit", "Bytes that may be held for callers",
              static_cast<double>(callers.limits().max_bytes)),
        gauge("runlink_caller_connections", "Connections of callers",
              static_cast<double>(callers.connection_count())),
        counter("runlink_caller_connections_refused_total", "New connections closed unread for want of room",
                callers.totals().refused_connections),
        counter("runlink_caller_requests_refused_total", "Requests refused or cut short for want of memory",
                callers.totals().refused_requests),
        counter("runlink_callers_displaced_total", "Connections that gave way to others",
                callers.totals().displaced),
        gauge("runlink_paths_lost", "Whether the paths to a failure domain are lost",
              forwarder_.paths().is_any_lost() ? 1 : 0),
        counter("runlink_waited_for_place_total", "Requests that waited until an endpoint might be sent to",
                n.waited),
        gauge("runlink_retry_share", "Retries that this instance may save up for each service",
              forwarder_.own_retry_share().at(clock_())),
        gauge("runlink_retry_instances", "Instances that share the slack of the retry budget",
              static_cast<double>(forwarder_.own_retry_share().instances())),
        gauge("runlink_waiting_requests", "Requests that wait until an endpoint may be sent to",
              static_cast<double>(forwarder_.waiting_count())),
        counter("runlink_no_room_total", "Requests refused since plain endpoints had no room", n.no_room),
        counter("runlink_counts_told_total", "Announcements of requests at plain endpoints", n.counts_told),
        counter("runlink_duty_calls_accepted_total", "Usage reports and orders that the platform accepted",
                duties_.counters().accepted),
        counter("runlink_duty_calls_fenced_total", "Those that it refused for a newer holder",
                duties_.counters().fenced),
        counter("runlink_duty_calls_refused_total", "Those that it refused otherwise",
                duties_.counters().refused),
        counter("runlink_duty_calls_unanswered_total", "Those without an answer",
                duties_.counters().unanswered),
        gauge("runlink_streams_tracked", "Streams at engines that are tracked one by one",
              static_cast<double>(forwarder_.streams_tracked())),
        counter("runlink_streams_begun_total", "Tracked streams whose first token arrived", n.streams_begun),
        counter("runlink_streams_begun_late_total",
                "Those whose first token came more than 0.5 s after its forecast", n.streams_late),
        gauge("runlink_duty_holder", "Whether this instance holds the duties",
              duties_.is_holder(clock_()) ? 1 : 0),
        gauge("runlink_endpoints_limited", "Endpoints that name a limit, or did a moment ago",
              static_cast<double>(forwarder_.bounds().limits().size())),
        gauge("runlink_services_brittle", "Services whose endpoints say that they are brittle",
              static_cast<double>(forwarder_.bounds().brittle().size())),
        gauge("runlink_endpoints_resting", "Endpoints that asked this instance for rest",
              static_cast<double>(forwarder_.bounds().rests().count_resting(clock_()))),
        gauge("runlink_crash_records", "Requests that were at endpoints that ended",
              static_cast<double>(forwarder_.attribution().size())),
        gauge("runlink_endpoints_cold", "Endpoints that count as cold",
              static_cast<double>(forwarder_.bounds().warm_up().cold_count(clock_()))),
        gauge("runlink_failure_domains_evacuated", "Failure domains that are to get nothing",
              static_cast<double>(forwarder_.evacuated().size())),
        gauge("runlink_active_requests", "Requests under way",
              static_cast<double>(forwarder_.active_count())),
        gauge("runlink_configuration_proof_age_seconds",
              "Age of the proof that the configuration is the newest",
              age ? static_cast<double>(age->count()) / us_per_s : -1),
        gauge("runlink_configuration_version", "Version of the configuration in force",
              static_cast<double>(version_in_force())),
        gauge("runlink_configuration_known_version", "Newest version that some instance has in force",
              static_cast<double>(forwarder_.known_versions().newest())),
        gauge("runlink_store_era", "Era of the store, which rises when it returns from a copy",
              static_cast<double>(follower_.era().value())),
        gauge("runlink_endpoints", "Endpoints that the store lists",
              static_cast<double>(forwarder_.endpoints().size())),
    });
}

void gateway_daemon::log_transfer(kv_call kind, const call_report& it)
{
    constexpr std::uint64_t min_logged_bytes = 64 * 1024;
    const bool is_whole = it.result == call_report{}.result;
    if (is_whole && it.bytes < min_logged_bytes)
        return;
    observe::log_line line{is_whole ? "store_transfer" : "store_call_failed"};
    line.text("call", to_string(kind))
        .text("reason", it.result)
        .number("bytes", static_cast<std::int64_t>(it.bytes))
        .number("elapsed_ms", std::chrono::floor<core::milliseconds>(it.elapsed).count());
    log_.write(clock_(), line, observe::log_rank::notable);
}

void gateway_daemon::log_store_calls(core::time_point now)
{
    const auto& n = store_.counters();
    const auto number = [](std::uint64_t it) { return static_cast<std::int64_t>(it); };
    observe::log_line line{"store_calls"};
    line.number("lists", number(n.lists))
        .number("watches", number(n.watches))
        .number("commits", number(n.commits))
        .number("writes", number(n.writes))
        .number("unanswered", number(n.unanswered))
        .number("refused", number(n.refused))
        .number("cut_off", number(n.cut_off))
        .number("bytes", number(n.bytes));
    log_.write(now, line, observe::log_rank::notable);
    observe::log_line shared{"load_shared"};
    shared.number("peers", number(gossip_.peer_count()))
        .number("prompts_told", number(forwarder_.counters().prompts_told))
        .number("prompts_heard", number(forwarder_.counters().prompts_heard))
        .number("datagrams_not_sent", number(gossip_.not_sent().count));
    log_.write(now, shared, observe::log_rank::notable);
}

} // namespace runlink::gateway
