/// \file
/// Interface to the platform's key-value store, as used by the core module.
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "runlink/core/failure.hpp"

namespace runlink::core
{

/// A value and the revision that the store assigned to it.
struct store_value
{
    std::string data;
    std::uint64_t revision = 0;
};

/// Precondition of a write.
struct store_condition
{
    /// The key must not exist.
    static store_condition create() { return {true, 0}; }
    /// The key must be at this revision.
    static store_condition match(std::uint64_t revision) { return {false, revision}; }

    bool absent = false;
    std::uint64_t revision = 0;
};

using store_read_handler = std::function<void(result<store_value>)>;
using store_write_handler = std::function<void(result<std::uint64_t>)>;

/// Asynchronous access to the store. Handlers run on the caller's thread after the call has returned.
///
/// Reads fail with `store_absent` or `store_unavailable`. Writes fail with `store_conflict` (the precondition
/// did not hold; nothing was written) or `store_unknown` (the value may have been written).
struct store_port
{
    std::function<void(std::string key, store_read_handler)> get;
    std::function<void(std::string key, std::string data, store_condition, store_write_handler)> put;
    /// Long poll: returns the value once the revision of the key exceeds `after`. Fails with
    /// `store_unchanged` if `wait` passes first.
    std::function<void(std::string key, std::uint64_t after, milliseconds wait, store_read_handler)> watch;
    /// Deletes a key; the result is not reported.
    std::function<void(std::string key)> erase;
};

} // namespace runlink::core
