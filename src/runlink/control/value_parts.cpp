#include "runlink/control/value_parts.hpp"

#include <algorithm>
#include <utility>

namespace runlink::control
{

part_source::part_source(part_source_options options, instance_id self, part_source_hooks hooks)
    : options_{options}, self_{std::move(self)}, hooks_{std::move(hooks)}
{
}

const part_source::compressed_value* part_source::value(const std::string& key)
{
    const auto* item = hooks_.find(key);
    if (item == nullptr)
        return nullptr;
    auto& out = values_[key];
    if (out.revision != item->revision)
        out = {item->revision, hooks_.compress(item->value)};
    return &out;
}

duration part_source::time_to_send(std::size_t bytes) const
{
    if (options_.link_mbps == 0)
        return {};
    constexpr double bits_per_byte = 8;
    // Bits divided by megabits per second are microseconds.
    return duration{static_cast<duration::rep>(static_cast<double>(bytes) * bits_per_byte /
                                               (options_.link_mbps * options_.link_share))};
}

duration part_source::wait(time_point now) const
{
    return std::max(free_at_ - now, duration{}) +
           time_to_send(options_.part_bytes) * static_cast<duration::rep>(waiting_.size());
}

void part_source::send_missing(const instance_id& to, const std::string& key)
{
    value_part out;
    out.sender = self_;
    out.key = key;
    hooks_.send(to, out);
}

void part_source::on_request(time_point now, const part_request& it)
{
    if (value(it.key) == nullptr || wait(now) > options_.max_wait)
        return send_missing(it.sender, it.key);
    for (const auto index : it.parts)
    {
        waiting_part part{it.sender, it.key, index};
        if (std::find(waiting_.begin(), waiting_.end(), part) == waiting_.end())
            waiting_.push_back(std::move(part));
    }
    if (wait(now) > options_.told_wait)
    {
        value_part out;
        out.sender = self_;
        out.key = it.key;
        out.is_queued = true;
        hooks_.send(it.sender, out);
    }
    tick(now);
}

void part_source::tick(time_point now)
{
    while (!waiting_.empty() && now >= free_at_)
    {
        const auto next = std::move(waiting_.front());
        waiting_.pop_front();
        send(now, next);
    }
}

void part_source::send(time_point now, const waiting_part& it)
{
    const auto* all = value(it.key);
    if (all == nullptr)
        return send_missing(it.to, it.key);
    const auto count =
        std::max<std::size_t>((all->bytes.size() + options_.part_bytes - 1) / options_.part_bytes, 1);
    if (it.index >= count)
        return;
    value_part out;
    out.sender = self_;
    out.key = it.key;
    out.revision = all->revision;
    out.index = it.index;
    out.count = static_cast<std::uint32_t>(count);
    out.bytes = all->bytes.substr(it.index * options_.part_bytes, options_.part_bytes);
    free_at_ = std::max(free_at_, now) + time_to_send(out.bytes.size());
    hooks_.send(it.to, out);
}

std::optional<time_point> part_source::next_due() const
{
    return waiting_.empty() ? std::nullopt : std::optional{free_at_};
}

} // namespace runlink::control
