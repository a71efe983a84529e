/// \file
/// Limits the request rate of endpoints that advertise a limit in their answers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"
#include "runlink/places/sender_set.hpp"

namespace runlink::places
{

using core::duration;
using core::endpoint_id;
using core::milliseconds;
using core::time_point;

/// Parameters of the limits.
struct advertised_limit_options
{
    /// Fraction of a limit that is used, because requests may bunch up on their way.
    double rate_fraction = 0.9;
    /// Minimum rate of requests to an endpoint, even with a lower limit, so that some answer can announce the
    /// end of the limit.
    double min_requests_per_s = 0.2;
    /// With a limit of N requests per second, at most this many plus 2 N instances send to the endpoint. Each
    /// may be one request ahead of its rate, so a low limit permits only few senders.
    std::size_t base_senders = 3;
    /// Upper bound of the senders of one endpoint, because each reports to all others.
    std::size_t max_senders = 32;
    /// Interval at which a sender of an endpoint reports to its other senders.
    milliseconds report_interval{500};
    /// After this long without a report of a sender, its equal part of the rate stays reserved for it.
    milliseconds peer_timeout{1600};
    /// Interval at which the highest-ranked sender of an endpoint reports its limit to all instances.
    milliseconds broadcast_interval{2000};
    /// How long the end of a limit is reported again, to instances that may have missed it.
    milliseconds ended_limit_retention{10'000};
    /// If no send has been reported for this long, the senders may have no requests. Other instances may then
    /// send as well, one after the other.
    milliseconds silence_threshold{4000};
    /// Time in which the number of instances that may send doubles while no send is reported.
    milliseconds sender_doubling_time{5000};
    /// An instance that has received no report for longer cannot know whether others send. All such instances
    /// together send at `min_requests_per_s`.
    milliseconds contact_timeout{5000};
    /// How long the limits of endpoints are kept that the store does not list; their entries may come back.
    milliseconds unlisted_retention{600'000};
};

/// How the limit of an endpoint changed.
enum class limit_change
{
    none,
    named, ///< the endpoint had no limit before
    lowered,
    raised,
    ended,
};

std::string_view to_string(limit_change it);

/// One instance's report on an endpoint that advertises a limit.
struct limit_report
{
    endpoint_id endpoint;
    std::optional<double> requests_per_s; ///< nothing: the limit has ended
    milliseconds age{};                   ///< time since the answer that said so
    std::uint64_t sends = 0;              ///< sends of the reporting instance since it started
};

/// The content of one datagram.
struct limit_reports
{
    core::instance_id sender;
    std::vector<limit_report> reports;
};

/// A change of a limit, for the log.
struct limit_update
{
    limit_change change = limit_change::none;
    milliseconds age{}; ///< time since the endpoint's statement
};

/// Bounds the requests that an endpoint gets from all instances together while it advertises a limit.
///
/// A few instances are selected as its senders. Those of its failure domain come first, because they have the
/// most requests for it. The senders share one rate by demand: each reports its sends to the others at once,
/// which delays the next send of all. A sender without recent reports keeps its equal part of the rate, so
/// that senders that cannot reach each other together stay within the limit. All other instances treat the
/// endpoint as absent.
class advertised_limits
{
public:
    using domain_lookup = std::function<core::failure_domain_id(const endpoint_id&)>;

    /// `instances` has to outlive this object. `domain_of`: the failure domain of an endpoint, empty if
    /// unknown.
    advertised_limits(
        advertised_limit_options options, core::instance_id self, const sender_set& instances,
        domain_lookup domain_of = [](const endpoint_id&) { return core::failure_domain_id{}; })
        : options_{options}, self_{std::move(self)}, instances_{instances}, domain_of_{std::move(domain_of)}
    {
    }

    /// Marks the list of instances as complete.
    void settle(time_point now);
    /// An answer to a request that was sent at `asked_at` advertised this limit, or none.
    limit_change on_answer(time_point now, const endpoint_id& id, std::optional<double> requests_per_s,
                           time_point asked_at);
    /// Handles another instance's report. The newest statement of the endpoint is valid.
    limit_update on_report(time_point now, const core::instance_id& by, const limit_report& it);
    void sent(time_point now, const endpoint_id& id);
    /// Restarts the spacing of sends after the process was suspended or the set of instances changed. Sends
    /// that were missed are not made up for.
    void restart_pace(time_point now);

    std::optional<double> limit_of(const endpoint_id& id) const;
    bool may_send(time_point now, const endpoint_id& id) const;
    /// Whether a request that was counted at `counted_at` but not yet written still counts. It no longer does
    /// if the endpoint has since advertised a limit or lowered it.
    bool is_counted(const endpoint_id& id, time_point counted_at) const;
    /// When this instance may next send to the endpoint.
    time_point next_send(time_point now, const endpoint_id& id) const;
    /// When any instance may next send to the endpoint, as far as this one knows.
    time_point next_send_of_any(time_point now, const endpoint_id& id) const;
    /// Time between two sends of this instance while no other instance has requests for the endpoint.
    duration interval(time_point now, const endpoint_id& id) const;
    bool is_sender(const endpoint_id& id) const;
    std::size_t sender_count(const endpoint_id& id) const;
    std::size_t size() const { return records_.size(); }

    /// The report on the endpoint for other instances.
    limit_report report(time_point now, const endpoint_id& id) const;
    const std::vector<core::instance_id>& other_senders(const endpoint_id& id) const;
    /// Endpoints whose reports are due, by recipients.
    struct due_reports
    {
        std::vector<endpoint_id> to_senders;
        std::vector<endpoint_id> to_all;
    };
    due_reports take_due(time_point now);
    std::optional<time_point> next_due() const;
    /// Reports on all endpoints, for an instance that starts.
    std::vector<limit_report> all(time_point now) const;
    /// Removes limits that have ended and endpoints for which `is_gone` holds, after their retention times.
    template <class Predicate>
    void forget_if(time_point now, const Predicate& is_gone)
    {
        std::erase_if(records_,
                      [&](const auto& it)
                      {
                          const auto& [id, e] = it;
                          const auto age = now - e.stated_at;
                          return (!e.requests_per_s && age >= options_.ended_limit_retention) ||
                                 (is_gone(id) && age >= options_.unlisted_retention);
                      });
    }

private:
    struct peer
    {
        std::uint64_t sends = 0;
        time_point heard_at{};
    };
    struct record
    {
        std::optional<double> requests_per_s;
        time_point stated_at{};
        time_point lowered_at{}; ///< when the limit was first advertised or last lowered
        time_point next_send{};
        time_point last_send_at{};                     ///< the latest send known, of any instance
        time_point last_report_at = time_point::min(); ///< the latest report of another instance
        time_point next_report_at{};
        time_point last_broadcast_at = time_point::min(); ///< the latest report to all instances
        bool needs_broadcast = false;                     ///< whether the next report goes to all instances
        std::uint64_t sends = 0;
        std::map<core::instance_id, peer> peers;
    };

    limit_change apply(time_point now, const endpoint_id& id, record& to,
                       std::optional<double> requests_per_s, time_point stated_at);
    const record* find(const endpoint_id& id) const;
    /// The record of an endpoint that currently advertises a limit, or null.
    const record* find_limited(const endpoint_id& id) const;
    std::size_t sender_count(const record& it) const;
    double rate(const record& it) const;
    duration interval(time_point now, const endpoint_id& id, const record& it) const;
    /// Time between two sends of a sender that receives no reports.
    duration isolated_interval(const record& it) const;
    std::size_t count_live_peers(time_point now, const endpoint_id& id, const record& it) const;
    /// When an instance that is no sender may send because no other instance seems to send.
    time_point next_send_in_silence(time_point now, const endpoint_id& id, const record& it) const;
    /// A pseudo-random part of an interval that differs between instances and between sends.
    duration phase(const endpoint_id& id, std::uint64_t number, duration of) const;
    void delay_first_send(time_point now, const endpoint_id& id, record& it);

    advertised_limit_options options_;
    core::instance_id self_;
    const sender_set& instances_;
    domain_lookup domain_of_;
    bool settled_ = false;
    std::map<endpoint_id, record> records_;
};

} // namespace runlink::places
