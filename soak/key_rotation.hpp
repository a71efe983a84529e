/// \file
/// Keys of the client account that are removed one after the other while streams of theirs are under way.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <QTimer>

#include "soak/fleet.hpp"

namespace runlink::soak
{

/// Removes some keys close together, waits until the configuration has been the same for long, and begins
/// again. A key is added with each that goes.
class key_rotation
{
public:
    /// Adds the first keys.
    key_rotation(fleet& on, promise_checker& checker);
    key_rotation(const key_rotation&) = delete;
    key_rotation& operator=(const key_rotation&) = delete;

    void begin(std::function<void(const std::string&)> on_removed);
    /// One of those that go next; sometimes one that is gone.
    std::string pick(std::size_t by) const;

private:
    void remove_next();

    fleet& fleet_;
    promise_checker& checker_;
    std::vector<std::string> keys_; ///< all there were; the oldest `removed_` are gone
    std::size_t removed_ = 0;
    std::function<void(const std::string&)> on_removed_;
    QTimer timer_;
};

} // namespace runlink::soak
