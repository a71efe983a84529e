#include "soak/promise_checker.hpp"

#include <algorithm>

namespace runlink::soak
{
namespace
{

constexpr int first_success = 200;
constexpr int first_redirect = 300;

bool is_success(int status)
{
    return status >= first_success && status < first_redirect;
}

/// Whether the status guarantees that the request did not run and will not run.
bool promises_not_run(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

void promise_checker::sent(time_point now, const std::string& id, request_kind kind, const std::string& key,
                           int instance)
{
    auto& it = requests_[id];
    it.kind = kind;
    it.key = key;
    it.instance = instance;
    it.sent = now;
    if (kind == request_kind::stream)
        retries_.on_first(now);
}

void promise_checker::disturbed(time_point until, std::optional<int> instance)
{
    auto& it = instance ? disturbed_until_[*instance] : all_disturbed_until_;
    it = std::max(it, until);
}

bool promise_checker::is_undisturbed(time_point now, int instance) const
{
    const auto found = disturbed_until_.find(instance);
    const auto own = found == disturbed_until_.end() ? time_point{} : found->second;
    return now - std::max(own, all_disturbed_until_) > bounds_.settle_time;
}

void promise_checker::bad_version(time_point now, time_point until, const std::string& version)
{
    bad_ = roll_out{version, now, until};
}

void promise_checker::bad_answer(time_point now)
{
    if (bad_ && ++bad_->bad_answers == bounds_.bad_answers)
        bad_->removal_deadline = now + bounds_.roll_back;
}

void promise_checker::check_exposure(time_point now, const std::string& version, int instance)
{
    const bool is_bad = version == bad_->version;
    if (now < bad_->until)
    {
        ++bad_->all;
        bad_->exposed += is_bad ? 1 : 0;
    }
    // Requests do not count as late while a disturbance of the store or of the instance may delay the
    // removal.
    if (is_bad && bad_->removal_deadline && now > *bad_->removal_deadline && is_undisturbed(now, instance) &&
        *bad_->removal_deadline - bounds_.roll_back > all_disturbed_until_)
        ++bad_->late;
}

void promise_checker::ran(time_point now, const standins::served_endpoint& by,
                          const standins::served_endpoint::run_ptr& run)
{
    const auto found = requests_.find(run->request);
    if (found == requests_.end())
        return fail("unasked: " + run->request + " ran at " + by.id() + ", no caller sent it");
    auto& it = found->second;
    ++it.runs;
    it.last_run = run;
    it.last_run_at = now;
    it.last_endpoint = by.id();
    count_check("runs");
    if (it.is_harmful)
        check_harmful(now, it.instance);
    if (it.kind == request_kind::once && it.runs > 1)
        fail("twice: " + run->request + " ran again at " + by.id());
    if (it.kind == request_kind::stream && it.runs > bounds_.stream_attempts)
        fail("attempts: " + run->request + " ran " + std::to_string(it.runs) + " times");
    if (it.refused)
        fail("refusal: " + run->request + " runs at " + by.id() + " after it was refused as not run");
    if (const auto removed = removed_keys_.find(it.key); removed != removed_keys_.end())
    {
        count_check("removed keys");
        if (it.sent - removed->second > bounds_.key_revocation)
            fail("key: " + run->request + " ran with a key removed long before it was sent");
    }
    if (const auto left = leaving_.find(by.id()); left != leaving_.end() && is_undisturbed(now, it.instance))
    {
        count_check("leaving endpoints");
        if (now - left->second > bounds_.drain)
            fail("drain: " + run->request + " ran at " + by.id() +
                 " long after the endpoint was marked as leaving");
    }
    if (bad_ && run->path.starts_with("/llm/"))
        check_exposure(now, by.version(), it.instance);
}

void promise_checker::arrived(time_point now, const std::string& endpoint, const std::string& request,
                              std::optional<double> limit)
{
    const auto found = requests_.find(request);
    if (found == requests_.end())
        return;
    if (++found->second.arrivals > 1 && found->second.kind == request_kind::stream)
        retries_.on_retry(now);
    if (!is_undisturbed(now, found->second.instance))
        return;
    statements_.arrived(now, endpoint, found->second.instance, found->second.sent, limit);
    for (const auto& it : statements_.take_faults())
        fail("statement: " + it.what);
}

void promise_checker::answered(time_point now, const std::string& endpoint, const std::string& request,
                               const tests::said_words& what)
{
    if (const auto found = requests_.find(request); found != requests_.end())
        statements_.answered(now, endpoint, found->second.instance, what);
}

void promise_checker::ended(const std::string& id, const caller_outcome& it)
{
    auto& of = requests_.at(id);
    if (it.caller_closed)
        return;
    count_beside_harmful(of, it);
    if (!of.is_harmful && it.body.find("request_harmful") != std::string::npos)
        fail("condemned: " + id + " was refused as harmful");
    if (promises_not_run(it.status))
    {
        of.refused = true;
        count_check("refusals");
        if (of.runs > 0)
            fail("refusal: " + id + " was refused with " + std::to_string(it.status) +
                 " as not run, it ran " + std::to_string(of.runs) + " times");
    }
    if (is_success(it.status) && it.is_whole)
        ++served_;
    if (is_success(it.status))
        check_answer(id, of, it);
}

void promise_checker::check_reach(time_point sent_at, int instance, const caller_outcome& it)
{
    if (!it.caller_closed && is_undisturbed(sent_at, instance))
        reach_.ended(sent_at, instance, is_success(it.status) && it.is_whole);
}

void promise_checker::check_answer(const std::string& id, const request& of, const caller_outcome& it)
{
    count_check("answers");
    if (!it.has_digest)
        fail("answer: " + id + " has a success status without a digest");
    if (of.kind == request_kind::stream)
        return check_stream(id, of, it);
    if (it.is_whole && it.body != standins::served_endpoint::body_of(id))
        fail("answer: " + id + " got another answer: " + it.body);
}

void promise_checker::check_stream(const std::string& id, const request& of, const caller_outcome& it)
{
    for (std::size_t n = 0; n < it.events.size(); ++n)
        if (it.events[n] != n + 1)
            return fail("order: " + id + " got event " + std::to_string(it.events[n]) + " in place " +
                        std::to_string(n + 1));
    const bool may_end_early = bounds_.streams_end_with_connection && crashed_.contains(of.last_endpoint);
    if (it.is_whole && !may_end_early && it.events.size() != standins::served_endpoint::event_count(id))
        fail("order: " + id + " ended as complete after " + std::to_string(it.events.size()) + " events");
    for (std::uint64_t n = 1; n <= it.events.size(); ++n)
        if (it.body.find("data: " + standins::served_endpoint::event_data(id, n) + "\n") == std::string::npos)
            return fail("order: " + id + " has another stream's event " + std::to_string(n));
}

void promise_checker::check_left(time_point now, const std::string& id)
{
    const auto& it = requests_.at(id);
    const auto run = it.last_run.lock();
    if (it.kind == request_kind::once || it.runs == 0 || !is_undisturbed(now, it.instance))
        return;
    // Over a path that is cut, be it of the instance or of its carrier, nothing tells the endpoint.
    if (reach_.was_cut(now, bounds_.settle_time))
        return;
    count_check("callers that left");
    if (run && !run->is_over) // an expired pointer means that the run is over
        fail("cancel: " + id + " is still running though its caller closed the connection");
}

bool promise_checker::check_cut(time_point now, const std::string& id, const caller_outcome& it,
                                milliseconds allowed)
{
    const auto& of = requests_.at(id);
    if (of.kind != request_kind::stream || it.caller_closed || !is_success(it.status))
        return false;
    count_check("ends of streams");
    const auto removed = removed_keys_.find(of.key);
    if (removed != removed_keys_.end() && of.sent < removed->second &&
        now - removed->second > bounds_.key_revocation)
        count_check("streams that outlived their keys");
    if (it.is_whole || now - of.sent > allowed * bounds_.cut_share)
        return false;
    const auto run = of.last_run.lock();
    const auto broken = broken_.find(of.last_endpoint);
    const bool was_broken = broken != broken_.end() && broken->second >= of.last_run_at;
    if (!run || (run->is_over && !run->was_left) || was_broken)
        return false;
    count_check("cuts");
    cuts_.cut(now, of.instance, id);
    return true;
}

void promise_checker::ended_under(time_point now, const std::string& id)
{
    count_check("ended endpoints");
    crashed_.insert(requests_.at(id).last_endpoint);
    if (requests_.at(id).is_harmful)
        harmful_ends_.push_back(now);
}

void promise_checker::check_harmful(time_point now, int instance)
{
    count_check("harmful sends");
    const auto counted = counted_harmful_ends();
    if (harmful_ends_.size() >= counted && now - harmful_ends_[counted - 1] > bounds_.settle_time &&
        is_undisturbed(now, instance))
        ++late_harmful_sends_;
}

void promise_checker::count_beside_harmful(const request& of, const caller_outcome& it)
{
    if (!is_harmful_by_part_ || of.is_harmful || of.kind != request_kind::stream ||
        !is_undisturbed(of.sent, of.instance))
        return;
    if (removed_keys_.contains(of.key))
        return; // refused, as it has to be
    const auto counted = counted_harmful_ends();
    const bool is_before = harmful_ends_.empty() || of.sent < harmful_ends_.front();
    const bool is_after =
        harmful_ends_.size() >= counted && of.sent > harmful_ends_[counted - 1] + 2 * bounds_.settle_time;
    if (!is_before && !is_after)
        return;
    auto& to = is_before ? before_harmful_ : after_harmful_;
    ++to.all;
    to.served += it.is_whole && is_success(it.status) ? 1 : 0;
}

void promise_checker::check_beside_harmful()
{
    count_check("streams before harmful ones", before_harmful_.all);
    count_check("streams long after the fifth end", after_harmful_.all);
    if (std::min(before_harmful_.all, after_harmful_.all) < bounds_.min_compared)
        return;
    if (after_harmful_.share() < bounds_.min_served_share * before_harmful_.share())
        fail("lost: beside harmful requests " + std::to_string(after_harmful_.served) + " of " +
             std::to_string(after_harmful_.all) + " streams were served, before " +
             std::to_string(before_harmful_.served) + " of " + std::to_string(before_harmful_.all));
}

void promise_checker::check_cut_rates(time_point now)
{
    for (const auto& it : cuts_.find_violations(now))
        fail(it);
    const auto near = cuts_.near_changes(now, std::nullopt);
    const auto other = cuts_.at_other_times(now, std::nullopt);
    count_check("calm ms beside changes", static_cast<std::uint64_t>(near.time.count()));
    count_check("calm ms at other times", static_cast<std::uint64_t>(other.time.count()));
    count_check("calm cuts beside changes", near.cuts.size());
    count_check("calm cuts at other times", other.cuts.size());
    for (const auto* it :
         {"streams that outlived their keys", "calm ms beside changes", "calm ms at other times"})
        if (check_counts_[it] == 0)
            fail(std::string{"cuts: no observations of "} + it);
}

void promise_checker::check_retries()
{
    if (!retry_bound_)
        return;
    count_check("retries", retries_.retries());
    const auto excess = retries_.worst_excess(*retry_bound_);
    if (excess > 0)
        fail("retries: " + std::to_string(excess) + " above the budget in one window");
    if (retries_.retries() == 0)
        fail("retries: no observations");
}

void promise_checker::finish(time_point now)
{
    check_retries();
    for (const auto& it : reach_.faults())
        fail(it);
    if (reach_.counted() > 0)
        count_check("requests at instances that were cut off", reach_.counted());
    if (cuts_.is_watching())
        check_cut_rates(now);
    count_check("sends to endpoints that named a limit", statements_.limited());
    count_check("rests asked for", statements_.rests());
    count_check("leaving told in answers", statements_.leaving());
    if (is_harmful_by_part_)
        check_beside_harmful();
    if (late_harmful_sends_ > bounds_.max_harmful_sends)
        fail("harmful: requests that had ended " + std::to_string(counted_harmful_ends()) +
             " endpoints were sent " + std::to_string(late_harmful_sends_) + " times more; " +
             std::to_string(harmful_ends_.size()) + " ended in all");
    if (!bad_)
        return;
    count_check("bad versions");
    const auto allowed = bounds_.exposure_share * static_cast<double>(bad_->all) + bounds_.exposure_slack;
    if (static_cast<double>(bad_->exposed) > allowed)
        fail("exposure: " + std::to_string(bad_->exposed) + " of " + std::to_string(bad_->all) +
             " requests ran on the bad version");
    if (bad_->late > 0)
        fail("exposure: " + std::to_string(bad_->late) + " requests ran on the bad version " +
             std::to_string(bounds_.roll_back.count()) + " ms and more after its answer " +
             std::to_string(bounds_.bad_answers) + " that was bad, of " + std::to_string(bad_->bad_answers));
}

} // namespace runlink::soak
