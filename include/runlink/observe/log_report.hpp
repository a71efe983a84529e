/// \file
/// Reports from the structured logs of several instances: a trace of one request, and event counts by reason.
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

/// Parsed lines of one or more logs, in order of their timestamps.
struct log_records
{
    std::vector<nlohmann::json> lines;
    std::size_t unreadable = 0; ///< non-empty lines without a JSON object that has an `event` member
};

/// Reads lines into `to`. Text before the first brace of a line, such as a log collector's prefix, is
/// skipped.
void read_log(std::istream& in, log_records& to);

/// The lines about a request, and the state changes that the same instances logged from one second before its
/// first line until its last line. Ordered by the instances' wall clocks.
std::string trace_request(const log_records& from, const std::string& request);

/// The number of lines per event and reason, and the number of dropped and unreadable lines.
std::string summarize(const log_records& from);

} // namespace runlink::observe
