#include "runlink/core/hash.hpp"

#include <cmath>
#include <cstdio>

#include <xxhash.h>

namespace runlink::core
{

std::uint64_t stable_hash(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string stable_digest(std::string_view data)
{
    const XXH128_hash_t h = XXH3_128bits(data.data(), data.size());
    char buf[33];
    std::snprintf(buf, sizeof buf, "%016llx%016llx", static_cast<unsigned long long>(h.high64),
                  static_cast<unsigned long long>(h.low64));
    return buf;
}

double rendezvous_score(std::string_view key, std::string_view candidate, double weight)
{
    constexpr double two_to_64 = 18446744073709551616.0;
    const std::uint64_t h = stable_hash(candidate, stable_hash(key));
    const double uniform = (static_cast<double>(h) + 0.5) / two_to_64;
    return -weight / std::log(uniform);
}

} // namespace runlink::core
