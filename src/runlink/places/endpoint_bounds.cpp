#include "runlink/places/endpoint_bounds.hpp"

#include <algorithm>

namespace runlink::places
{

void endpoint_bounds::put_instance(time_point now, const core::instance_id& id,
                                   const core::failure_domain_id& domain)
{
    if (warm_up_.instances().put(id, domain))
        limits_.restart_pace(now);
}

void endpoint_bounds::remove_instance(time_point now, const core::instance_id& id)
{
    if (warm_up_.instances().remove(id))
        limits_.restart_pace(now);
}

void endpoint_bounds::settle(time_point now)
{
    warm_up_.settle();
    limits_.settle(now);
}

bool endpoint_bounds::may_send(time_point now, const endpoint_id& id) const
{
    return warm_up_.may_send(now, id) && limits_.may_send(now, id) && rests_.may_send(now, id) &&
           brittle_.may_send(now, id);
}

void endpoint_bounds::sent(time_point now, const endpoint_id& id)
{
    warm_up_.sent(now, id);
    limits_.sent(now, id);
    rests_.sent(now, id);
    brittle_.sent(now, id);
}

bool endpoint_bounds::confirm_send(time_point now, const endpoint_id& id, time_point counted_at)
{
    if (rests_.is_resting(now, id))
        return false;
    if (limits_.is_counted(id, counted_at))
        return true;
    if (!limits_.may_send(now, id))
        return false;
    limits_.sent(now, id);
    return true;
}

time_point endpoint_bounds::next_send(time_point now, const endpoint_id& id) const
{
    return std::max({warm_up_.next_send(now, id), limits_.next_send(now, id), rests_.next_send(now, id),
                     brittle_.next_send(now, id)});
}

time_point endpoint_bounds::next_send_of_any(time_point now, const endpoint_id& id) const
{
    return std::max({warm_up_.next_send(now, id), limits_.next_send_of_any(now, id),
                     rests_.next_send(now, id), brittle_.next_send(now, id)});
}

duration endpoint_bounds::interval(time_point now, const endpoint_id& id) const
{
    const auto recovery = rests_.is_recovering(id) ? rests_.interval() : duration{};
    return std::max({limits_.interval(now, id), recovery, brittle_.interval(id)});
}

bool endpoint_bounds::is_restricted(const endpoint_id& id) const
{
    return limits_.limit_of(id) || rests_.is_recovering(id) || brittle_.is_brittle(id);
}

} // namespace runlink::places
