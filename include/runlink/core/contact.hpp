/// \file
/// Result of a TCP connection attempt that probes whether a process is running.
#pragma once

#include <string_view>

namespace runlink::core
{

/// Result of a TCP liveness probe, which connects and sends no data.
enum class contact
{
    answered, ///< the connection was accepted
    refused,  ///< the host is up, but no process listens on the port
    silent,   ///< timeout: the network path is broken, or the host is down
};

std::string_view to_string(contact it);

} // namespace runlink::core
