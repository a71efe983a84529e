/// \file
/// Choice of the model version that serves a request.
#pragma once

#include <functional>

#include "runlink/core/configuration.hpp"
#include "runlink/core/request.hpp"
#include "runlink/core/session_token.hpp"

namespace runlink::core
{

/// Whether the version guard lets new requests start on a version. The configuration is checked separately.
using version_filter = std::function<bool(const version_settings&, const version_ref&)>;

/// Chooses a version for a request that names none and has no pinned one, by weighted rendezvous hashing of
/// the request id over the versions that take new requests. Fails with `unknown_model`, `not_allowed` or
/// `version_withdrawn`.
result<version_ref> choose_version(const configuration& it, const account_settings& account,
                                   const caller_request& request, const version_filter& filter);

/// Checks that a version named by the caller, or pinned by a session, may serve the request.
/// Fails with `unknown_version`, `not_allowed`, `version_withdrawn` or `session_version_withdrawn`.
result<version_ref> check_version(const configuration& it, const account_settings& account,
                                  const version_ref& version, bool pinned);

} // namespace runlink::core
