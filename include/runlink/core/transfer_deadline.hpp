/// \file
/// Decides when a call is given up whose answer may be large.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "runlink/core/units.hpp"

namespace runlink::core
{

/// Limits on the time that the answer to a call takes.
struct transfer_limits
{
    milliseconds first_byte{900}; ///< from the call to the first byte of its answer
    milliseconds silence{900};    ///< from one byte of the answer to the next
    /// Lowest rate at which the body may arrive on average.
    std::uint64_t min_bytes_per_s = 125'000;
    /// Size of a body whose length is not announced.
    std::uint64_t largest_body = std::uint64_t{2} << 20U;

    /// Limits for a link of this bandwidth, of which other traffic may take the larger part. 0: unknown.
    static transfer_limits for_link(std::uint32_t link_mbps);
};

/// Why a call was given up.
enum class transfer_timeout
{
    no_answer, ///< no byte of the answer arrived
    silent,    ///< no further byte arrived
    too_slow,  ///< bytes arrived, but fewer than the lowest rate requires
};

std::string_view to_string(transfer_timeout it);

/// Bounds the silence of the peer and the length of the transfer separately: a peer that falls silent is
/// noticed early, and a large answer that makes progress is not started again.
class transfer_deadline
{
public:
    transfer_deadline(const transfer_limits& limits, time_point started);

    /// The answer has begun, with the announced length of its body.
    void on_head(time_point now, std::optional<std::uint64_t> length);
    /// A part of the body has arrived.
    void on_bytes(time_point now);
    /// When the call is given up if nothing else arrives.
    time_point due() const;
    /// Why a call that is given up at `due` is given up.
    transfer_timeout reason() const;

private:
    transfer_limits limits_;
    time_point silent_at_;
    std::optional<time_point> too_slow_at_; ///< set once the answer has begun
};

} // namespace runlink::core
