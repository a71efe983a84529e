/// \file
/// Non-cryptographic hashes for placement and identity.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace runlink::core
{

/// 64-bit hash that is the same on all instances and in all builds.
std::uint64_t stable_hash(std::string_view data, std::uint64_t seed = 0);

/// 128-bit hash as 32 hexadecimal digits.
std::string stable_digest(std::string_view data);

/// Score of a candidate for a key in weighted rendezvous hashing; the highest score wins. `weight` is
/// positive.
double rendezvous_score(std::string_view key, std::string_view candidate, double weight = 1.0);

} // namespace runlink::core
