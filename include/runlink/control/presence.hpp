/// \file
/// Keeps this instance's entry in the store, so that the others find it.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "runlink/control/kv_store.hpp"

namespace runlink::control
{

/// Parameters of the entry.
struct presence_options
{
    core::milliseconds ttl{20000};        ///< an instance that is gone is forgotten after this
    core::milliseconds renew_after{7000}; ///< two renewals may fail before the entry lapses
    core::milliseconds retry_after{1000};
};

/// Takes a lease, writes the entry under it, and renews it.
class presence
{
public:
    presence(presence_options options, kv_store store, kv_item entry);
    presence(const presence&) = delete;
    presence& operator=(const presence&) = delete;

    void start(core::time_point now) { next_ = now; }
    void tick(core::time_point now);
    std::optional<core::time_point> next_due() const { return next_; }
    std::function<core::time_point()> clock;
    std::function<void(core::time_point, kv_error)> on_failure = [](auto, auto) {};
    std::function<void(core::time_point)> on_success = [](auto) {};

private:
    void grant();
    void write();
    void renew();
    void succeed();
    void fail(kv_error why);

    presence_options options_;
    kv_store store_;
    kv_item entry_;
    std::uint64_t lease_ = 0;
    bool is_written_ = false;
    std::optional<core::time_point> next_;
};

} // namespace runlink::control
