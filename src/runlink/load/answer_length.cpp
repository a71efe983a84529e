#include "runlink/load/answer_length.hpp"

#include <algorithm>
#include <cmath>

namespace runlink::load
{
namespace
{

constexpr double median_share = 0.5;
constexpr double p90_share = 0.9;

double log_of(std::uint32_t tokens)
{
    return std::log(std::max(tokens, 1U));
}

std::uint32_t to_tokens(double logarithm, std::uint32_t most)
{
    constexpr double largest = 1 << 30U;
    const auto n = static_cast<std::uint32_t>(std::lround(std::clamp(std::exp(logarithm), 1.0, largest)));
    return most == 0 ? n : std::min(n, most);
}

double mixed(double from, double to, double share)
{
    return from + (to - from) * share;
}

} // namespace

void answer_length::observe(const std::string& route, std::optional<std::uint32_t> hint, std::uint32_t tokens)
{
    add(route, hint, tokens, false);
}

void answer_length::observe_cut(const std::string& route, std::optional<std::uint32_t> hint,
                                std::uint32_t tokens)
{
    add(route, hint, tokens, true);
}

void answer_length::add(const std::string& route, std::optional<std::uint32_t> hint, std::uint32_t tokens,
                        bool is_cut)
{
    if (routes_.size() >= options_.most_routes && !routes_.contains(route))
        forget_oldest();
    auto& it = routes_[route];
    it.last = ++count_;
    it.latest.push_back({hint ? std::optional{log_of(*hint)} : std::nullopt, log_of(tokens), is_cut});
    if (it.latest.size() > options_.most_samples)
        it.latest.pop_front();
    learn_hints(it);
    std::vector<remainder> lengths;
    std::vector<remainder> remaining;
    for (const auto& e : it.latest)
    {
        lengths.push_back({e.tokens, e.is_cut});
        if (e.hint)
            remaining.push_back({e.tokens - it.hint_share * (*e.hint - it.hint_mean), e.is_cut});
    }
    it.lengths = quantiles_of(std::move(lengths));
    it.remaining = quantiles_of(std::move(remaining));
}

void answer_length::learn_hints(route_samples& to) const
{
    double hints = 0;
    double tokens = 0;
    std::size_t complete = 0;
    to.hints = 0;
    to.hint_mean = 0;
    for (const auto& e : to.latest)
    {
        if (!e.hint)
            continue;
        ++to.hints;
        to.hint_mean += *e.hint;
        if (e.is_cut)
            continue;
        ++complete;
        hints += *e.hint;
        tokens += e.tokens;
    }
    if (to.hints == 0)
        return;
    to.hint_mean /= static_cast<double>(to.hints);
    // The prior has hints that scatter by a factor of e.
    double variance = options_.hint_prior_samples;
    double covariance = options_.hint_prior_samples * options_.initial_hint_share;
    for (const auto& e : to.latest)
    {
        if (!e.hint || e.is_cut)
            continue;
        const auto n = static_cast<double>(complete);
        variance += (*e.hint - hints / n) * (*e.hint - hints / n);
        covariance += (*e.hint - hints / n) * (e.tokens - tokens / n);
    }
    to.hint_share = std::clamp(covariance / variance, 0.0, 1.0);
}

answer_length::quantiles answer_length::quantiles_of(std::vector<remainder> all)
{
    if (all.empty())
        return {};
    std::sort(all.begin(), all.end(),
              [](const auto& a, const auto& b)
              { return a.value != b.value ? a.value < b.value : a.is_cut < b.is_cut; });
    // If most of the long answers were cut, the longest is the best known lower bound.
    quantiles out{all.back().value, all.back().value};
    double longer = 1; // share of answers that are longer than those seen
    for (std::size_t n = 0; n < all.size(); ++n)
    {
        if (all[n].is_cut)
            continue;
        const auto before = longer;
        longer -= longer / static_cast<double>(all.size() - n);
        // The tolerance is for rounding: of ten answers, the ninth is p90.
        constexpr double tolerance = 1e-9;
        const auto passes = [&](double share)
        { return before > 1 - share + tolerance && longer <= 1 - share + tolerance; };
        if (passes(median_share))
            out.median = all[n].value;
        if (passes(p90_share))
            out.p90 = all[n].value;
    }
    return out;
}

answer_length::quantiles answer_length::initial(std::optional<std::uint32_t> hint, std::uint32_t most) const
{
    quantiles out{log_of(options_.initial.median), log_of(options_.initial.p90)};
    if (hint)
        out = {log_of(*hint), log_of(*hint) + std::log(options_.initial_hint_spread)};
    else if (most > 0)
        // Callers set the limit well above what they need.
        out = {log_of(most) - std::log(options_.initial_hint_spread), log_of(most)};
    return out;
}

answer_length::quantiles answer_length::learned(const route_samples& it,
                                                std::optional<std::uint32_t> hint) const
{
    if (!hint || it.hints == 0)
        return it.lengths;
    const auto shift = it.hint_share * (log_of(*hint) - it.hint_mean);
    return {it.remaining.median + shift, it.remaining.p90 + shift};
}

length_estimate answer_length::expect(const std::string& route, std::optional<std::uint32_t> hint,
                                      std::uint32_t most) const
{
    auto out = initial(hint, most);
    const auto found = routes_.find(route);
    if (found != routes_.end())
    {
        const auto& it = found->second;
        const auto samples = hint && it.hints > 0 ? it.hints : it.latest.size();
        const auto share =
            std::min(1.0, static_cast<double>(samples) / static_cast<double>(options_.enough_samples));
        const auto from_samples = learned(it, hint);
        out.median = mixed(out.median, from_samples.median, share);
        out.p90 = mixed(out.p90, from_samples.p90, share);
    }
    return {to_tokens(out.median, most), to_tokens(std::max(out.median, out.p90), most)};
}

void answer_length::forget_oldest()
{
    const auto oldest =
        std::min_element(routes_.begin(), routes_.end(),
                         [](const auto& a, const auto& b) { return a.second.last < b.second.last; });
    routes_.erase(oldest);
}

} // namespace runlink::load
