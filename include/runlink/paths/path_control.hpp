/// \file
/// Decides whether connections to endpoints go directly or by way of another instance, and whether a refused
/// connection shows that the endpoint has ended.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "runlink/core/contact.hpp"
#include "runlink/paths/carrier_set.hpp"
#include "runlink/paths/path_watch.hpp"
#include "runlink/paths/reach_messages.hpp"

namespace runlink::paths
{

/// Parameters of the path control.
struct path_options
{
    path_watch_options watch;
    carrier_options carriers;
    /// Longest wait for another instance that confirms the end of an endpoint.
    milliseconds confirm_time{400};
};

/// Callbacks of the path control.
struct path_hooks
{
    /// Sends a query to other instances; their replies are passed to `on_reply`.
    std::function<void(const std::vector<instance_id>&, const reach_query&)> query = [](const auto&,
                                                                                        const auto&) {};
    /// Connects to an endpoint directly.
    std::function<void(const endpoint_id&)> probe = [](const auto&) {};
    std::function<void(time_point, const failure_domain_id&, const path_evidence&)> lost =
        [](time_point, const auto&, const auto&) {};
    std::function<void(time_point, const failure_domain_id&, duration lost_for)> regained =
        [](time_point, const auto&, duration) {};
    /// The instance no longer carries connections for this one.
    std::function<void(time_point, const instance_id&)> carrier_gone = [](time_point, const auto&) {};
    /// What an attempt to connect to the endpoint that was refused here means for the endpoint: `refused` if
    /// it has ended, `silent` if that is not confirmed.
    std::function<void(time_point, const endpoint_id&, core::contact)> refusal_judged =
        [](time_point, const auto&, core::contact) {};
};

/// What one instance sees on its own paths is not the state of an endpoint: another instance has to confirm a
/// lost path as well as the end of an endpoint.
class path_control
{
public:
    path_control(path_options options, const instance_id& self, const failure_domain_id& own_domain,
                 path_hooks hooks);
    path_control(const path_control&) = delete;
    path_control& operator=(const path_control&) = delete;

    void put_instance(const instance_id& id, const failure_domain_id& domain);
    void remove_instance(time_point now, const instance_id& id);

    /// Results of this instance's own connection attempts.
    void on_connected(time_point now, const failure_domain_id& domain) { watch_.on_connected(now, domain); }
    void on_failed(time_point now, const failure_domain_id& domain, const endpoint_id& endpoint);
    /// A direct connection to the endpoint was refused. The verdict is passed to
    /// `path_hooks::refusal_judged`, at once if there is no other instance.
    void judge_refusal(time_point now, const endpoint_id& endpoint);
    void on_reply(time_point now, const reach_reply& it);

    /// The instance that is to carry a connection to the failure domain; nothing for a direct connection.
    std::optional<instance_id> carrier(const failure_domain_id& domain) const;
    void started(const instance_id& carrier) { carriers_.started(carrier); }
    void finished(const instance_id& carrier) { carriers_.finished(carrier); }
    /// The instance carried no connection: it was not reached, or refused to.
    void on_carrier_failed(time_point now, const instance_id& id);
    /// The carrier could not connect to an endpoint, or could.
    void on_carried(time_point now, const instance_id& id, bool has_connected);

    bool is_lost(const failure_domain_id& domain) const { return watch_.is_lost(domain); }
    bool is_any_lost() const { return watch_.is_any_lost(); }
    bool is_failing(time_point now, const failure_domain_id& domain) const
    {
        return watch_.is_failing(now, domain);
    }

    void tick(time_point now);
    std::optional<time_point> next_due() const;

private:
    void query(time_point now, const endpoint_id& endpoint);
    void send(const std::vector<instance_id>& to, const endpoint_id& endpoint);
    void judge(time_point now, const endpoint_id& endpoint, core::contact what);

    path_options options_;
    instance_id self_;
    path_hooks hooks_;
    path_watch watch_;
    carrier_set carriers_;
    std::map<endpoint_id, time_point> refused_; ///< refusals to be confirmed, by the end of the wait
    std::uint64_t next_query_ = 1;
};

} // namespace runlink::paths
