#include "runlink/core/ledger_client.hpp"

#include <algorithm>

#include "runlink/core/hash.hpp"

namespace runlink::core
{
namespace
{

failure unavailable(duration retry_after)
{
    return {errc::ledger_unavailable, "claim", std::chrono::ceil<milliseconds>(retry_after)};
}

} // namespace

ledger_client::ledger_client(member_info self, ledger_client_options options, ledger_client_hooks hooks)
    : self_{std::move(self)}, options_{options}, hooks_{std::move(hooks)}
{
}

partition_id ledger_client::choose_partition(const ledger_entry& entry) const
{
    const auto home = stable_hash(entry.bill.str()) % options_.partitions;
    if (entry.keyed)
        return partition_id{home};
    // Requests without a key all go to one partition that this instance owns, so that they share its writes.
    for (std::uint64_t n = 0; n < options_.partitions; ++n)
    {
        const partition_id it{n};
        const auto owner = hooks_.owner_of(it);
        if (owner && owner->incarnation == self_.incarnation)
            return it;
    }
    return partition_id{home};
}

void ledger_client::claim(time_point now, ledger_entry entry, bool keep_on_failure, claim_handler handler)
{
    operation it;
    it.entry = std::move(entry);
    it.entry.kind = entry_kind::claim;
    it.entry.partition = choose_partition(it.entry);
    it.keep_on_failure = keep_on_failure;
    it.on_claim = std::move(handler);
    const auto unresponsive = unresponsive_until_.find(it.entry.partition);
    if (unresponsive != unresponsive_until_.end() && now < unresponsive->second)
        return it.on_claim(unavailable(unresponsive->second - now));
    start(now, std::move(it));
}

void ledger_client::settle(time_point now, ledger_entry entry, settle_handler handler)
{
    operation it;
    it.entry = std::move(entry);
    it.entry.kind = entry_kind::settle;
    it.entry.partition = choose_partition(it.entry);
    it.on_settle = std::move(handler);
    start(now, std::move(it));
}

void ledger_client::release(time_point now, ledger_entry entry)
{
    operation it;
    it.entry = std::move(entry);
    it.entry.kind = entry_kind::release;
    it.entry.partition = choose_partition(it.entry);
    start(now, std::move(it));
}

void ledger_client::start(time_point now, operation it)
{
    it.started = now;
    const auto id = next_id_++;
    const bool copy_at_once =
        it.entry.kind == entry_kind::settle && unresponsive_until_.contains(it.entry.partition);
    auto& op = operations_.emplace(id, std::move(it)).first->second;
    if (copy_at_once)
        make_copies(op);
    send(now, id);
}

void ledger_client::send(time_point now, std::uint64_t id)
{
    auto& it = operations_.at(id);
    it.sent = now;
    const auto owner = hooks_.owner_of(it.entry.partition);
    if (!owner)
        return;
    if (owner->incarnation != self_.incarnation)
        return hooks_.send(*owner, ledger_request{id, it.entry});
    hooks_.submit_here(now, it.entry, [this, id](const ledger_reply& reply) { finish(id, reply); });
}

void ledger_client::on_response(const ledger_response& it)
{
    finish(it.id, {it.status, it.record});
}

void ledger_client::finish(std::uint64_t id, const ledger_reply& reply)
{
    const auto found = operations_.find(id);
    if (found == operations_.end() || reply.status == ledger_status::not_owner)
        return;
    auto it = std::move(found->second);
    operations_.erase(found);
    unresponsive_until_.erase(it.entry.partition);
    release_copies(it);
    if (it.on_claim)
        it.on_claim(reply);
    report_safety(it, bill_safety::committed);
}

void ledger_client::tick(time_point now)
{
    std::vector<std::uint64_t> ids;
    for (const auto& [id, unused] : operations_)
        ids.push_back(id);
    for (const auto id : ids)
        if (const auto found = operations_.find(id); found != operations_.end())
            tick_operation(now, id, found->second);
}

void ledger_client::tick_operation(time_point now, std::uint64_t id, operation& it)
{
    if (it.on_claim && now - it.started >= options_.claim_timeout)
        return fail_claim(now, id);
    if (it.on_settle && now - it.started >= options_.settle_timeout)
        report_safety(it, bill_safety::at_risk);
    const bool settling = it.entry.kind == entry_kind::settle;
    if (settling && it.holders.empty() && now - it.started >= options_.copy_delay)
        make_copies(it);
    if (now - it.sent < options_.resend_after)
        return;
    if (settling && !it.holders.empty())
        make_copies(it);
    send(now, id);
}

void ledger_client::fail_claim(time_point now, std::uint64_t id)
{
    auto it = std::move(operations_.at(id));
    operations_.erase(id);
    unresponsive_until_[it.entry.partition] = now + options_.claim_timeout;
    // The claim may still be committed later: send a release after it, in the same order.
    if (!it.keep_on_failure)
        release(now, it.entry);
    it.on_claim(unavailable(options_.claim_timeout));
}

void ledger_client::make_copies(operation& it)
{
    unresponsive_until_.try_emplace(it.entry.partition, time_point{});
    std::erase_if(it.holders, [&](const auto& e) { return hooks_.find_member(e.incarnation) == nullptr; });
    std::erase_if(it.confirmed, [&](const auto& e) { return hooks_.find_member(e) == nullptr; });
    for (const auto& e : hooks_.copy_holders(options_.copies))
        if (it.holders.size() < options_.copies &&
            std::find(it.holders.begin(), it.holders.end(), e) == it.holders.end())
            it.holders.push_back(e);
    for (const auto& e : it.holders)
        if (!it.confirmed.contains(e.incarnation))
            hooks_.send(e, copy_request{it.entry});
}

void ledger_client::release_copies(const operation& it)
{
    for (const auto& e : it.holders)
        hooks_.send(e, copy_release{it.entry.bill, it.entry.request});
}

void ledger_client::report_safety(operation& it, bill_safety safety)
{
    if (const auto handler = std::exchange(it.on_settle, nullptr))
        handler(safety);
}

void ledger_client::on_copy_request(const member_info& sender, const copy_request& it)
{
    const copy_key key{it.entry.bill, it.entry.request};
    if (copies_.size() >= options_.max_copies_held && !copies_.contains(key))
        return;
    copies_[key] = {it.entry, sender.incarnation};
    hooks_.send(sender, copy_response{it.entry.bill, it.entry.request});
}

void ledger_client::on_copy_response(const member_info& sender, const copy_response& it)
{
    for (auto& [unused, op] : operations_)
    {
        if (op.entry.kind != entry_kind::settle || op.entry.bill != it.bill || op.entry.request != it.request)
            continue;
        op.confirmed.insert(sender.incarnation);
        if (op.confirmed.size() >= options_.copies)
            report_safety(op, bill_safety::copied);
        return;
    }
}

void ledger_client::on_copy_release(const copy_release& it)
{
    copies_.erase({it.bill, it.request});
}

void ledger_client::on_member_died(time_point now, const member_info& it)
{
    std::vector<ledger_entry> orphans;
    std::erase_if(copies_,
                  [&](const auto& e)
                  {
                      const bool orphan = e.second.origin == it.incarnation;
                      if (orphan)
                          orphans.push_back(e.second.entry);
                      return orphan;
                  });
    for (auto& e : orphans)
    {
        operation op;
        op.entry = std::move(e);
        start(now, std::move(op));
    }
}

std::size_t ledger_client::unsafe_count() const
{
    return static_cast<std::size_t>(std::count_if(operations_.begin(), operations_.end(),
                                                  [&](const auto& it) {
                                                      return it.second.entry.kind == entry_kind::settle &&
                                                             it.second.confirmed.size() < options_.copies;
                                                  }));
}

} // namespace runlink::core
