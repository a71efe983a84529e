#include "support/store_model.hpp"

#include <utility>

namespace runlink::tests
{
namespace
{

using control::kv_error;
using core::milliseconds;

constexpr milliseconds answer_delay{4};
constexpr milliseconds call_timeout{900};

} // namespace

control::kv_store store_model::port(const std::string& name, std::function<void(core::store_era)> on_era)
{
    control::kv_store out;
    out.list = [this, name, on_era](const std::string&, const auto& to)
    {
        schedule(
            name,
            [this, on_era, to]
            {
                ++lists_;
                control::kv_page page;
                for (const auto& [key, it] : all_)
                    page.items.push_back(item_of(key));
                page.store_revision = at(revision_);
                after(answer_delay,
                      [on_era, to, page, era = era_]
                      {
                          on_era(era);
                          to(page);
                      });
            },
            [to] { to(kv_error::unavailable); });
    };
    out.watch = [this, name, on_era](std::uint64_t after_revision, milliseconds, const auto& to)
    {
        const watcher it{name, after_revision, to, on_era};
        schedule(
            name,
            [this, it]
            {
                if (!answer_watch(it))
                    watchers_.push_back(it);
            },
            [to] { to(kv_error::unavailable); });
    };
    out.commit = [this, name, on_era](const control::kv_transaction& it, const auto& to)
    {
        schedule(
            name,
            [this, on_era, it, to]
            {
                const auto result = commit(it);
                after(answer_delay,
                      [on_era, to, result, era = era_]
                      {
                          on_era(era);
                          to(result);
                      });
            },
            [to] { to(kv_error::unavailable); });
    };
    out.cancel_watch = [this, name]
    { std::erase_if(watchers_, [&](const auto& it) { return it.name == name; }); };
    return out;
}

void store_model::schedule(const std::string& name, const std::function<void()>& answer,
                           const std::function<void()>& fail)
{
    after(answer_delay,
          [this, name, answer, fail]
          {
              if (is_away || turned_away.contains(name))
                  return after(call_timeout, fail);
              answer();
          });
}

void store_model::after(milliseconds delay, std::function<void()> action)
{
    due_.emplace(clock_() + delay, std::move(action));
}

void store_model::tick()
{
    while (!due_.empty() && due_.begin()->first <= clock_())
    {
        const auto action = std::move(due_.begin()->second);
        due_.erase(due_.begin());
        action();
    }
}

void store_model::put(const std::string& key, const std::string& value)
{
    all_[key] = {value, ++revision_};
    record_change(key);
}

void store_model::remove(const std::string& key)
{
    if (all_.erase(key) == 0)
        return;
    ++revision_;
    record_change(key);
}

void store_model::restore(const snapshot& from)
{
    all_ = from.all;
    revision_ = from.revision;
    era_ = core::store_era{era_.value() + 1};
    std::erase_if(history_, [&](const auto& it) { return it.first > revision_; });
    for (const auto& it : std::exchange(watchers_, {}))
        after(answer_delay, [to = it.to] { to(kv_error::unavailable); });
}

control::kv_item store_model::item_of(const std::string& key) const
{
    const auto found = all_.find(key);
    if (found == all_.end())
        return {key, {}, at(0)};
    return {key, found->second.value, at(found->second.revision)};
}

control::kv_commit_result store_model::commit(const control::kv_transaction& it)
{
    control::kv_conflict conflict;
    for (const auto& condition : it.conditions)
        if (item_of(condition.key).revision.number != condition.revision)
            conflict.items.push_back(item_of(condition.key));
    if (!conflict.items.empty())
        return conflict;
    for (const auto& e : it.writes)
        put(e.key, e.value);
    for (const auto& e : it.removals)
        remove(e);
    return control::kv_committed{at(revision_)};
}

control::kv_changes store_model::changes_after(std::uint64_t after_revision) const
{
    control::kv_changes out;
    out.store_revision = at(revision_);
    for (const auto& [revision, key] : history_)
        if (revision > after_revision)
        {
            auto it = item_of(key);
            const bool is_deleted = !all_.contains(key);
            if (is_deleted)
                it.revision = at(revision);
            out.events.push_back({it, is_deleted});
        }
    return out;
}

void store_model::record_change(const std::string& key)
{
    history_.emplace_back(revision_, key);
    for (const auto& it : std::exchange(watchers_, {}))
        answer_watch(it);
}

bool store_model::answer_watch(const watcher& it)
{
    control::kv_result<control::kv_changes> result = kv_error::history_gone;
    if (it.after >= oldest_ && it.after <= revision_)
    {
        auto changes = changes_after(it.after);
        if (changes.events.empty())
            return false;
        result = std::move(changes);
    }
    after(answer_delay,
          [it, result, era = era_]
          {
              it.on_era(era);
              it.to(result);
          });
    return true;
}

} // namespace runlink::tests
