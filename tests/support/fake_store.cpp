#include "support/fake_store.hpp"

#include <utility>
#include <vector>

namespace runlink::tests
{

using core::errc;
using core::failure;

core::result<core::store_value> fake_store::read(const std::string& key) const
{
    const auto found = values_.find(key);
    if (found == values_.end())
        return failure{errc::store_absent, key};
    return found->second;
}

core::result<std::uint64_t> fake_store::write(const std::string& key, const std::string& data,
                                              core::store_condition condition)
{
    const auto found = values_.find(key);
    const bool holds = condition.absent
                           ? found == values_.end()
                           : found != values_.end() && found->second.revision == condition.revision;
    if (!holds)
        return failure{errc::store_conflict, key};
    put_now(key, data);
    return revision_;
}

void fake_store::put_now(const std::string& key, const std::string& data)
{
    values_[key] = {data, ++revision_};
    notify_watches(key);
}

void fake_store::notify_watches(const std::string& key)
{
    if (drop_watches)
        return;
    std::vector<waiting_watch> ready;
    std::erase_if(watches_,
                  [&](const auto& it)
                  {
                      const bool matches = it.second.key == key && values_[key].revision > it.second.after;
                      if (matches)
                          ready.push_back(it.second);
                      return matches;
                  });
    for (auto& it : ready)
        it.on_owner(latency, [handler = it.handler, value = values_[key]] { handler(value); });
}

core::store_port fake_store::port(schedule_function on_owner)
{
    core::store_port out;
    out.get = [this, on_owner](const std::string& key, core::store_read_handler handler)
    {
        ++reads;
        if (down)
            return on_owner(outage_delay, [handler, key] { handler(failure{errc::store_unavailable, key}); });
        on_owner(latency, [handler, it = read(key)] { handler(it); });
    };
    out.put = [this, on_owner](const std::string& key, const std::string& data,
                               core::store_condition condition, core::store_write_handler handler)
    {
        ++writes;
        const auto lost = [handler, key] { handler(failure{errc::store_unknown, key}); };
        if (down)
            return on_owner(outage_delay, lost);
        const auto it = write(key, data, condition);
        if (it && lose_write_replies > 0)
        {
            --lose_write_replies;
            return on_owner(outage_delay, lost);
        }
        on_owner(latency, [handler, it] { handler(it); });
    };
    out.erase = [this](const std::string& key)
    {
        ++writes;
        if (!down)
            values_.erase(key);
    };
    out.watch = [this, on_owner](const std::string& key, std::uint64_t after, core::milliseconds wait,
                                 core::store_read_handler handler)
    {
        ++reads;
        if (down)
            return on_owner(outage_delay, [handler, key] { handler(failure{errc::store_unavailable, key}); });
        if (drop_watches)
            return;
        const auto found = read(key);
        if (found && found.value().revision > after)
            return on_owner(latency, [handler, found] { handler(found); });
        const auto id = ++next_watch_;
        watches_[id] = {key, after, on_owner, handler};
        on_owner(wait,
                 [this, id, key]
                 {
                     const auto it = watches_.find(id);
                     if (it == watches_.end())
                         return;
                     const auto call = it->second.handler;
                     watches_.erase(it);
                     call(failure{errc::store_unchanged, key});
                 });
    };
    return out;
}

} // namespace runlink::tests
