/// \file
/// Formats answers of the operators' interface as text tables.
#pragma once

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace runlink::app
{

/// Formats rows of cells as aligned columns. The first row is the heading.
std::string format_table(const std::vector<std::vector<std::string>>& rows);

std::string status_table(const nlohmann::json& status);
std::string versions_table(const nlohmann::json& status);
std::string changes_table(const nlohmann::json& changes);

} // namespace runlink::app
