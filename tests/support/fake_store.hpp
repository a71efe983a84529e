/// \file
/// In-memory key-value store for tests on a manual clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "runlink/core/store_port.hpp"

namespace runlink::tests
{

/// Runs an action after a delay, unless its owner has been killed by then.
using schedule_function = std::function<void(core::duration, std::function<void()>)>;

/// Key-value store with revisions that simulates the failures of the platform's store.
class fake_store
{
public:
    core::duration latency = core::milliseconds{2};
    core::duration outage_delay = core::milliseconds{50}; ///< time until a failed call reports its error
    bool down = false;
    int lose_write_replies = 0; ///< number of writes that take effect without a reply
    bool drop_watches = false;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;

    /// Store access for one owner. Calls made before the owner is killed still take effect.
    core::store_port port(schedule_function on_owner);
    const std::map<std::string, core::store_value>& values() const { return values_; }
    void put_now(const std::string& key, const std::string& data);

private:
    struct waiting_watch
    {
        std::string key;
        std::uint64_t after = 0;
        schedule_function on_owner;
        core::store_read_handler handler;
    };

    core::result<core::store_value> read(const std::string& key) const;
    core::result<std::uint64_t> write(const std::string& key, const std::string& data,
                                      core::store_condition condition);
    void notify_watches(const std::string& key);

    std::map<std::string, core::store_value> values_;
    std::map<std::uint64_t, waiting_watch> watches_;
    std::uint64_t revision_ = 0;
    std::uint64_t next_watch_ = 0;
};

} // namespace runlink::tests
