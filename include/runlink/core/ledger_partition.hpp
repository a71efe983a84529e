/// \file
/// One partition of the ledger, served by its owner.
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

/// Limits and delays of a partition.
struct ledger_options
{
    std::size_t segment_bytes = 512 * 1024; ///< target size of a segment and of one part of a checkpoint
    std::uint64_t checkpoint_every = 64;    ///< segments between two checkpoints
    /// After a commit, replies are served from memory for this long without reading the store.
    milliseconds verified_lifetime{1000};
    milliseconds retry_delay{200};                          ///< after a failed store call
    std::uint64_t keyed_retention_ms = 24ULL * 3600 * 1000; ///< how long the record of a key is kept
    std::uint64_t unkeyed_retention_ms = 600ULL * 1000;     ///< how long a repeated settlement is recognised
};

/// Dependencies of a partition.
struct ledger_hooks
{
    store_port store;
    ledger_codec codec;
    std::function<wall_time()> wall_clock;
    /// Whether the process that holds a claim is still running.
    std::function<bool(const incarnation_id&)> is_alive;
    std::function<batch_id()> next_batch;
    /// Takes one write from the write budget shared by all partitions of this instance. Returns false if the
    /// budget is used up.
    std::function<bool(time_point)> may_write;
};

/// A log of segments in the store with a single writer at a time.
///
/// The owner appends segment `n` with a create-if-absent write, which fences former owners: an owner that was
/// paused while another instance took over fails to create its next segment, reads the other owner's segment
/// instead and steps down. Correctness depends on no lease. If the reply to a write is lost, the partition
/// reads the segment back and compares batch ids to find out whether the write succeeded. Operations are
/// answered only after they are committed.
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

    /// Takes over the partition: reads the checkpoint and all later segments, then fences the former owner.
    void acquire(time_point now);
    /// Gives up the partition. Operations that are not committed yet are answered `not_owner`.
    void resign();
    /// Submits an operation (`claim`, `settle` or `release`). Submitting it again for the same request has no
    /// further effect.
    void submit(time_point now, ledger_entry entry, ledger_reply_handler handler);
    /// Runs due retries and the writes that wait for the write budget.
    void tick(time_point now);

    state current_state() const { return state_; }
    bool has_pending() const { return !pending_.empty() || in_flight_.has_value(); }
    const ledger_record* find(const bill_id& bill) const;
    std::size_t record_count() const { return records_.size(); }
    std::uint64_t write_count() const { return writes_; }

private:
    /// An operation that is applied in memory and not committed yet.
    struct pending_operation
    {
        ledger_entry entry;
        ledger_reply reply; ///< sent after the commit
        ledger_reply_handler handler;
        std::optional<ledger_record> replaced; ///< the record that the entry replaced
    };
    /// A segment that is being written, and the operations in it.
    struct batch
    {
        ledger_segment segment;
        std::string bytes;
        std::vector<pending_operation> waiters;
    };

    std::string key_of(segment_sequence sequence) const;

    void submit_claim(time_point now, ledger_entry entry, ledger_reply_handler handler);
    void submit_settle(time_point now, ledger_entry entry, ledger_reply_handler handler);
    void submit_release(time_point now, ledger_entry entry, ledger_reply_handler handler);
    void answer_claim_on_held_key(time_point now, const ledger_record& held, ledger_entry entry,
                                  ledger_reply_handler handler);
    void append(time_point now, ledger_entry entry, ledger_reply reply, ledger_reply_handler handler);
    /// Replies from memory if no other owner has written a segment; otherwise recovers from the store and
    /// replies `not_owner`.
    void answer_when_verified(time_point now, ledger_reply reply, ledger_reply_handler handler);
    /// Replies once the pending operations on the bill are committed; at once if there are none.
    void answer_when_committed(const bill_id& bill, ledger_reply reply, ledger_reply_handler handler);

    /// Writes the next segment unless a write is in flight or due for a retry.
    void write_pending(time_point now);
    batch take_batch();
    void write();
    void on_written(const result<std::uint64_t>& it);
    void read_back();
    void on_read_back(const result<store_value>& it);
    void committed();
    void step_down();
    /// Steps down and recovers the records from the store.
    void restart();

    void read_checkpoint();
    void read_next();
    void on_segment(const result<store_value>& it);
    void open();
    void on_opened(const result<std::uint64_t>& it);
    void apply(const ledger_entry& entry);
    void maybe_checkpoint();
    /// The records without the effect of uncommitted operations.
    std::vector<ledger_record> committed_records() const;
    /// Erases the records that are older than their retention time.
    void erase_expired();
    void retry_later(std::function<void()> action);

    /// Wraps a handler so that it ignores replies to store calls from before the last step-down.
    template <class T>
    std::function<void(result<T>)> in_epoch(std::function<void(const result<T>&)> handler)
    {
        return [this, epoch = epoch_, handler = std::move(handler)](const result<T>& it)
        {
            if (epoch == epoch_)
                handler(it);
        };
    }

    partition_id id_;
    incarnation_id self_;
    ledger_options options_;
    ledger_hooks hooks_;

    state state_ = state::idle;
    std::uint64_t epoch_ = 0; ///< incremented at each step-down
    time_point now_{};
    time_point verified_at_{}; ///< when the store last confirmed this owner
    segment_sequence next_{};  ///< of the next segment to read or write
    std::uint64_t since_checkpoint_ = 0;
    std::map<bill_id, ledger_record> records_;
    std::deque<pending_operation> pending_;
    std::optional<batch> in_flight_;
    std::optional<batch> open_batch_; ///< the `open` segment that fences the former owner
    ledger_checkpoints checkpoints_;
    std::function<void()> retry_;
    time_point retry_at_{};
    std::uint64_t writes_ = 0;
};

} // namespace runlink::core
