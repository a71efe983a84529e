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
/// Until the store has the news of an endpoint that leaves.
constexpr int least_news_ms = 3000;
constexpr int most_news_ms = 9000;
constexpr int least_rest_ms = 1500;
constexpr int most_rest_ms = 4000;
constexpr unsigned limit_steps = 30; ///< of a tenth of a request a second
constexpr double step = 0.1;

} // namespace

statement_series::statement_series(fleet& on, std::uint64_t seed) : fleet_{on}, random_{seed}
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
    const auto& says = it.server.says;
    if (!it.leaving && !says.requests_per_s && !says.is_leaving && !says.rest && it.server.version() == "v1")
        switch (random_() % 4)
        {
        case 0: leave(it); break;
        case 1: want_rest(it); break;
        default: name_limit(it);
        }
    timer_.start(pick_time(least_wait_ms, most_wait_ms));
}

void statement_series::name_limit(proxied_endpoint& it)
{
    const auto limit = static_cast<double>(random_() % limit_steps) * step;
    it.server.says.requests_per_s = limit;
    on_said_(it.server.id() + " names a limit of " + std::to_string(limit));
    QTimer::singleShot(pick_time(least_limit_ms, most_limit_ms), &context_,
                       [this, &it]
                       {
                           it.server.says.requests_per_s.reset();
                           on_said_(it.server.id() + " names no limit");
                       });
}

void statement_series::leave(proxied_endpoint& it)
{
    fleet_.add_endpoint(it.server.service(), "v1");
    it.server.says.is_leaving = true;
    on_said_(it.server.id() + " says that it leaves");
    QTimer::singleShot(pick_time(least_news_ms, most_news_ms), &context_,
                       [this, &it] { fleet_.set_leaving(it); });
}

void statement_series::want_rest(proxied_endpoint& it)
{
    it.server.says.rest = pick_time(least_rest_ms, most_rest_ms);
    on_said_(it.server.id() + " wants rest");
    QTimer::singleShot(pick_time(least_limit_ms, most_limit_ms), &context_,
                       [this, &it]
                       {
                           it.server.says.rest.reset();
                           on_said_(it.server.id() + " wants no rest");
                       });
}

} // namespace runlink::soak
