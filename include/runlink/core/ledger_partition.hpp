/// \file
/// One partition of the ledger, as its owner serves it.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "runlink/core/ledger_checkpoints.hpp"
#include "runlink/core/ledger_types.hpp"
#include "runlink/core/store_port.hpp"

namespace runlink::core
{

/// Bounds of a partition.
struct ledger_options
{
    std::size_t segment_bytes = 512 * 1024; ///< also of one part of a checkpoint
    std::uint64_t checkpoint_every = 64;    ///< segments
    milliseconds verified_for{1000};        ///< after a commit, how long memory is trusted without a read
    milliseconds retry_delay{200};          ///< after a failed call on the store
    std::uint64_t keyed_horizon_ms = 24ULL * 3600 * 1000; ///< how long a key is remembered
    std::uint64_t unkeyed_horizon_ms = 600ULL * 1000;     ///< how long a repeated settlement is recognised
};

/// What a partition asks of its surroundings.
struct ledger_hooks
{
    store_port store;
    ledger_codec codec;
    std::function<wall_time()> wall_clock;
    std::function<bool(const incarnation_id&)> is_alive;
    std::function<batch_id()> next_batch;
    /// Takes one write from the budget that the partitions of this instance share.
    std::function<bool(time_point)> may_write;
};

/// A log of segments in the store with a single writer at a time.
///
/// The owner appends segment `n` with create-if-absent. That create is the fence: an owner that was
/// paused while another took over loses the race for its next sequence number, reads the foreign
/// segment and steps down. No lease is trusted. A write whose reply is lost is settled by reading
/// the segment back and comparing its batch id. Operations are answered only after their commit.
class ledger_partition
{
public:
    enum class state
    {
        idle,
        recovering,
        serving,
    };

    ledger_partition(partition_id id, incarnation_id self, ledger_options options, ledger_hooks hooks);
    ledger_partition(const ledger_partition&) = delete;
    ledger_partition& operator=(const ledger_partition&) = delete;

    /// Takes the partition: reads its segments, then fences the former owner.
    void acquire(time_point now);
    /// Gives the partition up; operations not yet committed are answered `not_owner`.
    void resign();
    /// Submits an operation (`claim`, `settle` or `release`). It is idempotent by request.
    void submit(time_point now, ledger_entry entry, ledger_reply_handler handler);
    /// Drives retries and writes that wait for the write budget.
    void tick(time_point now);

    state current_state() const { return state_; }
    bool has_pending() const { return !pending_.empty() || in_flight_.has_value(); }
    const ledger_record* find(const bill_id& bill) const;
    std::size_t record_count() const { return records_.size(); }
    std::uint64_t write_count() const { return writes_; }

private:
    struct waiting
    {
        ledger_entry entry;
        ledger_reply reply;
        ledger_reply_handler handler;
        std::optional<ledger_record> before; ///< the record that the entry replaced
    };
    struct batch
    {
        ledger_segment segment;
        std::string bytes;
        std::vector<waiting> waiters;
    };

    std::string key_of(segment_sequence sequence) const;

    void submit_claim(time_point now, ledger_entry entry, ledger_reply_handler handler);
    void submit_settle(time_point now, ledger_entry entry, ledger_reply_handler handler);
    void submit_release(time_point now, ledger_entry entry, ledger_reply_handler handler);
    void answer_claim_on_held_key(time_point now, const ledger_record& held, ledger_entry entry,
                                  ledger_reply_handler handler);
    void append(time_point now, ledger_entry entry, ledger_reply reply, ledger_reply_handler handler);
    /// Answers from memory if no other owner has written; otherwise steps down and answers `not_owner`.
    void answer_when_verified(time_point now, ledger_reply reply, ledger_reply_handler handler);
    void answer_when_committed(const bill_id& bill, ledger_reply reply, ledger_reply_handler handler);

    void pump(time_point now);
    batch take_batch();
    void write();
    void on_written(const result<std::uint64_t>& it);
    void read_back();
    void on_read_back(const result<store_value>& it);
    void committed();
    void step_down();
    /// Steps down and recovers from the store.
    void restart();

    void read_checkpoint();
    void read_next();
    void on_segment(const result<store_value>& it);
    void open();
    void on_opened(const result<std::uint64_t>& it);
    void apply(const ledger_entry& entry);
    void maybe_checkpoint();
    std::vector<ledger_record> committed_records() const;
    void forget_old();
    void retry_later(std::function<void()> action);

    /// Wraps a handler so that replies to an earlier tenure are dropped.
    template <class T>
    std::function<void(result<T>)> in_tenure(std::function<void(const result<T>&)> handler)
    {
        return [this, tenure = tenure_, handler = std::move(handler)](const result<T>& it)
        {
            if (tenure == tenure_)
                handler(it);
        };
    }

    partition_id id_;
    incarnation_id self_;
    ledger_options options_;
    ledger_hooks hooks_;

    state state_ = state::idle;
    std::uint64_t tenure_ = 0;
    time_point now_{};
    time_point verified_{};
    segment_sequence next_{};
    std::uint64_t since_checkpoint_ = 0;
    std::map<bill_id, ledger_record> records_;
    std::deque<waiting> pending_;
    std::optional<batch> in_flight_;
    std::optional<batch> opening_;
    ledger_checkpoints checkpoints_;
    std::function<void()> retry_;
    time_point retry_at_{};
    std::uint64_t writes_ = 0;
};

} // namespace runlink::core
