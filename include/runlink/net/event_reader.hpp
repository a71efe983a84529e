/// \file
/// Splits a stream of server-sent events into complete events without changing their bytes.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace runlink::net
{

/// Buffers the bytes of an event until the blank line that ends the event has arrived.
class event_reader
{
public:
    using visitor = std::function<void(std::string_view event, std::optional<std::uint64_t> id)>;

    explicit event_reader(visitor visit) : visit_{std::move(visit)} {}

    /// Calls the visitor for each event that `bytes` completes. Returns false if the incomplete event at the
    /// end exceeds 1 MiB.
    bool feed(std::string_view bytes);
    /// Bytes of the event that is still incomplete.
    const std::string& rest() const { return incomplete_event_; }

private:
    visitor visit_;
    std::string incomplete_event_;
    std::size_t search_position_ = 0;
};

/// The value of the `id` field of an event, or nothing if there is none, there are several, or the whole
/// value is not a number of 64 bits.
std::optional<std::uint64_t> event_id_of(std::string_view event);

/// Whether the bytes up to a blank line carry neither data nor an id, such as `: keep-alive`.
bool is_comment(std::string_view event);

} // namespace runlink::net
