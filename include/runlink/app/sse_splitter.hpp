/// \file
/// Splits a byte stream into server-sent events.
#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace runlink::app
{

/// Collects bytes into complete events, each with the blank line at its end. Drops carriage returns.
class sse_splitter
{
public:
    explicit sse_splitter(std::size_t max_event_bytes) : max_event_bytes_{max_event_bytes} {}

    /// Calls `visit` with each complete event. Returns false when the incomplete event at the end is longer
    /// than `max_event_bytes`.
    bool add(std::string_view bytes, const std::function<void(std::string)>& visit);
    /// Bytes of the incomplete event at the end.
    const std::string& incomplete() const { return incomplete_; }

private:
    std::size_t max_event_bytes_;
    std::string incomplete_;
};

/// Returns whether an event is the final `[DONE]` event of a stream of completions.
bool is_done_event(std::string_view event);

/// Returns the data of an event that consists of one data line; empty for any other event.
std::string_view data_of(std::string_view event);

} // namespace runlink::app
