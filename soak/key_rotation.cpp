#include "soak/key_rotation.hpp"

#include <algorithm>
#include <utility>

namespace runlink::soak
{
namespace
{

constexpr std::size_t series_length = 3;
/// Two series, so that a key is known to all instances before it is used.
constexpr std::size_t keys_at_a_time = 2 * series_length;
constexpr milliseconds first_wait{2000};
constexpr milliseconds wait_in_series{600};
constexpr milliseconds wait_between_series{9000};
constexpr std::size_t removed_key_interval = 8;

std::string key_name(std::size_t n)
{
    return "key-s" + std::to_string(n);
}

} // namespace

key_rotation::key_rotation(fleet& on, promise_checker& checker) : fleet_{on}, checker_{checker}
{
    auto all = fleet_.keys();
    while (keys_.size() < keys_at_a_time)
    {
        keys_.push_back(key_name(keys_.size()));
        all.push_back(keys_.back());
    }
    fleet_.write_configuration(std::move(all));
    timer_.setSingleShot(true);
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { remove_next(); });
}

void key_rotation::begin(std::function<void(const std::string&)> on_removed)
{
    on_removed_ = std::move(on_removed);
    timer_.start(first_wait);
}

std::string key_rotation::pick(std::size_t by) const
{
    if (removed_ > 0 && by % removed_key_interval == 0)
        return keys_[removed_ - 1];
    const auto in_series = removed_ % series_length;
    return keys_[removed_ + by / removed_key_interval % (series_length - in_series)];
}

void key_rotation::remove_next()
{
    const auto gone = keys_[removed_++];
    keys_.push_back(key_name(keys_.size()));
    auto all = fleet_.keys();
    std::erase(all, gone);
    all.push_back(keys_.back());
    fleet_.write_configuration(std::move(all));
    checker_.key_removed(now(), gone);
    on_removed_(gone);
    timer_.start(removed_ % series_length == 0 ? wait_between_series : wait_in_series);
}

} // namespace runlink::soak
