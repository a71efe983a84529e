/// \file
/// Cuts a stream of server-sent events into whole events, byte for byte.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace runlink::net
{

/// Holds the bytes of an event until its blank line has come.
class event_reader
{
public:
    using visitor = std::function<void(std::string_view event, std::optional<std::uint64_t> id)>;

    explicit event_reader(visitor visit) : visit_{std::move(visit)} {}

    /// Returns false where an event is longer than the bound.
    bool feed(std::string_view bytes);
    /// Bytes of an event that is not whole.
    const std::string& rest() const { return rest_; }

private:
    visitor visit_;
    std::string rest_;
    std::size_t searched_ = 0;
};

/// The `id` field of an event, if it is a number.
std::optional<std::uint64_t> event_id_of(std::string_view event);

} // namespace runlink::net
