/// \file
/// Revisions of the store, which are comparable over a return of the store from an older copy.
#pragma once

#include <compare>
#include <cstdint>
#include <ostream>

#include "runlink/core/ids.hpp"

namespace runlink::core
{

/// Counts how often the store has returned from an older copy. 0: the store does not tell.
using store_era = strong_number<struct store_era_tag>;

/// A revision of the store. After a return from an older copy the store gives numbers out again, so that a
/// revision of a later era is later, whatever its number.
struct store_revision
{
    store_era era;
    std::uint64_t number = 0; ///< 0: none, e.g. of an item that does not exist

    store_revision() = default;
    /// A revision of a store that does not tell its era.
    // NOLINTNEXTLINE(google-explicit-constructor)
    store_revision(std::uint64_t it) : number{it} {}
    store_revision(store_era of, std::uint64_t it) : era{of}, number{it} {}

    bool is_none() const { return number == 0; }
    /// The first revision after this one.
    store_revision next() const { return {era, number + 1}; }

    friend auto operator<=>(const store_revision&, const store_revision&) = default;
    friend std::ostream& operator<<(std::ostream& os, const store_revision& it)
    {
        return os << it.era << ':' << it.number;
    }
};

} // namespace runlink::core
