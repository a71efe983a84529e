/// \file
/// A model of the platform's store on a manual clock: it can be away, forget its history, and return from a
/// copy.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "runlink/control/kv_store.hpp"

namespace runlink::tests
{

/// Answers the calls of several instances after a delay.
class store_model
{
public:
    using clock_source = std::function<core::time_point()>;

    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
    };
    using items = std::map<std::string, item>;

    struct snapshot
    {
        items all;
        std::uint64_t revision = 0;
    };

    explicit store_model(clock_source clock) : clock_{std::move(clock)} {}

    /// Returns the store's interface for one instance. `on_era` is called before each answer.
    control::kv_store port(const std::string& name, std::function<void(core::store_era)> on_era);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    snapshot take_snapshot() const { return {all_, revision_}; }
    /// Returns from a copy: what was written later is gone, and waiting watches are cut.
    void restore(const snapshot& from);
    /// Watches from the current revision or an earlier one fail.
    void forget_history() { oldest_ = revision_ + 1; }
    /// Delivers the answers that are due.
    void tick();

    const items& all() const { return all_; }
    std::uint64_t revision() const { return revision_; }
    core::store_era era() const { return era_; }
    std::size_t lists() const { return lists_; }

    /// While away, calls get no answer before they time out.
    bool is_away = false;
    std::set<std::string> turned_away; ///< instances whose calls get no answer

private:
    struct watcher
    {
        std::string name; ///< of the instance
        std::uint64_t after = 0;
        std::function<void(control::kv_result<control::kv_changes>)> to;
        std::function<void(core::store_era)> on_era;
    };

    core::store_revision at(std::uint64_t number) const { return {era_, number}; }
    control::kv_item item_of(const std::string& key) const;
    control::kv_commit_result commit(const control::kv_transaction& it);
    control::kv_changes changes_after(std::uint64_t after) const;
    void record_change(const std::string& key);
    /// Whether the watch could be answered at once.
    bool answer_watch(const watcher& it);
    /// Calls `answer` after the store's delay, or `fail` after the timeout if it is away.
    void schedule(const std::string& name, const std::function<void()>& answer,
                  const std::function<void()>& fail);
    void after(core::milliseconds delay, std::function<void()> action);

    clock_source clock_;
    items all_;
    std::vector<std::pair<std::uint64_t, std::string>> history_;
    std::vector<watcher> watchers_;
    std::multimap<core::time_point, std::function<void()>> due_;
    std::uint64_t revision_ = 1;
    std::uint64_t oldest_ = 0;
    core::store_era era_{1};
    std::size_t lists_ = 0;
};

} // namespace runlink::tests
