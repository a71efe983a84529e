#include "runlink/core/ledger_partition.hpp"

#include <utility>

namespace runlink::core
{
namespace
{

/// Estimated size of a serialised entry without its answer and ids.
constexpr std::size_t entry_overhead_bytes = 128;

std::size_t size_estimate(const ledger_entry& it)
{
    return entry_overhead_bytes + it.answer.body.size() + it.bill.str().size() + it.request.str().size();
}

std::string padded(std::uint64_t n)
{
    constexpr std::size_t digits = 12;
    auto text = std::to_string(n);
    return std::string(digits > text.size() ? digits - text.size() : 0, '0') + text;
}

record_state state_after(entry_kind kind)
{
    switch (kind)
    {
    case entry_kind::settle: return record_state::settled;
    case entry_kind::mark_unknown: return record_state::unknown;
    default: return record_state::claimed;
    }
}

} // namespace

std::string_view to_string(ledger_status it)
{
    switch (it)
    {
    case ledger_status::granted: return "granted";
    case ledger_status::in_progress: return "in_progress";
    case ledger_status::settled: return "settled";
    case ledger_status::unknown: return "unknown";
    case ledger_status::key_reused: return "key_reused";
    case ledger_status::committed: return "committed";
    case ledger_status::duplicate: return "duplicate";
    case ledger_status::not_owner: return "not_owner";
    }
    return "not_owner";
}

ledger_partition::ledger_partition(partition_id id, incarnation_id self, ledger_options options,
                                   ledger_hooks hooks)
    : id_{id}, self_{std::move(self)}, options_{options}, hooks_{std::move(hooks)},
      checkpoints_{"ledger/" + std::to_string(id.value()) + "/checkpoint", self_, options.segment_bytes,
                   hooks_.store, hooks_.codec}
{
}

std::string ledger_partition::key_of(segment_sequence sequence) const
{
    return "ledger/" + std::to_string(id_.value()) + "/" + padded(sequence.value());
}

void ledger_partition::acquire(time_point now)
{
    if (state_ != state::idle)
        return;
    now_ = now;
    state_ = state::recovering;
    read_checkpoint();
}

void ledger_partition::resign()
{
    if (state_ == state::idle)
        return;
    step_down();
    state_ = state::idle;
    retry_ = nullptr;
}

const ledger_record* ledger_partition::find(const bill_id& bill) const
{
    const auto it = records_.find(bill);
    return it == records_.end() ? nullptr : &it->second;
}

void ledger_partition::submit(time_point now, ledger_entry entry, ledger_reply_handler handler)
{
    now_ = now;
    if (state_ != state::serving)
        return handler({ledger_status::not_owner, {}});
    entry.at = hooks_.wall_clock();
    switch (entry.kind)
    {
    case entry_kind::claim: return submit_claim(now, std::move(entry), std::move(handler));
    case entry_kind::settle: return submit_settle(now, std::move(entry), std::move(handler));
    case entry_kind::release: return submit_release(now, std::move(entry), std::move(handler));
    default: return handler({ledger_status::not_owner, {}});
    }
}

void ledger_partition::submit_claim(time_point now, ledger_entry entry, ledger_reply_handler handler)
{
    const auto* held = find(entry.bill);
    if (held == nullptr)
        return append(now, std::move(entry), {ledger_status::granted, {}}, std::move(handler));
    answer_claim_on_held_key(now, *held, std::move(entry), std::move(handler));
}

void ledger_partition::answer_claim_on_held_key(time_point now, const ledger_record& held, ledger_entry entry,
                                                ledger_reply_handler handler)
{
    const auto bill = entry.bill;
    if (held.entry.fingerprint != entry.fingerprint)
        return answer_when_verified(now, {ledger_status::key_reused, {}}, std::move(handler));
    if (held.state == record_state::settled)
        return answer_when_committed(bill, {ledger_status::settled, held.entry}, std::move(handler));
    if (held.state == record_state::unknown)
        return answer_when_committed(bill, {ledger_status::unknown, {}}, std::move(handler));
    if (held.entry.request == entry.request)
        return answer_when_committed(bill, {ledger_status::granted, {}}, std::move(handler));
    if (hooks_.is_alive(held.entry.holder))
        return answer_when_verified(now, {ledger_status::in_progress, {}}, std::move(handler));
    if (held.entry.repeatable)
        return append(now, std::move(entry), {ledger_status::granted, {}}, std::move(handler));
    auto lost = held.entry;
    lost.kind = entry_kind::mark_unknown;
    lost.at = entry.at;
    append(now, std::move(lost), {ledger_status::unknown, {}}, std::move(handler));
}

void ledger_partition::submit_settle(time_point now, ledger_entry entry, ledger_reply_handler handler)
{
    const auto* held = find(entry.bill);
    const bool settled = held != nullptr && held->state == record_state::settled;
    if (!settled)
        return append(now, std::move(entry), {ledger_status::committed, {}}, std::move(handler));
    const auto status =
        held->entry.request == entry.request ? ledger_status::committed : ledger_status::duplicate;
    const auto bill = entry.bill;
    answer_when_committed(bill, {status, {}}, std::move(handler));
}

void ledger_partition::submit_release(time_point now, ledger_entry entry, ledger_reply_handler handler)
{
    const auto* held = find(entry.bill);
    const bool holds =
        held != nullptr && held->state == record_state::claimed && held->entry.request == entry.request;
    if (!holds)
        return handler({ledger_status::committed, {}});
    append(now, std::move(entry), {ledger_status::committed, {}}, std::move(handler));
}

void ledger_partition::append(time_point now, ledger_entry entry, ledger_reply reply,
                              ledger_reply_handler handler)
{
    const auto* held = find(entry.bill);
    auto replaced = held == nullptr ? std::nullopt : std::optional{*held};
    apply(entry);
    pending_.push_back({std::move(entry), std::move(reply), std::move(handler), std::move(replaced)});
    write_pending(now);
}

void ledger_partition::answer_when_committed(const bill_id& bill, ledger_reply reply,
                                             ledger_reply_handler handler)
{
    const auto wait_in = [&](auto& waiters)
    {
        for (auto& it : waiters)
        {
            if (it.entry.bill != bill)
                continue;
            auto first = std::move(it.handler);
            it.handler = [first = std::move(first), reply, handler](const ledger_reply& r)
            {
                first(r);
                handler(r.status == ledger_status::not_owner ? r : reply);
            };
            return true;
        }
        return false;
    };
    if (wait_in(pending_))
        return;
    if (in_flight_ && wait_in(in_flight_->waiters))
        return;
    handler(reply);
}

void ledger_partition::answer_when_verified(time_point now, ledger_reply reply, ledger_reply_handler handler)
{
    // A write in flight detects another owner by itself.
    if (in_flight_ || now - verified_at_ <= options_.verified_lifetime)
        return handler(reply);
    const auto on_found = [this, epoch = epoch_, reply = std::move(reply),
                           handler = std::move(handler)](const result<store_value>& it)
    {
        const bool superseded = it && epoch == epoch_ && !in_flight_;
        if (superseded)
            restart();
        else if (!it && it.error().code == errc::store_absent)
            verified_at_ = now_;
        handler(superseded ? ledger_reply{ledger_status::not_owner, {}} : reply);
    };
    hooks_.store.get(key_of(next_), on_found);
}

void ledger_partition::restart()
{
    step_down();
    state_ = state::recovering;
    read_checkpoint();
}

void ledger_partition::tick(time_point now)
{
    now_ = now;
    if (retry_ && now >= retry_at_)
        std::exchange(retry_, nullptr)();
    write_pending(now);
}

void ledger_partition::write_pending(time_point now)
{
    if (state_ != state::serving || in_flight_ || pending_.empty() || retry_)
        return;
    if (!hooks_.may_write(now))
        return;
    in_flight_ = take_batch();
    write();
}

ledger_partition::batch ledger_partition::take_batch()
{
    batch out;
    std::size_t bytes = 0;
    while (!pending_.empty() && (bytes == 0 || bytes < options_.segment_bytes))
    {
        bytes += size_estimate(pending_.front().entry);
        out.segment.entries.push_back(pending_.front().entry);
        out.waiters.push_back(std::move(pending_.front()));
        pending_.pop_front();
    }
    out.segment.partition = id_;
    out.segment.sequence = next_;
    out.segment.owner = self_;
    out.segment.batch = hooks_.next_batch();
    out.bytes = hooks_.codec.encode_segment(out.segment);
    return out;
}

void ledger_partition::write()
{
    ++writes_;
    hooks_.store.put(key_of(next_), in_flight_->bytes, store_condition::create(),
                     in_epoch<std::uint64_t>([this](const auto& it) { on_written(it); }));
}

void ledger_partition::on_written(const result<std::uint64_t>& it)
{
    if (it)
        return committed();
    read_back();
}

void ledger_partition::read_back()
{
    hooks_.store.get(key_of(next_), in_epoch<store_value>([this](const auto& it) { on_read_back(it); }));
}

void ledger_partition::on_read_back(const result<store_value>& it)
{
    if (!it && it.error().code == errc::store_absent)
        return retry_later([this] { write(); });
    if (!it)
        return retry_later([this] { read_back(); });
    const auto found = hooks_.codec.decode_segment(it.value().data);
    if (found && found.value().batch == in_flight_->segment.batch)
        return committed();
    restart();
}

void ledger_partition::committed()
{
    auto done = std::move(*in_flight_);
    in_flight_.reset();
    verified_at_ = now_;
    next_ = next_of(next_);
    for (auto& it : done.waiters)
        it.handler(it.reply);
    maybe_checkpoint();
    write_pending(now_);
}

void ledger_partition::step_down()
{
    ++epoch_;
    state_ = state::idle;
    std::vector<pending_operation> failed;
    if (in_flight_)
        failed = std::move(in_flight_->waiters);
    in_flight_.reset();
    open_batch_.reset();
    retry_ = nullptr;
    for (auto& it : pending_)
        failed.push_back(std::move(it));
    pending_.clear();
    records_.clear();
    next_ = segment_sequence{};
    for (auto& it : failed)
        it.handler({ledger_status::not_owner, {}});
}

void ledger_partition::apply(const ledger_entry& entry)
{
    if (entry.kind == entry_kind::open)
        return;
    if (entry.kind == entry_kind::release)
    {
        records_.erase(entry.bill);
        return;
    }
    auto& record = records_[entry.bill];
    record.state = state_after(entry.kind);
    record.entry = entry;
}

void ledger_partition::maybe_checkpoint()
{
    if (++since_checkpoint_ < options_.checkpoint_every || checkpoints_.is_saving())
        return;
    since_checkpoint_ = 0;
    erase_expired();
    checkpoints_.save(next_, committed_records());
}

std::vector<ledger_record> ledger_partition::committed_records() const
{
    std::map<bill_id, std::optional<ledger_record>> uncommitted;
    for (const auto& it : pending_)
        uncommitted.try_emplace(it.entry.bill, it.replaced);
    std::vector<ledger_record> out;
    for (const auto& [bill, record] : records_)
        if (!uncommitted.contains(bill))
            out.push_back(record);
    for (const auto& [unused, replaced] : uncommitted)
        if (replaced)
            out.push_back(*replaced);
    return out;
}

void ledger_partition::erase_expired()
{
    const auto now = hooks_.wall_clock().value();
    const auto is_expired = [&](const auto& it)
    {
        const auto& entry = it.second.entry;
        const auto retention = entry.keyed ? options_.keyed_retention_ms : options_.unkeyed_retention_ms;
        return entry.at.value() + retention < now;
    };
    std::erase_if(records_, is_expired);
}

void ledger_partition::retry_later(std::function<void()> action)
{
    retry_ = std::move(action);
    retry_at_ = now_ + options_.retry_delay;
}

} // namespace runlink::core
