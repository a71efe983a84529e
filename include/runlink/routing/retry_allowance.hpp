/// \file
/// Retry budget of a service, which all instances keep together without messages.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "runlink/core/units.hpp"

namespace runlink::routing
{

/// What another attempt of a request is sent for.
enum class retry_cause
{
    unsent,     ///< no byte of the request has been sent, so the attempt costs nothing
    loss,       ///< an attempt failed, was refused or broke off
    escalation, ///< the answer of a smaller model was not kept
    move,       ///< an attempt makes no progress
    hedge,      ///< an attempt takes long
};

/// Returns the name used in the structured log, such as `loss`.
std::string_view to_string(retry_cause it);

/// Whether the attempt counts towards the retry budget.
constexpr bool costs_allowance(retry_cause it)
{
    return it != retry_cause::unsent;
}

/// The retry budget of each service, over all instances.
struct retry_options
{
    /// In any window a service gets at most `ratio` retries for each request, and `slack` more.
    core::milliseconds window{10'000};
    double ratio = 0.9;
    double slack = 30;
};

/// This instance's share of the slack, which the instances that the store lists divide among them.
///
/// The share is 0 until this instance has been listed for so long that each other one knows of it or has lost
/// contact. An instance that has lost contact gets a smaller share, from a part of the slack that the others
/// don't use. So the shares never exceed the slack together, whatever messages are lost.
class retry_share
{
public:
    explicit retry_share(double slack) : slack_{slack} {}

    /// The store lists this instance.
    void on_listed(core::time_point now) { listed_at_ = listed_at_.value_or(now); }
    /// The store no longer lists this instance.
    void on_unlisted() { listed_at_.reset(); }
    /// The list of instances was current at `at`.
    void confirm(core::time_point at) { confirmed_at_ = std::max(confirmed_at_.value_or(at), at); }
    /// Sets the number of instances that are known, including this one.
    void set_instances(core::time_point now, std::size_t count);
    /// Retries that this instance may save up for each service.
    double at(core::time_point now) const;
    /// Number of instances that share the slack, as far as is known.
    std::size_t instances() const { return count_; }
    /// Whether this process has known itself to be listed for at least `time`.
    bool has_been_listed_for(core::time_point now, core::duration time) const
    {
        return listed_at_ && now - *listed_at_ >= time;
    }

private:
    double slack_;
    std::optional<core::time_point> listed_at_;
    std::optional<core::time_point> confirmed_at_;
    std::size_t count_ = 1;
    std::size_t most_since_ = 0; ///< the largest number of instances since `fewer_since_`
    std::optional<core::time_point> fewer_since_;
};

/// Retry budget of one service at one instance. Each request pays for `ratio` of a retry. What is not used
/// soon is saved up to the instance's share of the slack. A window without a retry restores all of the share.
///
/// In any window, the retries of an instance are paid for by requests of that window, by requests shortly
/// before it, or from its share. As a new process has nothing saved, that also holds for the sum over
/// processes that are killed and started, without messages between them.
class retry_allowance
{
public:
    explicit retry_allowance(retry_options options = {});

    /// Counts a request that arrived at `at`.
    void on_request(core::time_point at);
    /// Takes one retry, also from the reserve (see `reserve_fraction`). Returns false if none is left.
    bool try_take(core::time_point now, const retry_share& share);
    /// Retries that are left.
    double left(core::time_point now, const retry_share& share);

private:
    static constexpr std::int64_t bucket_count = 10;
    /// Credit of the requests that arrived in one span of time.
    struct bucket
    {
        std::int64_t number = -1; ///< index of the span; -1: unused
        double credit = 0;
    };

    std::int64_t number_of(core::time_point at) const;
    /// Moves credit that is older than a lifetime into `saved_`, up to the share.
    void save(core::time_point now, const retry_share& share);

    core::duration window_;
    core::duration span_; ///< of time for each bucket
    double credit_per_request_;
    double saved_ = 0;
    std::array<bucket, bucket_count> recent_{};
    std::optional<core::time_point> last_retry_;
};

/// Fraction of the share of the slack that a retry leaves to others that are more urgent: a failed attempt
/// may use all of it, a hedge the least.
double reserve_fraction(retry_cause it);

} // namespace runlink::routing
