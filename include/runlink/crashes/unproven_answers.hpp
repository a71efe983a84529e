/// \file
/// Answers that are complete only because their connection ended, which a crash of the endpoint also causes.
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "runlink/core/units.hpp"
#include "runlink/crashes/crash_messages.hpp"

namespace runlink::crashes
{

/// Keeps such answers until their endpoint has been heard from again, or is known to have ended.
class unproven_answers
{
public:
    struct answer
    {
        request_elements elements;
        core::time_point sent_at{};  ///< when its request was sent
        core::time_point ended_at{}; ///< when its connection ended
    };

    void add(endpoint_id_hash from, answer it);
    bool contains(endpoint_id_hash from) const { return by_endpoint_.contains(from); }
    /// Whether an answer to a request with this content is kept.
    bool has_content(element_fingerprint content) const;
    /// Removes and returns the endpoint's answers that ended by `until`.
    std::vector<answer> take(endpoint_id_hash from, core::time_point until);
    /// Removes answers that ended before `before`.
    void expire(core::time_point before);

private:
    static constexpr std::size_t max_answers = 1024;

    std::map<endpoint_id_hash, std::vector<answer>> by_endpoint_;
    std::size_t size_ = 0;
};

} // namespace runlink::crashes
