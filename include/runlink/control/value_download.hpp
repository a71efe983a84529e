/// \file
/// Receives a large value of the store from another instance, in parts.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/control/value_parts.hpp"

namespace runlink::control
{

/// Parameters of the receiver of parts.
struct download_options
{
    std::uint32_t window = 4; ///< parts that are asked for at once
    /// After this time without a part, those that are due are asked for again.
    milliseconds part_timeout{250};
    std::uint32_t max_timeouts = 2; ///< in a row, after which the next instance is asked
    /// Longest time without a part at an instance that has a queue. Reading the store is then quicker.
    milliseconds queue_timeout{1000};
    /// Number of parts beyond which an announcement is not believed.
    std::uint32_t max_parts = 1024;
};

/// A value that is to be received.
struct wanted_value
{
    std::string key;
    core::store_revision revision; ///< or a later one
};

/// A value that has been received, compressed.
struct received_value
{
    std::string key;
    core::store_revision revision;
    std::string bytes;
    duration elapsed{};
};

/// Actions of the receiver.
struct download_hooks
{
    std::function<void(const instance_id& to, const part_request&)> ask;
    std::function<void(time_point, const received_value&)> done;
    /// None of the instances has sent the value. It is to be read from the store.
    std::function<void(time_point, const wanted_value&, std::string_view why)> failed;
};

/// Receives one value at a time. Parts that have arrived are kept when another instance is asked.
class value_download
{
public:
    value_download(download_options options, instance_id self, download_hooks hooks);
    value_download(const value_download&) = delete;
    value_download& operator=(const value_download&) = delete;

    /// Begins to receive a value from the first of these instances that has it. A download of an earlier
    /// revision becomes one of this revision.
    void start(time_point now, const wanted_value& it, std::vector<instance_id> sources);
    /// A part, or the notice that the sender has none.
    void on_part(time_point now, const value_part& it);
    /// The value is no longer wanted.
    void cancel() { wanted_.reset(); }
    bool is_active() const { return wanted_.has_value(); }
    void tick(time_point now);
    std::optional<time_point> next_due() const { return wanted_ ? due_ : std::nullopt; }

private:
    /// Asks the instance at `source_` for the first time.
    void ask_source(time_point now);
    /// Gives the present instance up; after the last one, the download has failed.
    void ask_next_source(time_point now, std::string_view why);
    /// Asks for the parts that are due, and as many more as the window has room for.
    void ask(time_point now);
    void request(time_point now, const std::vector<std::uint32_t>& parts);
    /// Adds missing parts to those that are due until the window is full.
    void fill_window();
    void take(time_point now, const value_part& it);
    void finish(time_point now);

    download_options options_;
    instance_id self_;
    download_hooks hooks_;
    std::optional<wanted_value> wanted_;
    std::vector<instance_id> sources_;
    std::size_t source_ = 0;
    time_point started_{};
    core::store_revision revision_; ///< of the parts
    std::uint32_t count_ = 0;       ///< number of parts; 0: not known yet
    std::map<std::uint32_t, std::string> parts_;
    std::set<std::uint32_t> pending_; ///< asked for and not yet received
    std::uint32_t timeouts_ = 0;
    bool is_queued_ = false;    ///< the instance that is asked has a queue
    time_point last_part_at_{}; ///< or when the instance was first asked
    std::optional<time_point> due_;
};

} // namespace runlink::control
