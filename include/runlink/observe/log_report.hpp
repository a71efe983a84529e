/// \file
/// Reads structured logs of several instances back: the story of one request, and counts by reason.
#pragma once

#include <cstddef>
#include <cstdint>
#include <istream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace runlink::observe
{

/// The lines of some logs.
struct log_records
{
    std::vector<nlohmann::json> lines;
    std::size_t unreadable = 0; ///< lines that hold no JSON object
};

/// Reads lines; what stands before the first brace of a line (a collector's prefix) is passed over.
void read_log(std::istream& in, log_records& to);

/// The lines that name a request, and the changes of state at the same instances while it was under way,
/// ordered by the instances' clocks.
std::string trace_request(const log_records& from, const std::string& request);

/// How often each event happened, by reason, and how many lines were left out.
std::string summarize(const log_records& from);

} // namespace runlink::observe
