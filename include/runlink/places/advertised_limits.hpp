/// \file
/// How many requests endpoints get that name a limit in their answers.
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
struct named_limit_options
{
    /// Part of a limit that is used: requests bunch on the way.
    double rate_part = 0.9;
    /// Requests a second that an endpoint gets with a lower limit, so that an answer can tell its end.
    double trickle_per_s = 0.2;
    /// Instances that send to one endpoint: with a limit of N requests a second at most this many and 2 N
    /// more. Each may be one request ahead of the rate, and a low limit bears few of them.
    std::size_t least_senders = 3;
    /// Bound on the senders of one endpoint: they report to each other.
    std::size_t most_senders = 32;
    /// Between two reports of a sender to the others.
    milliseconds report_interval{500};
    /// A sender that has not reported for this long keeps its part of the rate, which nobody else uses.
    milliseconds heard_for{1600};
    /// Between two reports to all instances, of the first sender.
    milliseconds spread_interval{2000};
    /// Instances that may have missed the end of a limit are told again for this long.
    milliseconds ended_kept{10'000};
    /// Where no send has been heard of for this long, the senders may have nothing to send: other instances
    /// may send as well, one after the other.
    milliseconds silence{4000};
    /// In this time of silence twice as many instances may send.
    milliseconds widening_time{5000};
    /// An instance that has heard no other for longer does not know whether there is silence. All such
    /// instances together send at the trickle's rate.
    milliseconds in_touch_for{5000};
    /// Limits of lives that are not listed are kept for this long: their entries may be back.
    milliseconds unlisted_kept{600'000};
};

/// What became of the limit of an endpoint.
enum class limit_change
{
    none,
    named, ///< there was none
    lowered,
    raised,
    ended,
};

std::string_view to_string(limit_change it);

/// What one instance tells others of an endpoint that names a limit.
struct limit_report
{
    endpoint_id endpoint;                 ///< one life
    std::optional<double> requests_per_s; ///< nothing: the endpoint names no limit any more
    milliseconds age{};                   ///< since the answer that said so
    std::uint64_t sends = 0;              ///< of the reporting instance, since it started
};

/// One datagram.
struct limit_reports
{
    core::instance_id sender;
    std::vector<limit_report> reports;
};

/// A change, for the log.
struct limit_news
{
    limit_change change = limit_change::none;
    milliseconds age{}; ///< of the statement
};

/// Bounds the requests that an endpoint gets from all instances together while it names a limit.
///
/// A few instances are drawn as its senders, those of its failure domain first: they have the most requests
/// for it. They share one rate by demand: each tells the others of its sends at once, which puts off the next
/// send of all. A sender that is not heard keeps its equal part, so that senders that hear nobody stay within
/// the limit together. To all other instances the endpoint is absent.
class named_limits
{
public:
    using domain_lookup = std::function<core::failure_domain_id(const endpoint_id&)>;

    /// `instances`: outlives this object. `domain_of`: where an endpoint is, as far as is known.
    named_limits(
        named_limit_options options, core::instance_id self, const sender_set& instances,
        domain_lookup domain_of = [](const endpoint_id&) { return core::failure_domain_id{}; })
        : options_{options}, self_{std::move(self)}, instances_{instances}, domain_of_{std::move(domain_of)}
    {
    }

    /// All instances are known.
    void settle(time_point now);
    /// An answer to a request that was sent at `asked_at` named this limit, or none.
    limit_change answered(time_point now, const endpoint_id& id, std::optional<double> requests_per_s,
                          time_point asked_at);
    /// Another instance's report. The newest statement holds.
    limit_news told(time_point now, const core::instance_id& by, const limit_report& it);
    void sent(time_point now, const endpoint_id& id);
    /// The instance stood still, or the others are not the same any more: nothing is made up for.
    void restart_pace(time_point now);

    std::optional<double> limit_of(const endpoint_id& id) const;
    bool may_send(time_point now, const endpoint_id& id) const;
    /// Whether a request that was counted at that time, but not written, still has its place.
    bool is_counted(const endpoint_id& id, time_point counted_at) const;
    /// When this instance may send to it next.
    time_point next_send(time_point now, const endpoint_id& id) const;
    /// When some instance may send to it next, as far as this one knows.
    time_point next_send_of_any(time_point now, const endpoint_id& id) const;
    /// Between two sends of this instance if it alone has requests.
    duration interval(time_point now, const endpoint_id& id) const;
    bool is_sender(const endpoint_id& id) const;
    std::size_t sender_count(const endpoint_id& id) const;
    std::size_t size() const { return records_.size(); }

    /// What the other senders of the endpoint are to know.
    limit_report report(time_point now, const endpoint_id& id) const;
    const std::vector<core::instance_id>& other_senders(const endpoint_id& id) const;
    /// Reports that are due.
    struct due_reports
    {
        std::vector<endpoint_id> to_senders;
        std::vector<endpoint_id> to_all;
    };
    due_reports take_due(time_point now);
    std::optional<time_point> next_due() const;
    /// All that is known, for an instance that starts.
    std::vector<limit_report> all(time_point now) const;
    /// Forgets limits that ended, and lives for which `is_gone` holds.
    template <class Predicate>
    void forget_if(time_point now, const Predicate& is_gone)
    {
        std::erase_if(records_,
                      [&](const auto& it)
                      {
                          const auto& [id, e] = it;
                          const auto age = now - e.said_at;
                          return (!e.requests_per_s && age >= options_.ended_kept) ||
                                 (is_gone(id) && age >= options_.unlisted_kept);
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
        time_point said_at{};
        time_point lowered_at{}; ///< or named
        time_point next_send{};
        time_point active_at{};                 ///< the last send that was heard of
        time_point told_at = time_point::min(); ///< the last report of another instance
        time_point report_at{};
        time_point spread_at = time_point::min(); ///< the last report to all
        bool has_news = false;                    ///< that all are to know
        std::uint64_t sends = 0;
        std::map<core::instance_id, peer> peers;
    };

    limit_change take(time_point now, const endpoint_id& id, record& to, std::optional<double> requests_per_s,
                      time_point said_at);
    const record* find(const endpoint_id& id) const;
    /// The record of an endpoint that names a limit now, or null.
    const record* bound(const endpoint_id& id) const;
    std::size_t sender_count(const record& it) const;
    double rate(const record& it) const;
    duration interval(time_point now, const endpoint_id& id, const record& it) const;
    /// Between two sends of a sender that hears nobody.
    duration lone_interval(const record& it) const;
    std::size_t count_heard(time_point now, const endpoint_id& id, const record& it) const;
    /// When an instance that is no sender may send, since nobody else does.
    time_point next_send_in_silence(time_point now, const endpoint_id& id, const record& it) const;
    /// A part of an interval that differs between instances, and from send to send.
    duration phase(const endpoint_id& id, std::uint64_t number, duration of) const;
    void begin_pace(time_point now, const endpoint_id& id, record& it);

    named_limit_options options_;
    core::instance_id self_;
    const sender_set& instances_;
    domain_lookup domain_of_;
    bool settled_ = false;
    std::map<endpoint_id, record> records_;
};

} // namespace runlink::places
