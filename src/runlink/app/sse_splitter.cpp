#include "runlink/app/sse_splitter.hpp"

namespace runlink::app
{
namespace
{

constexpr std::string_view event_end = "\n\n";
constexpr std::string_view data_field = "data:";

} // namespace

bool sse_splitter::add(std::string_view bytes, const std::function<void(std::string)>& visit)
{
    for (const char c : bytes)
    {
        if (c == '\r')
            continue;
        incomplete_ += c;
        if (!incomplete_.ends_with(event_end))
            continue;
        auto event = std::move(incomplete_);
        incomplete_.clear();
        visit(std::move(event));
    }
    return incomplete_.size() <= max_event_bytes_;
}

std::string_view data_of(std::string_view event)
{
    if (!event.starts_with(data_field))
        return {};
    event.remove_prefix(data_field.size());
    const auto first = event.find_first_not_of(' ');
    const auto last = event.find_last_not_of("\n ");
    return first == std::string_view::npos ? std::string_view{} : event.substr(first, last - first + 1);
}

bool is_done_event(std::string_view event)
{
    return data_of(event) == "[DONE]";
}

} // namespace runlink::app
