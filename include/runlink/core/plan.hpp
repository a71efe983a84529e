/// \file
/// Changes of the configuration: an operator's intent becomes a plan, which the operator confirms.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "runlink/core/configuration.hpp"
#include "runlink/core/session_token.hpp"

namespace runlink::core
{

/// One difference between two configurations.
struct configuration_change
{
    std::string path;   ///< such as `models.review.versions.r2.state`
    std::string before; ///< empty if the value was added
    std::string after;  ///< empty if the value was removed

    friend bool operator==(const configuration_change&, const configuration_change&) = default;
};

/// The change that a confirmation applies. A plan is self-contained, so that any instance can confirm it.
struct plan
{
    configuration next; ///< including its revision and operation id
    std::vector<configuration_change> changes;

    /// Revision of the configuration that the plan is based on.
    config_revision base() const { return config_revision{next.revision.value() - 1}; }
};

/// Returns the differences between two configurations, ordered by path.
std::vector<configuration_change> compare(const configuration& before, const configuration& after);

/// Makes a plan that applies an intent to the configuration `base`.
///
/// An intent is either `{"configuration": {...}}`, a whole new configuration, or `{"changes": [...]}` with
/// the actions `roll_out`, `serve`, `retire` and `withdraw` on a `version`, and `leave` and `stay` on an
/// `endpoint`.
/// Fails with `plan_invalid`, `configuration_invalid` or `wrong_deployment`.
result<plan> make_plan(const configuration& base, std::string_view intent, const std::string& operation_id);

/// Serialises a plan as JSON with a message authentication code, which detects later edits.
std::string print_plan(const plan& it, std::string_view secret, const mac_function& mac);

/// Parses a plan. Fails with `plan_invalid` if the text is malformed or its authentication code is wrong.
result<plan> parse_plan(std::string_view json, std::string_view secret, const mac_function& mac);

/// Returns the configuration with a version withdrawn. If no version of the model is left in state `serving`,
/// its last retiring version becomes `serving` again.
configuration with_version_withdrawn(const configuration& base, const version_ref& version);

} // namespace runlink::core
