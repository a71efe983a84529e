/// \file
/// Counts of a version's answers and of the flaws among them, in total and over the latest seconds.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// What may be wrong with an answer. Each degree of slowness includes the higher ones: a `very_slow` answer
/// also counts as `slow` and `late`.
enum class answer_flaw : std::size_t
{
    failed,    ///< the endpoint failed, or the answer is incomplete
    late,      ///< over 1.25 times the expected time
    slow,      ///< over 3 times the expected time
    very_slow, ///< over 6 times the expected time, or the answer stalled
};
constexpr std::size_t answer_flaws = 4;
constexpr std::array<answer_flaw, answer_flaws> all_answer_flaws{answer_flaw::failed, answer_flaw::late,
                                                                 answer_flaw::slow, answer_flaw::very_slow};
std::string_view to_string(answer_flaw it);

/// The number of answers, and for each flaw the number of answers that have it.
struct answer_counts
{
    std::uint32_t all = 0;
    std::array<std::uint32_t, answer_flaws> with{};

    std::uint32_t& operator[](answer_flaw it) { return with[static_cast<std::size_t>(it)]; }
    std::uint32_t operator[](answer_flaw it) const { return with[static_cast<std::size_t>(it)]; }
    answer_counts& operator+=(const answer_counts& it);
    /// The increase since an earlier count. Returns the whole count if any of the earlier numbers is higher,
    /// as after a restart of the process that counts.
    answer_counts since(const answer_counts& earlier) const;

    friend bool operator==(const answer_counts&, const answer_counts&) = default;
};

/// Key of answers that are comparable with each other. Prompts and inference engines differ between routes
/// and models, so answers of different groups are not compared.
struct answer_group
{
    std::string route;
    core::model_id model;

    friend auto operator<=>(const answer_group&, const answer_group&) = default;
};

/// Counts since the beginning and in each of the latest seconds.
///
/// The short windows find a version that starts to fail after a good period, which the total would hide.
class answer_window
{
public:
    /// Length of the history with one count per second.
    static constexpr std::size_t seconds_kept = 8;

    void add(core::time_point now, const answer_counts& it);
    const answer_counts& total() const { return total_; }
    /// Counts of the latest `seconds`, including the current one; at most `seconds_kept`.
    answer_counts latest(core::time_point now, std::size_t seconds) const;

private:
    struct second
    {
        std::int64_t number = -1; ///< seconds since the epoch of the clock; -1: unused
        answer_counts counts;
    };
    std::array<second, seconds_kept> seconds_;
    answer_counts total_;
};

} // namespace runlink::routing
