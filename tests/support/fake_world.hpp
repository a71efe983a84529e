/// \file
/// Several instances with a fake store and fake endpoints, on one manual clock.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "runlink/core/clock.hpp"
#include "runlink/core/instance.hpp"
#include "support/fake_store.hpp"

namespace runlink::tests
{

/// An attempt as an endpoint sees it.
struct endpoint_call
{
    std::string instance;
    core::attempt_start start;
    bool open = true;
};

/// The response as its caller sees it.
struct caller_view
{
    bool begun = false;
    bool ended = false;
    bool whole = false;
    std::string text;
    core::answer_head head;
    core::refusal refusal;
};

/// Simulated deployment. Instances are named `a`, `b`, `c`. Each is in its own failure domain.
class fake_world
{
public:
    using trace_function = std::function<void(const std::string&)>;

    explicit fake_world(std::vector<std::string> names, std::uint64_t seed = 1);
    ~fake_world();

    trace_function trace = [](const std::string&) {};
    /// Adjusts the options of instances started after it is set.
    std::function<void(core::instance_options&)> adjust;
    fake_store store;

    void start(const std::string& name);
    void kill(const std::string& name);
    void freeze(const std::string& name);
    void thaw(const std::string& name);
    void cut(const std::string& a, const std::string& b);
    void heal(const std::string& a, const std::string& b);
    bool is_up(const std::string& name) const { return slots_.at(name).instance != nullptr; }
    bool is_frozen(const std::string& name) const { return slots_.at(name).frozen; }
    std::vector<std::string> names() const;

    core::instance& at(const std::string& name) { return *slots_.at(name).instance; }
    core::time_point now() const { return clock_.now(); }
    void advance(core::duration it);
    /// Advances until the condition holds or `bound` has passed. Returns whether the condition holds.
    bool advance_until(const std::function<bool()>& condition, core::duration bound);

    void configure(const core::configuration& it);
    void request(const std::string& instance, core::caller_request it);
    void caller_leaves(const std::string& instance, const core::request_id& id);
    const caller_view& caller(const core::request_id& id) const { return callers_.at(id); }
    const std::map<core::request_id, caller_view>& callers() const { return callers_; }

    /// Open attempts at endpoints, oldest first.
    std::vector<endpoint_call*> open_calls();
    endpoint_call* open_call_of(const core::request_id& id);
    /// The first attempt of a request, open or not.
    endpoint_call* first_call_of(const core::request_id& id);
    void endpoint_head(endpoint_call& it);
    void endpoint_bytes(endpoint_call& it, const std::string& text);
    void endpoint_answers(endpoint_call& it, const std::string& tail, int status = 200);
    void endpoint_refuses(endpoint_call& it);
    void endpoint_loses(endpoint_call& it, bool ran);

    /// Number of runs by account and idempotency key, or by request if it has no key.
    const std::map<std::string, int>& runs() const { return runs_; }
    /// Number of runs at endpoints, by request.
    const std::map<core::request_id, int>& runs_by_request() const { return runs_by_request_; }
    std::string bill_of(const core::request_id& id) const;
    /// The settlements in the ledger, by bill.
    std::map<std::string, std::vector<core::ledger_entry>> bills() const;
    /// All ledger entries in the store, ordered by partition and sequence.
    std::vector<core::ledger_entry> ledger() const;

private:
    struct instance_slot
    {
        std::unique_ptr<core::instance> instance;
        std::uint64_t incarnation = 0;
        bool frozen = false;
        std::deque<std::function<void()>> backlog;
        std::string address;
    };
    struct event
    {
        std::string owner;
        std::uint64_t incarnation = 0;
        std::function<void()> action;
    };

    void schedule(const std::string& owner, core::duration after, std::function<void()> action);
    void run_due_events();
    void tick_all();
    core::instance_hooks make_instance_hooks(const std::string& name);
    core::router_hooks make_router_hooks(const std::string& name);
    void deliver(const std::string& from, const std::string& address, const core::peer_envelope& it);
    core::request_router* router_of(const endpoint_call& it);
    std::string work_of(const core::request_id& id) const;
    void count_run(const core::request_id& id, int n);
    void note(const std::string& instance, const std::string& line);

    core::manual_clock clock_;
    std::uint64_t seed_;
    std::map<std::string, instance_slot> slots_;
    std::map<std::pair<core::time_point, std::uint64_t>, event> events_;
    std::uint64_t next_event_ = 0;
    std::set<std::pair<std::string, std::string>> cut_links_;
    std::deque<endpoint_call> calls_;
    std::map<core::request_id, caller_view> callers_;
    std::map<core::request_id, core::caller_request> requests_;
    std::map<std::string, int> runs_;
    std::map<core::request_id, int> runs_by_request_;
};

/// Two accounts, one model with versions `r1` (serving) and `r2` (withdrawn) at two endpoints, and a service.
core::configuration base_configuration();

} // namespace runlink::tests
