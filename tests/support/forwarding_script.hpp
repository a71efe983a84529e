/// \file
/// Runs scripted sessions of the forwarder on a manual clock.
#pragma once

#include <string>

namespace runlink::tests
{

/// Runs a script and returns its trace. Throws `std::runtime_error` for an unknown command or bad arguments.
std::string run_forwarding_script(const std::string& text);

} // namespace runlink::tests
