/// \file
/// Checkpoints of one ledger partition in the store.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "runlink/core/ledger_types.hpp"
#include "runlink/core/store_port.hpp"

namespace runlink::core
{

/// Contents of a checkpoint: the records produced by all segments with a sequence number below `next`.
struct loaded_checkpoint
{
    segment_sequence next{};
    std::vector<ledger_record> records;
};

/// Saves and loads checkpoints.
///
/// The records are written in parts under unique keys; then the header that lists the parts is replaced with
/// a compare-and-swap. A reader therefore never mixes two checkpoints. Segments are never deleted, so an
/// older checkpoint that wins a race is still correct: its reader replays more segments.
class ledger_checkpoints
{
public:
    ledger_checkpoints(std::string key, incarnation_id writer, std::size_t part_bytes, store_port store,
                       ledger_codec codec);

    bool is_saving() const { return saving_; }
    /// Saves a checkpoint in the background. A failure leaves the previous checkpoint in place.
    void save(segment_sequence next, const std::vector<ledger_record>& records);
    /// Loads the newest checkpoint, or an empty one if there is none.
    void load(std::function<void(result<loaded_checkpoint>)> handler);

private:
    struct save_task
    {
        checkpoint_header header;
        std::vector<std::string> parts;
    };
    struct load_task
    {
        checkpoint_header header;
        loaded_checkpoint loaded;
        std::size_t next_part = 0;
        std::function<void(result<loaded_checkpoint>)> handler;
    };

    void write_part(const std::shared_ptr<save_task>& task, std::size_t n);
    /// Replaces the stored header unless it belongs to a checkpoint that is as new.
    void swap_header(const std::shared_ptr<save_task>& task);
    /// Deletes the parts written so far.
    void abandon(const save_task& task);
    void load_part(const std::shared_ptr<load_task>& task);

    std::string key_;
    incarnation_id writer_;
    std::size_t part_bytes_;
    store_port store_;
    ledger_codec codec_;
    bool saving_ = false;
};

} // namespace runlink::core
