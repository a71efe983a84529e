#include "runlink/core/json_reader.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace runlink::core
{
namespace
{

/// Reports duplicate member names in one object, of which the parser alone would keep the last one.
class duplicate_finder
{
public:
    explicit duplicate_finder(json_faults& faults) : faults_{faults} {}

    bool operator()(int, nlohmann::json::parse_event_t event, nlohmann::json& parsed)
    {
        using event_t = nlohmann::json::parse_event_t;
        if (event == event_t::object_start)
            names_.emplace_back();
        else if (event == event_t::object_end)
            names_.pop_back();
        else if (event == event_t::key && !names_.back().insert(parsed.get<std::string>()).second)
            faults_.add("$", "member '" + parsed.get<std::string>() + "' stands twice in one object");
        return true;
    }

private:
    json_faults& faults_;
    std::vector<std::set<std::string>> names_;
};

constexpr std::string_view nul_escape = "\\u0000";
constexpr std::size_t unicode_escape_bytes = 6; ///< `\uXXXX`

/// The code unit of an escape `\uXXXX` at the beginning of the text; nothing if there is none.
std::optional<unsigned> unicode_escape_of(std::string_view text)
{
    unsigned out = 0;
    if (text.size() < unicode_escape_bytes || !text.starts_with("\\u"))
        return std::nullopt;
    const auto* end = text.data() + unicode_escape_bytes;
    const auto [last, ec] = std::from_chars(text.data() + 2, end, out, 16);
    return ec == std::errc{} && last == end ? std::optional{out} : std::nullopt;
}

/// Length of the character of several bytes that UTF-8 text begins with; 0 if it is not valid.
std::size_t utf8_length(std::string_view text)
{
    const auto byte = [&](std::size_t n)
    { return n < text.size() ? static_cast<unsigned char>(text[n]) : 0U; };
    const auto is_next = [&](std::size_t n, unsigned min = 0x80, unsigned max = 0xbf)
    { return byte(n) >= min && byte(n) <= max; };
    const auto first = byte(0);
    if (first >= 0xc2 && first <= 0xdf)
        return is_next(1) ? 2 : 0;
    if (first >= 0xe0 && first <= 0xef)
        return is_next(1, first == 0xe0 ? 0xa0 : 0x80, first == 0xed ? 0x9f : 0xbf) && is_next(2) ? 3 : 0;
    if (first >= 0xf0 && first <= 0xf4)
        return is_next(1, first == 0xf0 ? 0x90 : 0x80, first == 0xf4 ? 0x8f : 0xbf) && is_next(2) &&
                       is_next(3)
                   ? 4
                   : 0;
    return 0;
}

/// Length of the valid piece of a string that the text begins with, or 0 and the length of the invalid piece.
std::pair<std::size_t, std::size_t> string_piece_of(std::string_view text)
{
    constexpr unsigned first_high = 0xd800;
    constexpr unsigned first_low = 0xdc00;
    constexpr unsigned after_low = 0xe000;
    if (const auto unit = unicode_escape_of(text))
    {
        const auto next = unicode_escape_of(text.substr(unicode_escape_bytes));
        if (*unit < first_high || *unit >= after_low)
            return {unicode_escape_bytes, 0};
        if (*unit < first_low && next && *next >= first_low && *next < after_low)
            return {2 * unicode_escape_bytes, 0};
        return {0, unicode_escape_bytes};
    }
    if (text[0] == '\\')
        return {std::min<std::size_t>(text.size(), 2), 0};
    const auto byte = static_cast<unsigned char>(text[0]);
    if (byte >= 0x80)
        return {utf8_length(text), 1};
    return {byte < ' ' ? 0 : 1, 1};
}

std::string with_valid_strings(std::string_view text)
{
    std::string out;
    out.reserve(text.size());
    bool in_string = false;
    while (!text.empty())
    {
        auto [valid, invalid] = in_string ? string_piece_of(text) : std::pair<std::size_t, std::size_t>{1, 0};
        if (text[0] == '"')
            in_string = !in_string;
        out += valid > 0 ? text.substr(0, valid) : nul_escape;
        text.remove_prefix(valid > 0 ? valid : invalid);
    }
    return out;
}

} // namespace

std::string json_faults::str() const
{
    std::string out;
    for (const auto& it : lines_)
    {
        if (!out.empty())
            out += "\n";
        out += it;
    }
    return out;
}

nlohmann::json parse_json_with_invalid_strings(const std::string& text)
{
    auto out = nlohmann::json::parse(text, nullptr, false);
    return out.is_discarded() ? nlohmann::json::parse(with_valid_strings(text)) : out;
}

std::optional<nlohmann::json> parse_json(std::string_view text, json_faults& faults)
{
    try
    {
        return nlohmann::json::parse(text, duplicate_finder{faults});
    }
    catch (const nlohmann::json::parse_error& e)
    {
        faults.add("$", "malformed JSON at byte " + std::to_string(e.byte));
        return std::nullopt;
    }
}

json_object_reader::json_object_reader(const nlohmann::json& value, std::string path, json_faults& faults)
    : value_{value}, path_{std::move(path)}, faults_{faults}
{
    if (!value_.is_object())
        faults_.add(path_, "must be an object");
}

json_object_reader::~json_object_reader()
{
    if (!value_.is_object())
        return;
    for (const auto& [name, unused] : value_.items())
        if (!seen_.contains(name))
            faults_.add(path_of(name), "unknown field");
}

std::string json_object_reader::path_of(const std::string& name) const
{
    return path_ + "." + name;
}

bool json_object_reader::has(const std::string& name) const
{
    return value_.is_object() && value_.contains(name);
}

void json_object_reader::fault(const std::string& name, const std::string& what)
{
    faults_.add(path_of(name), what);
}

const nlohmann::json* json_object_reader::member(const std::string& name, bool required)
{
    seen_.insert(name);
    if (!value_.is_object())
        return nullptr;
    const auto it = value_.find(name);
    if (it != value_.end())
        return &*it;
    if (required)
        fault(name, "is missing");
    return nullptr;
}

const nlohmann::json* json_object_reader::raw(const std::string& name)
{
    return member(name, false);
}

std::string json_object_reader::required_string(const std::string& name)
{
    const auto* it = member(name, true);
    if (it == nullptr)
        return {};
    if (!it->is_string() || it->get_ref<const std::string&>().empty())
    {
        fault(name, "must be a string that is not empty");
        return {};
    }
    return it->get<std::string>();
}

std::string json_object_reader::optional_string(const std::string& name, const std::string& fallback)
{
    return has(name) ? required_string(name) : (member(name, false), fallback);
}

std::int64_t json_object_reader::required_integer(const std::string& name, std::int64_t min, std::int64_t max)
{
    const auto* it = member(name, true);
    if (it == nullptr)
        return min;
    const bool fits =
        it->is_number_integer() &&
        !(it->is_number_unsigned() && it->get<std::uint64_t>() > static_cast<std::uint64_t>(max)) &&
        it->get<std::int64_t>() >= min && it->get<std::int64_t>() <= max;
    if (!fits)
    {
        fault(name, "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return it->get<std::int64_t>();
}

std::int64_t json_object_reader::optional_integer(const std::string& name, std::int64_t fallback,
                                                  std::int64_t min, std::int64_t max)
{
    return has(name) ? required_integer(name, min, max) : (member(name, false), fallback);
}

double json_object_reader::required_number(const std::string& name, double min, double max)
{
    const auto* it = member(name, true);
    if (it == nullptr)
        return min;
    if (!it->is_number() || it->get<double>() < min || it->get<double>() > max)
    {
        fault(name, "must be a number from " + std::to_string(min) + " to " + std::to_string(max));
        return min;
    }
    return it->get<double>();
}

double json_object_reader::optional_number(const std::string& name, double fallback, double min, double max)
{
    return has(name) ? required_number(name, min, max) : (member(name, false), fallback);
}

bool json_object_reader::optional_bool(const std::string& name, bool fallback)
{
    const auto* it = member(name, false);
    if (it == nullptr)
        return fallback;
    if (!it->is_boolean())
    {
        fault(name, "must be true or false");
        return fallback;
    }
    return it->get<bool>();
}

std::vector<std::string> json_object_reader::optional_strings(const std::string& name)
{
    std::vector<std::string> out;
    const auto* it = member(name, false);
    if (it == nullptr)
        return out;
    if (!it->is_array())
    {
        fault(name, "must be an array of strings");
        return out;
    }
    for (std::size_t n = 0; n < it->size(); ++n)
    {
        const auto& e = (*it)[n];
        if (e.is_string() && !e.get_ref<const std::string&>().empty())
            out.push_back(e.get<std::string>());
        else
            fault(name + "[" + std::to_string(n) + "]", "must be a string that is not empty");
    }
    return out;
}

std::vector<int> json_object_reader::optional_integers(const std::string& name, std::vector<int> fallback,
                                                       int min, int max)
{
    const auto* it = member(name, false);
    if (it == nullptr)
        return fallback;
    std::vector<int> out;
    if (!it->is_array())
    {
        fault(name, "must be an array of whole numbers");
        return fallback;
    }
    for (std::size_t n = 0; n < it->size(); ++n)
    {
        const auto& e = (*it)[n];
        const bool fits =
            e.is_number_integer() && e.get<std::int64_t>() >= min && e.get<std::int64_t>() <= max;
        if (fits)
            out.push_back(e.get<int>());
        else
            fault(name + "[" + std::to_string(n) + "]",
                  "must be a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    }
    return out;
}

void json_object_reader::each_object(const std::string& name,
                                     const std::function<void(json_object_reader&)>& read)
{
    const auto* it = member(name, false);
    if (it == nullptr)
        return;
    if (!it->is_array())
    {
        fault(name, "must be an array of objects");
        return;
    }
    for (std::size_t n = 0; n < it->size(); ++n)
    {
        json_object_reader element{(*it)[n], path_of(name) + "[" + std::to_string(n) + "]", faults_};
        read(element);
    }
}

bool json_object_reader::object(const std::string& name, const std::function<void(json_object_reader&)>& read)
{
    const auto* it = member(name, false);
    if (it == nullptr)
        return false;
    json_object_reader nested{*it, path_of(name), faults_};
    read(nested);
    return true;
}

} // namespace runlink::core
