#include "runlink/load/answer_length.hpp"

#include <algorithm>

namespace runlink::load
{
namespace
{

constexpr std::uint32_t default_tokens = 300;
constexpr double weight_of_sample = 0.1;

} // namespace

void answer_length::observe(const std::string& route, std::optional<std::uint32_t>, std::uint32_t tokens)
{
    auto& known = means_.try_emplace(route, tokens).first->second;
    known += (tokens - known) * weight_of_sample;
}

length_estimate answer_length::expect(const std::string& route, std::optional<std::uint32_t> hint,
                                      std::uint32_t most) const
{
    const auto found = means_.find(route);
    const auto learned = found == means_.end() ? default_tokens : static_cast<std::uint32_t>(found->second);
    const auto limit = most > 0 ? most : learned * 2;
    return {std::min(hint.value_or(learned), limit), limit};
}

} // namespace runlink::load
