/// \file
/// Bounds on the memory of answers that are held until they are complete.
#pragma once

#include <algorithm>
#include <cstddef>

namespace runlink::gateway
{

/// Limits on answers, and on the events of streams, while they are incomplete.
struct answer_limits
{
    std::size_t max_answer_bytes = 16 * 1024 * 1024; ///< of one answer that is not a stream
    std::size_t max_total_bytes = 64 * 1024 * 1024;  ///< of all answers and events together

    /// For a process that may use this much memory: a quarter of it, since an answer is copied when it is
    /// forwarded.
    static answer_limits for_memory(std::size_t bytes)
    {
        constexpr std::size_t divisor = 4;
        const auto total = bytes / divisor;
        return {std::min(answer_limits{}.max_answer_bytes, total), total};
    }
};

/// The bytes that one attempt holds, as a part of a total that must outlive it.
class held_bytes
{
public:
    explicit held_bytes(std::size_t& total) : total_{total} {}
    ~held_bytes() { set(0); }
    held_bytes(const held_bytes&) = delete;
    held_bytes& operator=(const held_bytes&) = delete;

    void set(std::size_t bytes)
    {
        total_ += bytes - bytes_;
        bytes_ = bytes;
    }
    std::size_t get() const { return bytes_; }

private:
    std::size_t& total_;
    std::size_t bytes_ = 0;
};

} // namespace runlink::gateway
