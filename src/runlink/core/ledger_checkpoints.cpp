#include "runlink/core/ledger_checkpoints.hpp"

#include <algorithm>
#include <utility>

namespace runlink::core
{
namespace
{

/// Estimated size of a serialised record without its answer.
constexpr std::size_t record_overhead_bytes = 256;

std::size_t size_estimate(const ledger_record& it)
{
    return record_overhead_bytes + it.entry.answer.body.size();
}

} // namespace

ledger_checkpoints::ledger_checkpoints(std::string key, incarnation_id writer, std::size_t part_bytes,
                                       store_port store, ledger_codec codec)
    : key_{std::move(key)}, writer_{std::move(writer)},
      part_bytes_{part_bytes}, store_{std::move(store)}, codec_{std::move(codec)}
{
}

void ledger_checkpoints::save(segment_sequence next, const std::vector<ledger_record>& records)
{
    saving_ = true;
    auto task = std::make_shared<save_task>();
    task->header.next = next;
    std::vector<ledger_record> part;
    std::size_t bytes = 0;
    const auto finish_part = [&]
    {
        task->header.part_keys.push_back(key_ + "/" + std::to_string(next.value()) + "-" + writer_.str() +
                                         "/" + std::to_string(task->parts.size()));
        task->parts.push_back(codec_.encode_records(part));
        part.clear();
        bytes = 0;
    };
    for (const auto& it : records)
    {
        part.push_back(it);
        bytes += size_estimate(it);
        if (bytes >= part_bytes_)
            finish_part();
    }
    if (!part.empty())
        finish_part();
    write_part(task, 0);
}

void ledger_checkpoints::write_part(const std::shared_ptr<save_task>& task, std::size_t n)
{
    if (n == task->parts.size())
        return swap_header(task);
    const auto on_written = [this, task, n](const result<std::uint64_t>& it)
    {
        if (!it)
            return abandon(*task);
        write_part(task, n + 1);
    };
    store_.put(task->header.part_keys[n], task->parts[n], store_condition::create(), on_written);
}

void ledger_checkpoints::abandon(const save_task& task)
{
    saving_ = false;
    for (const auto& it : task.header.part_keys)
        store_.erase(it);
}

void ledger_checkpoints::swap_header(const std::shared_ptr<save_task>& task)
{
    const auto on_found = [this, task](const result<store_value>& found)
    {
        const bool absent = !found && found.error().code == errc::store_absent;
        if (!found && !absent)
            return abandon(*task);
        checkpoint_header old;
        if (found)
            if (auto it = codec_.decode_header(found.value().data))
                old = std::move(it).value();
        if (old.next >= task->header.next && !absent)
            return abandon(*task);
        const auto on_swapped = [this, task, old](const result<std::uint64_t>& it)
        {
            // If the reply was lost, either header may be stored: keep the parts of both.
            saving_ = false;
            if (it)
                for (const auto& e : old.part_keys)
                    store_.erase(e);
        };
        const auto condition =
            found ? store_condition::match(found.value().revision) : store_condition::create();
        store_.put(key_, codec_.encode_header(task->header), condition, on_swapped);
    };
    store_.get(key_, on_found);
}

void ledger_checkpoints::load(std::function<void(result<loaded_checkpoint>)> handler)
{
    const auto on_found = [this, handler = std::move(handler)](const result<store_value>& found)
    {
        if (!found && found.error().code == errc::store_absent)
            return handler(loaded_checkpoint{});
        if (!found)
            return handler(found.error());
        auto header = codec_.decode_header(found.value().data);
        if (!header)
            return handler(header.error());
        auto task = std::make_shared<load_task>();
        task->header = std::move(header).value();
        task->loaded.next = task->header.next;
        task->handler = handler;
        load_part(task);
    };
    store_.get(key_, on_found);
}

void ledger_checkpoints::load_part(const std::shared_ptr<load_task>& task)
{
    if (task->next_part == task->header.part_keys.size())
        return task->handler(std::move(task->loaded));
    const auto on_found = [this, task](const result<store_value>& found)
    {
        if (!found)
            return task->handler(failure{errc::store_unavailable, task->header.part_keys[task->next_part]});
        auto records = codec_.decode_records(found.value().data);
        if (!records)
            return task->handler(records.error());
        auto& out = task->loaded.records;
        std::move(records.value().begin(), records.value().end(), std::back_inserter(out));
        ++task->next_part;
        load_part(task);
    };
    store_.get(task->header.part_keys[task->next_part], on_found);
}

} // namespace runlink::core
