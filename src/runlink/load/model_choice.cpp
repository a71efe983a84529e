#include "runlink/load/model_choice.hpp"

#include <algorithm>
#include <cmath>

namespace runlink::load
{
namespace
{

/// Standard deviations between the median and the p90 of a normal distribution.
constexpr double deviations_to_p90 = 1.2816;

double ratio(duration a, duration b)
{
    return static_cast<double>(a.count()) / static_cast<double>(std::max<duration::rep>(b.count(), 1));
}

bool ends_in_time(const model_choice_input& it, const larger_model& of)
{
    return of.forecast.end <= it.deadline_left;
}

/// How loaded the endpoint is, 0 to 1: the part of its time limits that the answer needs.
double load_of(const model_choice_input& it, const larger_model& of)
{
    const auto wait = std::max(of.forecast.first_token - of.reading, duration{});
    const auto part = std::max(ratio(of.forecast.end, it.deadline_left), ratio(wait, it.target_latency));
    return std::min(part, 1.0);
}

/// Price relative to the most expensive model; 1 if it is unknown.
double relative_price(const model_choice_input& it, const larger_model& of)
{
    double most = 0;
    for (const auto& e : it.larger)
        most = std::max(most, e.price_per_1k);
    return of.price_per_1k > 0 ? of.price_per_1k / most : 1;
}

} // namespace

std::string_view to_string(choice_reason it)
{
    switch (it)
    {
    case choice_reason::confidence: return "confidence";
    case choice_reason::denied: return "denied";
    case choice_reason::deadline: return "deadline";
    case choice_reason::load: return "load";
    case choice_reason::price: return "price";
    }
    return "unknown";
}

model_choice::model_choice(const model_choice_options& options)
    : options_{options}, quality_{options.quality},
      reduction_{1 - value_of_quality(quality_.prior_chance_good(options.accept_confidence))}
{
}

double model_choice::value_of_quality(double chance_good) const
{
    return chance_good + (1 - chance_good) * options_.wrong_value;
}

double model_choice::chance_by(duration limit, duration median, duration late) const
{
    const auto spread = static_cast<double>((late - median).count()) / deviations_to_p90;
    const auto deviation = std::max(spread, static_cast<double>(options_.forecast_error.count()));
    return std::erfc(static_cast<double>((median - limit).count()) / (deviation * std::sqrt(2.0))) / 2;
}

double model_choice::value_of_kept(const model_choice_input& it) const
{
    const auto good = quality_.chance_good(it.model, it.size, it.sizes, it.confidence);
    const auto in_time = it.elapsed <= it.target_latency ? 1 : options_.late_value;
    return value_of_quality(good) * in_time * chance_by(it.deadline_left, it.rest, it.late_rest);
}

double model_choice::value_by_time(const model_choice_input& it, const stream_forecast& of) const
{
    const auto gap = of.per_token * static_cast<std::int64_t>(it.tokens_per_event);
    const auto in_time =
        gap > it.target_gap ? 0 : chance_by(it.target_latency - it.elapsed, of.first_token, of.first_token);
    const auto value = in_time + (1 - in_time) * options_.late_value;
    return value * chance_by(it.deadline_left, of.end, of.late_end);
}

double model_choice::value_in_time(const model_choice_input& it, const larger_model& of) const
{
    const auto good = quality_.chance_good(it.model, it.size, it.sizes, it.confidence);
    const auto larger_good = quality_.chance_of_larger(good, it.size, of.size, it.sizes);
    // A second run costs an attempt and a retry whatever the model. The price of the model stands for how
    // scarce its time is. Each makes up half of the reduction.
    return value_of_quality(larger_good) * (1 - reduction_ * (1 + relative_price(it, of)) / 2);
}

double model_choice::cost_to_others(const model_choice_input& it, const larger_model& of) const
{
    // Other streams are taken to have the same limits and to be as close to them as this one would be. A
    // delay of their tokens counts against the deadline, and a delay of their first token against the target
    // latency. It costs them nothing while they have most of their time left, and the value of one request
    // for each whole limit of delay if they need all of it.
    const auto tokens = ratio(of.forecast.cost_to_others, it.elapsed + it.deadline_left);
    const auto first = ratio(of.forecast.admission + of.reading, it.target_latency);
    const auto load = load_of(it, of);
    return (tokens + first * (1 - options_.late_value)) * load * load;
}

model_choice::worth model_choice::worth_of(const model_choice_input& it, const larger_model& of) const
{
    worth out;
    out.in_time = value_in_time(it, of);
    out.expected = out.in_time * value_by_time(it, of.forecast);
    out.others = cost_to_others(it, of);
    out.money = options_.price_weight * relative_price(it, of);
    return out;
}

bool model_choice::may_gain(const model_choice_input& it) const
{
    return it.may_retry && it.size + 1 < it.sizes && value_of_kept(it) < 1 - reduction_;
}

choice_reason model_choice::reason_to_keep(const model_choice_input& it, double kept) const
{
    auto out = choice_reason::confidence;
    for (const auto& e : it.larger)
    {
        const auto worth = worth_of(it, e);
        if (worth.in_time <= kept)
            continue;
        if (!ends_in_time(it, e))
            out = out == choice_reason::load ? out : choice_reason::deadline;
        else if (worth.expected - worth.others > kept)
            return choice_reason::price;
        else
            out = choice_reason::load;
    }
    return out;
}

model_decision model_choice::decide(const model_choice_input& it) const
{
    model_decision out;
    if (!it.may_retry)
        return {std::nullopt, choice_reason::denied};
    if (!may_gain(it))
        return {std::nullopt, choice_reason::confidence};
    const auto kept = value_of_kept(it);
    auto best = kept;
    for (std::size_t n = 0; n < it.larger.size(); ++n)
    {
        const auto& of = it.larger[n];
        if (!ends_in_time(it, of))
            continue;
        const auto worth = worth_of(it, of);
        const auto value = worth.expected - worth.others - worth.money;
        if (value <= best)
            continue;
        best = value;
        out.ask = n;
    }
    if (!out.ask)
        return {std::nullopt, reason_to_keep(it, kept)};
    // A smaller one than the largest that could be asked: is the larger one too late, or worth less?
    for (std::size_t n = *out.ask + 1; n < it.larger.size(); ++n)
        out.reason = ends_in_time(it, it.larger[n]) ? choice_reason::load : choice_reason::deadline;
    return out;
}

} // namespace runlink::load
