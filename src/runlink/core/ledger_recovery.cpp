// Takeover of a partition: reads the checkpoint and the segments, then fences the former owner.

#include "runlink/core/ledger_partition.hpp"

#include <utility>

namespace runlink::core
{
void ledger_partition::read_checkpoint()
{
    checkpoints_.load(in_epoch<loaded_checkpoint>(
        [this](const result<loaded_checkpoint>& it)
        {
            if (!it)
                return retry_later([this] { read_checkpoint(); });
            next_ = it.value().next;
            for (const auto& e : it.value().records)
                records_[e.entry.bill] = e;
            read_next();
        }));
}

void ledger_partition::read_next()
{
    hooks_.store.get(key_of(next_), in_epoch<store_value>([this](const auto& it) { on_segment(it); }));
}

void ledger_partition::on_segment(const result<store_value>& it)
{
    if (!it && it.error().code == errc::store_absent)
        return open();
    if (!it)
        return retry_later([this] { read_next(); });
    const auto found = hooks_.codec.decode_segment(it.value().data);
    if (open_batch_ && found && found.value().batch == open_batch_->segment.batch)
    {
        next_ = next_of(next_);
        open_batch_.reset();
        state_ = state::serving;
        return;
    }
    open_batch_.reset();
    if (found)
        for (const auto& e : found.value().entries)
            apply(e);
    next_ = next_of(next_);
    read_next();
}

void ledger_partition::open()
{
    batch it;
    it.segment.partition = id_;
    it.segment.sequence = next_;
    it.segment.owner = self_;
    it.segment.batch = open_batch_ ? open_batch_->segment.batch : hooks_.next_batch();
    ledger_entry mark;
    mark.kind = entry_kind::open;
    mark.holder = self_;
    mark.at = hooks_.wall_clock();
    it.segment.entries.push_back(std::move(mark));
    it.bytes = hooks_.codec.encode_segment(it.segment);
    open_batch_ = std::move(it);
    ++writes_;
    hooks_.store.put(key_of(next_), open_batch_->bytes, store_condition::create(),
                     in_epoch<std::uint64_t>([this](const auto& r) { on_opened(r); }));
}

void ledger_partition::on_opened(const result<std::uint64_t>& it)
{
    if (!it)
        return it.error().code == errc::store_conflict ? read_next() : retry_later([this] { read_next(); });
    next_ = next_of(next_);
    open_batch_.reset();
    state_ = state::serving;
}

} // namespace runlink::core
