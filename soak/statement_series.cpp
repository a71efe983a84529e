#include "soak/statement_series.hpp"

#include <utility>

namespace runlink::soak
{
namespace
{

constexpr int least_wait_ms = 500;
constexpr int most_wait_ms = 2500;
constexpr int least_limit_ms = 5000;
constexpr int most_limit_ms = 11'000;
constexpr unsigned limit_steps = 30; ///< of a tenth of a request a second
constexpr double step = 0.1;

} // namespace

statement_series::statement_series(fleet& on, promise_checker& checker, std::uint64_t seed)
    : fleet_{on}, checker_{checker}, random_{seed}
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { say_next(); });
}

milliseconds statement_series::pick_time(int least, int most)
{
    return milliseconds{least + static_cast<int>(random_() % static_cast<unsigned>(most - least))};
}

void statement_series::begin(std::function<void(const std::string&)> on_said)
{
    on_said_ = std::move(on_said);
    timer_.start(pick_time(least_wait_ms, most_wait_ms));
}

void statement_series::say_next()
{
    auto& all = fleet_.endpoints();
    auto& it = *all[random_() % all.size()];
    if (!it.leaving && !it.server.says.requests_per_s)
        name_limit(it);
    timer_.start(pick_time(least_wait_ms, most_wait_ms));
}

void statement_series::name_limit(proxied_endpoint& it)
{
    const auto limit = static_cast<double>(random_() % limit_steps) * step;
    it.server.says.requests_per_s = limit;
    checker_.statements().names(now(), it.server.id(), limit);
    on_said_(it.server.id() + " names a limit of " + std::to_string(limit));
    QTimer::singleShot(pick_time(least_limit_ms, most_limit_ms), &context_,
                       [this, &it]
                       {
                           it.server.says.requests_per_s.reset();
                           checker_.statements().names(now(), it.server.id(), std::nullopt);
                           on_said_(it.server.id() + " names no limit");
                       });
}

} // namespace runlink::soak
