/// \file
/// Logging to the standard error stream, one line for each change of state.
#pragma once

#include <string>

namespace runlink::app
{

/// Configures logging. The minimum level is `debug`, `info`, `warning` or `error`; any other text means
/// `info`.
void start_logging(const std::string& level);

void log_info(const std::string& line);
void log_error(const std::string& line);

} // namespace runlink::app
