/// \file
/// Checks during a soak, from the observations of callers and endpoints, that the system keeps its promises.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "runlink/core/units.hpp"
#include "served_endpoint.hpp"
#include "soak/cut_record.hpp"
#include "soak/reach_record.hpp"
#include "support/retry_record.hpp"
#include "support/statement_record.hpp"

namespace runlink::soak
{

/// How a request may be retried.
enum class request_kind
{
    safe,   ///< may run more than once
    once,   ///< runs at most once
    stream, ///< may resume at another endpoint after its last event
};

/// The result of a request as its caller saw it.
struct caller_outcome
{
    int status = 0;             ///< 0 if no response head was received
    bool is_whole = false;      ///< the response is complete according to its framing
    bool caller_closed = false; ///< the caller closed the connection, early or at its deadline
    std::string body;
    std::vector<std::uint64_t> events; ///< event ids in the order received
    bool has_digest = false;
};

/// Limits that the checks apply, according to the settings of the deployment.
struct promise_bounds
{
    milliseconds key_revocation{5000};
    milliseconds drain{2000};
    /// An instance counts as undisturbed once this time has passed since the last fault that affected it.
    milliseconds settle_time{3000};
    /// The promised 500 ms, and another 500 ms for a busy machine.
    milliseconds cancel{1000};
    std::uint32_t stream_attempts = 3;
    double exposure_share = 0.15;
    double exposure_slack = 30;
    /// A stream that ends after more than this fraction of its allowed time does not count as cut.
    double cut_share = 0.7;
    /// A version receives no more requests `roll_back` after its bad response number `bad_answers`.
    std::uint64_t bad_answers = 50;
    milliseconds roll_back{5000};
    /// Maximum number of sends of a request that has ended three endpoints, counted at instances that must
    /// have been informed of this.
    std::uint64_t max_harmful_sends = 3;
    /// Number of ends after which these sends count, and the same for requests that have only a part in
    /// common.
    std::size_t harmful_ends = 3;
    std::size_t harmful_part_ends = 5;
    /// Streams at undisturbed instances are served at least this fraction as often later than twice
    /// `settle_time` after the last of these ends as before the first one.
    double min_served_share = 0.5;
    std::uint64_t min_compared = 20;
    /// Endpoints that crash close their connections, which ends an answer without length or chunks.
    bool streams_end_with_connection = false;
};

/// Collects observations and reports which promises they violate.
class promise_checker
{
public:
    explicit promise_checker(promise_bounds bounds) : bounds_{bounds} {}

    void sent(time_point now, const std::string& id, request_kind kind, const std::string& key, int instance);
    void ran(time_point now, const standins::served_endpoint& by,
             const standins::served_endpoint::run_ptr& run);
    void ended(const std::string& id, const caller_outcome& it);
    /// Checks that a request is not running any more. Called some time after its caller closed the
    /// connection.
    void check_left(time_point now, const std::string& id);

    /// Checks the end of a stream whose time limit was `allowed`. Returns whether its instance cut it: in the
    /// middle of the response, with time left, while its endpoint was still working on it.
    bool check_cut(time_point now, const std::string& id, const caller_outcome& it, milliseconds allowed);
    /// Records that all connections to the endpoint were reset.
    void endpoint_broken(time_point now, const std::string& id) { broken_[id] = now; }
    cut_record& cuts() { return cuts_; }
    reach_record& reach() { return reach_; }
    /// Counts a request for the comparison of instances that are cut off with the others.
    void check_reach(time_point sent_at, int instance, const caller_outcome& it);
    tests::statement_record& statements() { return statements_; }
    /// Checks the retries of streams against this budget.
    void watch_retries(tests::retry_bound bound) { retry_bound_ = bound; }
    /// Records that a request reached an endpoint, which may still refuse it. `limit` is the limit that the
    /// endpoint states at this time.
    void arrived(time_point now, const std::string& endpoint, const std::string& request,
                 std::optional<double> limit);
    /// Records that an endpoint responded to a request, with any status.
    void answered(time_point now, const std::string& endpoint, const std::string& request,
                  const tests::said_words& what);

    /// Records a fault that lasts until `until` and affects one instance, or all if `instance` is empty.
    void disturbed(time_point until, std::optional<int> instance);
    void key_removed(time_point now, const std::string& key) { removed_keys_[key] = now; }
    void endpoint_leaving(time_point now, const std::string& id) { leaving_.emplace(id, now); }
    /// Records that a bad version is being rolled out until `until`.
    void bad_version(time_point now, time_point until, const std::string& version);
    /// Marks a request that ends each endpoint that runs it, as does every request with the same content.
    void harmful(const std::string& id) { requests_.at(id).is_harmful = true; }
    /// Harmful requests have only a part of their prompts in common.
    void harmful_by_part() { is_harmful_by_part_ = true; }
    /// Records that an endpoint's process ended while it ran the request.
    void ended_under(time_point now, const std::string& id);
    std::uint64_t ended_endpoints() const { return harmful_ends_.size(); }
    /// Records a bad response of the bad version.
    void bad_answer(time_point now);
    /// Whether no fault has affected all instances since `since`.
    bool is_undisturbed_since(time_point since) const { return all_disturbed_until_ < since; }
    void fail(const std::string& what) { faults_.push_back(what); }

    /// Runs the checks that need the whole soak.
    void finish(time_point now);
    const std::vector<std::string>& faults() const { return faults_; }
    std::uint64_t request_count() const { return requests_.size(); }
    std::uint64_t served_count() const { return served_; }
    /// Number of relevant observations of each check. A check without observations cannot fail, so its
    /// success shows nothing.
    const std::map<std::string, std::uint64_t>& check_counts() const { return check_counts_; }

private:
    struct request
    {
        request_kind kind = request_kind::safe;
        std::string key;
        int instance = 0;
        time_point sent{};
        std::uint32_t arrivals = 0;
        std::uint32_t runs = 0;
        bool refused = false;
        bool is_harmful = false;
        std::weak_ptr<standins::served_endpoint::run> last_run;
        time_point last_run_at{};
        std::string last_endpoint;
    };

    bool is_undisturbed(time_point now, int instance) const;
    /// Counts a request to the service under roll-out that ran on `version`.
    void check_exposure(time_point now, const std::string& version, int instance);
    /// Counts a harmful request that reached an endpoint.
    void check_harmful(time_point now, int instance);
    std::size_t counted_harmful_ends() const
    {
        return is_harmful_by_part_ ? bounds_.harmful_part_ends : bounds_.harmful_ends;
    }
    /// Counts the outcome of a harmless stream before and after the ends under harmful requests.
    void count_beside_harmful(const request& of, const caller_outcome& it);
    void check_beside_harmful();
    void check_answer(const std::string& id, const request& of, const caller_outcome& it);
    void check_stream(const std::string& id, const request& of, const caller_outcome& it);
    void check_cut_rates(time_point now);
    void check_retries();
    void count_check(const std::string& check, std::uint64_t n = 1) { check_counts_[check] += n; }

    promise_bounds bounds_;
    std::map<std::string, request> requests_;
    std::map<std::string, time_point> removed_keys_;
    std::map<std::string, time_point> leaving_;
    std::map<std::string, time_point> broken_; ///< when the connections of each endpoint were last reset
    cut_record cuts_;
    reach_record reach_;
    tests::statement_record statements_;
    std::map<int, time_point> disturbed_until_;
    time_point all_disturbed_until_{};
    struct roll_out
    {
        std::string version;
        time_point from{};
        time_point until{};
        std::uint64_t all = 0;
        std::uint64_t exposed = 0;
        std::uint64_t bad_answers = 0;
        std::optional<time_point>
            removal_deadline{}; ///< time by which the version must receive no more requests
        std::uint64_t late = 0; ///< requests that it received after `removal_deadline`
    };
    std::optional<roll_out> bad_;
    std::optional<tests::retry_bound> retry_bound_;
    tests::retry_record retries_;
    std::set<std::string> crashed_;        ///< endpoints whose process ended
    std::vector<time_point> harmful_ends_; ///< when endpoints ended while running a harmful request
    std::uint64_t late_harmful_sends_ = 0;
    bool is_harmful_by_part_ = false;
    struct served_streams
    {
        std::uint64_t all = 0;
        std::uint64_t served = 0;
        double share() const { return static_cast<double>(served) / static_cast<double>(all); }
    };
    served_streams before_harmful_;
    served_streams after_harmful_;
    std::uint64_t served_ = 0;
    std::vector<std::string> faults_;
    std::map<std::string, std::uint64_t> check_counts_;
};

} // namespace runlink::soak
