/// \file
/// Whole sessions of the forwarder on a paused clock, from a script.
#pragma once

#include <string>

namespace runlink::tests
{

/// Runs a script and returns its trace. Throws `std::runtime_error` for a line that cannot be read.
std::string run_forwarding_script(const std::string& text);

} // namespace runlink::tests
