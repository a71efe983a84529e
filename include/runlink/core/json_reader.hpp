/// \file
/// Strict JSON reader that collects all faults with their paths instead of stopping at the first one.
#pragma once

#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

#include "runlink/core/failure.hpp"

namespace runlink::core
{

/// Faults found in one document, each in the form `path: what is wrong`.
class json_faults
{
public:
    void add(const std::string& path, const std::string& what) { lines_.push_back(path + ": " + what); }
    bool empty() const { return lines_.empty(); }
    const std::vector<std::string>& lines() const { return lines_; }
    std::string str() const;

private:
    std::vector<std::string> lines_;
};

/// Parses JSON text. Malformed text and duplicate member names are faults; malformed text gives no value.
std::optional<nlohmann::json> parse_json(std::string_view text, json_faults& faults);

/// Parses JSON text in which single strings are not valid: bytes that are no UTF-8, escapes of one half of a
/// surrogate pair and control characters become NUL characters. Throws `nlohmann::json::exception` for text
/// that is malformed otherwise.
nlohmann::json parse_json_with_invalid_strings(const std::string& text);

/// Reads one JSON object. The destructor reports members that were never read as unknown fields.
class json_object_reader
{
public:
    json_object_reader(const nlohmann::json& value, std::string path, json_faults& faults);
    json_object_reader(const json_object_reader&) = delete;
    json_object_reader& operator=(const json_object_reader&) = delete;
    ~json_object_reader();

    const std::string& path() const { return path_; }
    json_faults& faults() { return faults_; }
    bool has(const std::string& name) const;

    std::string required_string(const std::string& name);
    std::string optional_string(const std::string& name, const std::string& fallback = {});
    std::int64_t optional_integer(const std::string& name, std::int64_t fallback, std::int64_t min = 0,
                                  std::int64_t max = std::numeric_limits<std::int64_t>::max());
    std::int64_t required_integer(const std::string& name, std::int64_t min, std::int64_t max);
    double required_number(const std::string& name, double min, double max);
    double optional_number(const std::string& name, double fallback, double min, double max);
    bool optional_bool(const std::string& name, bool fallback);
    std::vector<std::string> optional_strings(const std::string& name);
    std::vector<int> optional_integers(const std::string& name, std::vector<int> fallback, int min, int max);

    /// Calls `read` for each element of an array of objects. A missing member counts as an empty array.
    void each_object(const std::string& name, const std::function<void(json_object_reader&)>& read);
    /// Calls `read` with a nested object. Returns false if the member is missing.
    bool object(const std::string& name, const std::function<void(json_object_reader&)>& read);
    /// Returns a member of any type unchecked; null if it is missing.
    const nlohmann::json* raw(const std::string& name);

    /// Adds a fault for a member of this object.
    void fault(const std::string& name, const std::string& what);

private:
    const nlohmann::json* member(const std::string& name, bool required);
    std::string path_of(const std::string& name) const;

    const nlohmann::json& value_;
    std::string path_;
    json_faults& faults_;
    std::set<std::string> seen_;
};

} // namespace runlink::core
