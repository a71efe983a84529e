/// \file
/// Large values of the store, handed on between instances in parts. Otherwise each instance would read them
/// from the store, whose link then limits how soon all of them have a change.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "runlink/control/kv_store.hpp"
#include "runlink/core/ids.hpp"

namespace runlink::control
{

using core::duration;
using core::instance_id;
using core::milliseconds;
using core::time_point;

/// Asks for parts of the value of a key, compressed.
struct part_request
{
    instance_id sender;
    std::string key;
    std::vector<std::uint32_t> parts; ///< indices; those beyond the last part are ignored
};

/// One part of the compressed value of a key.
struct value_part
{
    instance_id sender;
    std::string key;
    core::store_revision revision; ///< of the value
    std::uint32_t index = 0;
    std::uint32_t count = 0; ///< number of parts; 0: the sender does not have the value
    std::string bytes;
    /// No part: the sender has a queue, and sends the parts later.
    bool is_queued = false;
};

/// Parameters of the sender of parts.
struct part_source_options
{
    /// Well below the largest datagram, and sent within 70 ms on a link of 2 Mbit/s.
    std::size_t part_bytes = 16 * 1024;
    /// Part of the own link that parts may use. A full link loses datagrams.
    double link_share = 0.8;
    /// With a longer wait, requests are answered as if the value were missing: reading it from the store is
    /// then quicker.
    milliseconds max_wait{700};
    /// A receiver whose parts wait for longer than this is told so.
    milliseconds told_wait{100};
    std::uint32_t link_mbps = 0; ///< of this instance; 0: unknown, parts are sent at once
};

/// What the sender of parts uses.
struct part_source_hooks
{
    /// The item of a key, or null.
    std::function<const kv_item*(const std::string& key)> find;
    std::function<std::string(const std::string&)> compress;
    std::function<void(const instance_id& to, const value_part&)> send;
};

/// Sends parts at a rate that leaves room on the link. A part that is asked for again while it waits is sent
/// once.
class part_source
{
public:
    part_source(part_source_options options, instance_id self, part_source_hooks hooks);
    part_source(const part_source&) = delete;
    part_source& operator=(const part_source&) = delete;

    void on_request(time_point now, const part_request& it);
    void tick(time_point now);
    std::optional<time_point> next_due() const;

private:
    struct compressed_value
    {
        core::store_revision revision;
        std::string bytes;
    };
    struct waiting_part
    {
        instance_id to;
        std::string key;
        std::uint32_t index = 0;

        friend bool operator==(const waiting_part&, const waiting_part&) = default;
    };

    /// The compressed value of the key; null without one.
    const compressed_value* value(const std::string& key);
    /// Tells the receiver that it gets the value elsewhere.
    void send_missing(const instance_id& to, const std::string& key);
    void send(time_point now, const waiting_part& it);
    /// Time until all parts that wait are sent.
    duration wait(time_point now) const;
    /// Time that the link takes to send this many bytes.
    duration time_to_send(std::size_t bytes) const;

    part_source_options options_;
    instance_id self_;
    part_source_hooks hooks_;
    std::map<std::string, compressed_value> values_;
    std::deque<waiting_part> waiting_;
    time_point free_at_{}; ///< when the link has room for the next part
};

} // namespace runlink::control
