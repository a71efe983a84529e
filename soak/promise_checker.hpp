/// \file
/// Checks the promises while the soak runs, from what callers and endpoints see.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runlink/core/units.hpp"
#include "served_endpoint.hpp"
#include "soak/cut_record.hpp"
#include "support/statement_record.hpp"

namespace runlink::soak
{

/// What a request allows.
enum class request_kind
{
    safe,   ///< may run again
    once,   ///< runs at most once
    stream, ///< may go on elsewhere behind its last event
};

/// How a request ended for its caller.
struct caller_outcome
{
    int status = 0;        ///< 0: no head of an answer came
    bool is_whole = false; ///< the answer ended as its framing says
    bool left = false;     ///< the caller closed the connection itself
    std::string body;
    std::vector<std::uint64_t> events; ///< ids, in order
    bool has_digest = false;
};

/// Bounds that the checks allow, as the deployment's settings say.
struct promise_bounds
{
    milliseconds key_revocation{5000};
    milliseconds drain{2000};
    /// An instance counts as undisturbed this long after a fault that concerns it.
    milliseconds calm{3000};
    /// Half a second as promised, and another one for a machine with much to do.
    milliseconds cancel{1000};
    std::uint32_t stream_attempts = 3;
    double exposure_share = 0.15;
    double exposure_slack = 30;
    /// A stream that ends after more of its time than this was not cut for nothing.
    double cut_share = 0.7;
    /// After so many bad answers of a version, and this long, it gets nothing any more.
    std::uint64_t bad_answers = 50;
    milliseconds roll_back{5000};
    /// Sends of a request that has ended three endpoints, from instances that must have heard of it.
    std::uint64_t most_harmful_sends = 3;
};

/// Collects events and tells which promise they break.
class promise_checker
{
public:
    explicit promise_checker(promise_bounds bounds) : bounds_{bounds} {}

    void sent(time_point now, const std::string& id, request_kind kind, const std::string& key, int instance);
    void ran(time_point now, const standins::served_endpoint& by,
             const standins::served_endpoint::run_ptr& run);
    void ended(const std::string& id, const caller_outcome& it);
    /// The caller of this request left a moment ago: nothing may be working for it any more.
    void check_left(time_point now, const std::string& id);

    /// Looks at the end of a stream that was given so much time. Returns whether its instance cut it: in the
    /// middle of its answer, with time left, while its endpoint was at work.
    bool check_cut(time_point now, const std::string& id, const caller_outcome& it, milliseconds allowed);
    /// Connections to the endpoint were broken.
    void endpoint_broken(time_point now, const std::string& id) { broken_[id] = now; }
    cut_record& cuts() { return cuts_; }
    tests::statement_record& statements() { return statements_; }
    /// A request has reached an endpoint, which may refuse it, and names that limit now.
    void arrived(time_point now, const std::string& endpoint, const std::string& request,
                 std::optional<double> limit);
    /// An endpoint has answered a request, whatever it said.
    void answered(time_point now, const std::string& endpoint, const std::string& request,
                  const tests::said_words& what);

    /// A fault that concerns an instance, or all of them, lasts until then.
    void disturbed(time_point until, std::optional<int> instance);
    void key_removed(time_point now, const std::string& key) { removed_keys_[key] = now; }
    void endpoint_leaving(time_point now, const std::string& id) { leaving_.emplace(id, now); }
    /// A version is being rolled out until then; it is bad.
    void bad_version(time_point now, time_point until, const std::string& version);
    /// This request and others of the same content end the endpoints that run them.
    void harmful(const std::string& id) { requests_.at(id).is_harmful = true; }
    /// An endpoint ended under the request.
    void ended_under(time_point now, const std::string& id);
    std::uint64_t ended_endpoints() const { return ends_.size(); }
    /// That version gave a bad answer.
    void bad_answer(time_point now);
    /// Whether nothing has disturbed all instances since then.
    bool is_calm_since(time_point since) const { return all_disturbed_until_ < since; }
    void fail(const std::string& what) { faults_.push_back(what); }

    /// Checks what can only be said at the end.
    void finish(time_point now);
    const std::vector<std::string>& faults() const { return faults_; }
    std::uint64_t request_count() const { return requests_.size(); }
    std::uint64_t served_count() const { return served_; }
    /// How many runs each check looked at that had something to say: a check that looks at nothing cannot
    /// fail.
    const std::map<std::string, std::uint64_t>& looked_at() const { return looked_at_; }

private:
    struct request
    {
        request_kind kind = request_kind::safe;
        std::string key;
        int instance = 0;
        time_point sent{};
        std::uint32_t runs = 0;
        bool refused = false;
        bool is_harmful = false;
        std::weak_ptr<standins::served_endpoint::run> last_run;
        time_point last_run_at{};
        std::string last_endpoint;
    };

    bool is_calm(time_point now, int instance) const;
    /// A request of the service that is rolled out ran on this version.
    void check_exposure(time_point now, const std::string& version, int instance);
    /// The harmful request reached an endpoint.
    void check_harmful(time_point now, int instance);
    void check_answer(const std::string& id, const request& of, const caller_outcome& it);
    void check_stream(const std::string& id, const caller_outcome& it);
    void check_cut_rates(time_point now);
    void look(const std::string& check, std::uint64_t n = 1) { looked_at_[check] += n; }

    promise_bounds bounds_;
    std::map<std::string, request> requests_;
    std::map<std::string, time_point> removed_keys_;
    std::map<std::string, time_point> leaving_;
    std::map<std::string, time_point> broken_; ///< connections of endpoints, the last time
    cut_record cuts_;
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
        std::optional<time_point> found_by{}; ///< by then it has to be taken out
        std::uint64_t late = 0;               ///< requests that it got after that
    };
    std::optional<roll_out> bad_;
    std::vector<time_point> ends_; ///< of endpoints, under the harmful request
    std::uint64_t harmful_late_ = 0;
    std::uint64_t served_ = 0;
    std::vector<std::string> faults_;
    std::map<std::string, std::uint64_t> looked_at_;
};

} // namespace runlink::soak
