/// \file
/// Removes keys of the client account one after the other while streams that use them are active.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <QTimer>

#include "soak/fleet.hpp"

namespace runlink::soak
{

/// Removes a series of keys in short succession, leaves the configuration unchanged for a longer time, and
/// repeats. Each removal also adds a new key.
class key_rotation
{
public:
    /// Adds the initial keys to the configuration.
    key_rotation(fleet& on, promise_checker& checker);
    key_rotation(const key_rotation&) = delete;
    key_rotation& operator=(const key_rotation&) = delete;

    void begin(std::function<void(const std::string&)> on_removed);
    /// Returns a key of the current series that is about to be removed, or sometimes the last removed one.
    std::string pick(std::size_t by) const;

private:
    void remove_next();

    fleet& fleet_;
    promise_checker& checker_;
    std::vector<std::string> keys_; ///< all keys ever added; the first `removed_` have been removed
    std::size_t removed_ = 0;
    std::function<void(const std::string&)> on_removed_;
    QTimer timer_;
};

} // namespace runlink::soak
