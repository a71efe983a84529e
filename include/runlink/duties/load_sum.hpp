/// \file
/// Requests at the endpoints of each service, summed over all instances.
#pragma once

#include <map>

#include "runlink/core/units.hpp"
#include "runlink/duties/usage_messages.hpp"

namespace runlink::duties
{

/// Keeps the latest report of each process.
class load_sum
{
public:
    void on_report(core::time_point now, const usage_report& it);
    /// Requests at the service's endpoints, by the reports of late.
    std::uint32_t running(core::time_point now, const core::service_id& service) const;

private:
    struct reported
    {
        core::time_point at{};
        std::map<core::service_id, std::uint32_t> running;
    };

    std::map<core::incarnation_id, reported> reports_;
};

} // namespace runlink::duties
