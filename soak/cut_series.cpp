#include "soak/cut_series.hpp"

#include <utility>

namespace runlink::soak
{
namespace
{

constexpr int min_wait_ms = 500;
constexpr int max_wait_ms = 2500;
/// Longer than the time after which the instances have to serve again.
constexpr int min_cut_ms = 4500;
constexpr int max_cut_ms = 8000;

const char* name_of(link_fault it)
{
    switch (it)
    {
    case link_fault::down: return "reset";
    case link_fault::closed: return "open connections live on";
    default: return "silent";
    }
}

} // namespace

cut_series::cut_series(fleet& on, promise_checker& checker, std::uint64_t seed)
    : fleet_{on}, checker_{checker}, random_{seed}
{
    timer_.setSingleShot(true);
}

milliseconds cut_series::pick_time(int min_ms, int max_ms)
{
    return milliseconds{min_ms + static_cast<int>(random_() % static_cast<unsigned>(max_ms - min_ms))};
}

void cut_series::begin(std::function<void(const std::string&)> on_cut)
{
    on_cut_ = std::move(on_cut);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { cut(); });
    timer_.start(pick_time(min_wait_ms, max_wait_ms));
}

void cut_series::cut()
{
    constexpr link_fault manners[] = {link_fault::down, link_fault::unanswered, link_fault::closed};
    const auto manner = manners[random_() % std::size(manners)];
    const auto all = fleet_.instances().size();
    const auto n = 1 + random_() % (all - 1);
    std::set<int> chosen;
    while (chosen.size() < n)
        chosen.insert(static_cast<int>(random_() % all));
    std::string text = std::string{"cut off from endpoints ("} + name_of(manner) + "):";
    for (const auto it : chosen)
    {
        fleet_.set_path_fault(it, manner);
        text += " i" + std::to_string(it);
    }
    checker_.reach().cut_began(now(), chosen);
    on_cut_(text);
    QTimer::singleShot(pick_time(min_cut_ms, max_cut_ms), &timer_, [this, chosen] { heal(chosen); });
}

void cut_series::heal(const std::set<int>& instances)
{
    checker_.reach().cut_ended(now());
    for (const auto it : instances)
        fleet_.set_path_fault(it, link_fault::none);
    on_cut_("no instance is cut off");
    timer_.start(pick_time(min_wait_ms, max_wait_ms));
}

} // namespace runlink::soak
