#include "support/forwarding_witness.hpp"

#include <algorithm>
#include <utility>

#include <catch2/catch.hpp>

namespace runlink::tests
{

using namespace routing;

forwarding_witness::forwarding_witness(const forwarder_options& options, environment callbacks)
    : key_grace_{options.key_grace}, max_key_age_{options.max_key_age.value()},
      max_denial_age_{options.max_denial_age}, least_time_{options.min_time_left}, environment_{
                                                                                       std::move(callbacks)}
{
}

forwarder_hooks forwarding_witness::hooks()
{
    forwarder_hooks to;
    to.start = [this](const attempt_order& it) { on_start(it); };
    to.cancel = [this](core::attempt_id it) { on_cancel(it); };
    to.forward_answer = [this](flow_id it, core::attempt_id from)
    {
        CHECK(attempts_.at(from).flow == it);
        CHECK(attempts_.at(from).answered);
        ++requests_.at(it).outcomes;
        answered_.insert(it);
    };
    to.forward_head = [this](flow_id it, core::attempt_id from) { CHECK(attempts_.at(from).flow == it); };
    to.forward_bytes = [this](flow_id it, std::string_view bytes)
    {
        auto& of = requests_.at(it);
        CHECK(of.outcomes == 0);
        CHECK(std::to_string(of.last_event + 1) == bytes);
        ++of.last_event;
    };
    to.forward_end = [this](flow_id it)
    {
        auto& of = requests_.at(it);
        CHECK(of.last_event == stream_length);
        ++of.outcomes;
        answered_.insert(it);
        if (const auto gone = time_since_key_valid(of.key); gone && *gone >= key_grace_)
            count("stream ended whole after the grace of its key");
    };
    to.break_off = [this](flow_id it) { ++requests_.at(it).outcomes; };
    to.refuse = [this](flow_id it, const refusal& why)
    {
        auto& of = requests_.at(it);
        ++of.outcomes;
        of.told_not_run = why.not_run;
        CHECK(why.not_run == (of.runs == 0));
        const bool is_unknown_key = why.why.code == core::errc::unauthenticated;
        CHECK((why.status == 503) == (why.not_run && !is_unknown_key));
        CHECK((why.status == 401) == is_unknown_key);
        if (is_unknown_key)
        {
            CHECK_FALSE(of.is_public);
            CHECK_FALSE(keys_.contains(of.key));
            CHECK(now_ - proven_at_.value() < max_denial_age_);
        }
    };
    to.ask = [this](const endpoint_entry& it) { pending_probes_.push_back(it.id); };
    to.announce_session_run = [](const session_run&) {};
    to.announce_prompt_sent = [](const prompt_sent&) {};
    to.announce_prompt_answered = [](const prompt_answered&) {};
    to.log = [this](const decision& it) { on_log(it); };
    to.ended = [](const decision&, core::duration) {};
    return to;
}

core::endpoint_id forwarding_witness::take_probe()
{
    auto out = std::move(pending_probes_.back());
    pending_probes_.pop_back();
    return out;
}

// Keys

void forwarding_witness::on_keys(const std::set<std::string>& keys)
{
    // A key that is new in this table was declared after the previous table was proven current.
    for (const auto& it : keys)
        if (!keys_.contains(it) && proven_at_)
            key_valid_at_[it] = *proven_at_;
    keys_ = keys;
}

void forwarding_witness::on_proof(core::time_point now)
{
    proven_at_ = now;
    for (const auto& it : keys_)
        key_valid_at_[it] = now;
}

std::optional<core::duration> forwarding_witness::time_since_key_valid(const std::string& key) const
{
    const auto found = key_valid_at_.find(key);
    if (keys_.contains(key) || found == key_valid_at_.end())
        return std::nullopt;
    return now_ - found->second;
}

void forwarding_witness::check_key(const seen_request& of) const
{
    if (of.is_public)
        return;
    REQUIRE(proven_at_);
    if (keys_.contains(of.key))
    {
        CHECK(now_ - *proven_at_ < max_key_age_);
        return;
    }
    const auto gone = time_since_key_valid(of.key);
    REQUIRE(gone);
    CHECK(*gone < key_grace_);
}

// Limits

void forwarding_witness::on_limit(const core::endpoint_id& id, std::optional<double> requests_per_s)
{
    if (!requests_per_s)
    {
        limited_.erase(id);
        return;
    }
    auto& it = limited_[id];
    // A higher limit applies immediately. A lower one applies to requests after its declaration.
    if (it.written.empty() || *requests_per_s < it.requests_per_s)
        it = {*requests_per_s, now_, {}};
    it.requests_per_s = *requests_per_s;
}

void forwarding_witness::on_rest(const core::endpoint_id& id, core::time_point until)
{
    auto& it = resting_until_[id];
    it = std::max(it, until);
    count("rest asked for");
}

void forwarding_witness::on_written(const core::endpoint_id& id)
{
    if (const auto rest = resting_until_.find(id); rest != resting_until_.end())
        CHECK(now_ >= rest->second);
    if (const auto left = leaving_.find(id); left != leaving_.end())
    {
        constexpr core::milliseconds drain{2000};
        count("sent to an endpoint that leaves");
        CHECK(now_ - left->second < drain);
    }
    const auto found = limited_.find(id);
    if (found == limited_.end())
        return;
    auto& it = found->second;
    constexpr core::seconds window{4};
    it.written.push_back(now_);
    std::erase_if(it.written, [&](auto at) { return now_ - at > window; });
    INFO("endpoint " << id << ", limit " << it.requests_per_s << ", step " << step_);
    CHECK(static_cast<double>(it.written.size()) <= 1.5 * 4 * it.requests_per_s + 5);
    count("sent to an endpoint that names a limit");
}

// Attempts

void forwarding_witness::on_start(const attempt_order& it)
{
    seen_attempt as;
    as.flow = it.flow;
    as.endpoint = it.endpoint.id;
    as.version = it.endpoint.version;
    as.next_event = it.last_event ? environment_.first_event_after(*it.last_event) : 1;
    attempts_[it.id] = as;
    auto& of = requests_.at(it.flow);
    INFO("flow " << it.flow << ", attempt " << it.id << ", step " << step_);
    CHECK(of.outcomes == 0);
    CHECK_FALSE(of.caller_left);
    CHECK(it.time_left <= of.max_duration);
    CHECK(now_ < of.deadline);
    if (!of.is_idempotent)
        CHECK(of.runs == 0);
    check_key(of);
    CHECK(as.version != environment_.bad_version());
    if (!of.is_public && !keys_.contains(of.key))
        count("sent within the grace of a removed key");
    if (!of.open.empty())
        count("second copy sent");
    if (of.last_event > 0)
        count("stream resumed");
    of.open.insert(it.id);
    of.tried.insert(it.endpoint.id);
    started_.insert(it.flow);
}

void forwarding_witness::on_cancel(core::attempt_id id)
{
    auto& it = attempts_.at(id);
    requests_.at(it.flow).open.erase(id);
    if (it.sent && !it.answered && !it.is_unsealed)
        cancelled_.push_back({id, it});
    attempts_.erase(id);
}

void forwarding_witness::on_log(const decision& it)
{
    if (!it.denied.empty())
        count("denied: " + std::string{it.denied});
    if (it.event == "request_suspected")
        suspected_.fresh.insert(it.content);
    if (it.event == "request_harmful")
        condemned_.fresh.insert(it.content);
    if (it.event == "escalated")
        requests_.at(flow_id{std::stoull(std::string{it.request})}).tried.clear();
    if (it.event == "escalated" || it.event.starts_with("not_"))
        count(std::string{it.event});
}

// Steps

void forwarding_witness::content_news::end_interval()
{
    pending = std::exchange(fresh, {});
}

void forwarding_witness::begin_step(core::time_point now, std::string_view what)
{
    now_ = now;
    step_ = what;
}

void forwarding_witness::end_step()
{
    for (const auto& it : cancelled_)
        check_cancelled(it);
    cancelled_.clear();
    started_.clear();
    answered_.clear();
    if (step_ != "tick")
        return;
    suspected_.end_interval();
    condemned_.end_interval();
}

void forwarding_witness::check_cancelled(const cancelled_run& it)
{
    const auto& [id, was] = it;
    const auto& of = requests_.at(was.flow);
    INFO("flow " << was.flow << ", attempt " << id << ", step " << step_);
    if (started_.contains(was.flow))
        return count("replaced: " + step_);
    if (answered_.contains(was.flow))
        return count("another copy answered");
    // Of two attempts of a stream, the one that delivered a head or an event in this step continues.
    const bool is_delivering = step_ == "head" || step_ == "event";
    const auto goes_on = [&](const auto& e) { return e.second.flow == was.flow && e.second.has_head; };
    if (is_delivering && std::any_of(attempts_.begin(), attempts_.end(), goes_on))
        return count("another copy of a stream goes on");
    if (of.caller_left || now_ >= of.deadline)
        return;
    const auto content = to_hex(of.content);
    const bool is_verdict = of.outcomes > 0 && condemned_.contains(content);
    const bool is_withdrawal = of.outcomes == 0 && suspected_.contains(content);
    if (is_verdict)
    {
        CHECK(of.is_idempotent);
        CHECK_FALSE(was.has_head);
        CHECK(of.last_event == 0);
        return count("ended by a verdict");
    }
    if (is_withdrawal)
        return check_withdrawn(of, was);
    FAIL_CHECK("an attempt that could continue was cancelled without a replacement");
}

void forwarding_witness::check_withdrawn(const seen_request& of, const seen_attempt& was)
{
    count("withdrawn");
    CHECK(of.is_idempotent);
    CHECK_FALSE(was.has_head);
    CHECK(environment_.judge(of.content) != crashes::permission::free);
    // The request must still be eligible for a retry, as far as can be observed from outside.
    CHECK(of.runs < of.max_attempts);
    CHECK(of.deadline - now_ > least_time_);
    check_key(of);
    CHECK(environment_.has_untried(of.tried));
}

void forwarding_witness::check_over() const
{
    for (const auto& [id, it] : requests_)
    {
        INFO("flow " << id);
        CHECK((it.outcomes == 1) != it.caller_left);
        CHECK(it.open.empty());
    }
}

} // namespace runlink::tests
