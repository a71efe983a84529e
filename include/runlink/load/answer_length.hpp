/// \file
/// Number of tokens that an answer is expected to have.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "runlink/load/forecast.hpp"

namespace runlink::load
{

/// Estimates the length of answers by route and the caller's hint.
class answer_length
{
public:
    void observe(const std::string& route, std::optional<std::uint32_t> hint, std::uint32_t tokens);
    /// `most`: the most tokens that the request may generate; 0: unknown.
    length_estimate expect(const std::string& route, std::optional<std::uint32_t> hint,
                           std::uint32_t most) const;

private:
    std::map<std::string, double> means_;
};

} // namespace runlink::load
