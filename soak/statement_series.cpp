#include "soak/statement_series.hpp"

#include <utility>

namespace runlink::soak
{
namespace
{

constexpr int min_wait_ms = 500;
constexpr int max_wait_ms = 2500;
constexpr int min_limit_ms = 5000;
constexpr int max_limit_ms = 11'000;
/// Delay until the store entry of a leaving endpoint says that it is leaving.
constexpr int min_announcement_ms = 3000;
constexpr int max_announcement_ms = 9000;
constexpr int min_rest_ms = 1500;
constexpr int max_rest_ms = 4000;
constexpr unsigned limit_steps = 30; ///< in units of `step`
constexpr double step = 0.1;         ///< requests per second

} // namespace

statement_series::statement_series(fleet& on, std::uint64_t seed) : fleet_{on}, random_{seed}
{
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { say_next(); });
}

milliseconds statement_series::pick_time(int min_ms, int max_ms)
{
    return milliseconds{min_ms + static_cast<int>(random_() % static_cast<unsigned>(max_ms - min_ms))};
}

void statement_series::begin(std::function<void(const std::string&)> on_said)
{
    on_said_ = std::move(on_said);
    timer_.start(pick_time(min_wait_ms, max_wait_ms));
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
    timer_.start(pick_time(min_wait_ms, max_wait_ms));
}

void statement_series::name_limit(proxied_endpoint& it)
{
    const auto limit = static_cast<double>(random_() % limit_steps) * step;
    it.server.says.requests_per_s = limit;
    on_said_(it.server.id() + " advertises a limit of " + std::to_string(limit));
    QTimer::singleShot(pick_time(min_limit_ms, max_limit_ms), &context_,
                       [this, &it]
                       {
                           it.server.says.requests_per_s.reset();
                           on_said_(it.server.id() + " no longer advertises a limit");
                       });
}

void statement_series::leave(proxied_endpoint& it)
{
    fleet_.add_endpoint(it.server.service(), "v1");
    it.server.says.is_leaving = true;
    on_said_(it.server.id() + " announces its departure");
    QTimer::singleShot(pick_time(min_announcement_ms, max_announcement_ms), &context_,
                       [this, &it] { fleet_.set_leaving(it); });
}

void statement_series::want_rest(proxied_endpoint& it)
{
    it.server.says.rest = pick_time(min_rest_ms, max_rest_ms);
    on_said_(it.server.id() + " requests a rest period");
    QTimer::singleShot(pick_time(min_limit_ms, max_limit_ms), &context_,
                       [this, &it]
                       {
                           it.server.says.rest.reset();
                           on_said_(it.server.id() + " no longer requests a rest period");
                       });
}

} // namespace runlink::soak
