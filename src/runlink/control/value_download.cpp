#include "runlink/control/value_download.hpp"

#include <utility>

namespace runlink::control
{

value_download::value_download(download_options options, instance_id self, download_hooks hooks)
    : options_{options}, self_{std::move(self)}, hooks_{std::move(hooks)}
{
}

void value_download::start(time_point now, const wanted_value& it, std::vector<instance_id> sources)
{
    const bool is_known = wanted_ && wanted_->key == it.key;
    if (is_known && it.revision <= wanted_->revision)
        return;
    if (!is_known || revision_ < it.revision)
    {
        parts_.clear();
        pending_.clear();
        count_ = 0;
        revision_ = {};
    }
    if (!is_known)
        started_ = now;
    wanted_ = it;
    sources_ = std::move(sources);
    source_ = 0;
    if (sources_.empty())
        return ask_next_source(now, "no_source");
    ask_source(now);
}

void value_download::ask_source(time_point now)
{
    timeouts_ = 0;
    is_queued_ = false;
    last_part_at_ = now;
    ask(now);
}

void value_download::ask_next_source(time_point now, std::string_view why)
{
    if (++source_ < sources_.size())
        return ask_source(now);
    due_.reset();
    const auto wanted = *std::exchange(wanted_, std::nullopt);
    hooks_.failed(now, wanted, why);
}

void value_download::fill_window()
{
    // Before the number of parts is known, the first ones are asked for; those that don't exist are ignored.
    const auto end = count_ > 0 ? count_ : options_.window;
    for (std::uint32_t n = 0; n < end && pending_.size() < options_.window; ++n)
        if (!parts_.contains(n))
            pending_.insert(n);
}

void value_download::ask(time_point now)
{
    fill_window();
    request(now, {pending_.begin(), pending_.end()});
}

void value_download::request(time_point now, const std::vector<std::uint32_t>& parts)
{
    due_ = now + options_.part_timeout;
    part_request out;
    out.sender = self_;
    out.key = wanted_->key;
    out.parts = parts;
    hooks_.ask(sources_[source_], out);
}

void value_download::on_part(time_point now, const value_part& it)
{
    if (!wanted_ || it.key != wanted_->key)
        return;
    const bool is_from_source = it.sender == sources_[source_];
    if (it.is_queued)
    {
        is_queued_ = is_queued_ || is_from_source;
        if (is_from_source)
            due_ = last_part_at_ + options_.queue_timeout;
        return;
    }
    // The sender may not have the change yet.
    if (it.count == 0 || it.count > options_.max_parts || it.index >= it.count ||
        it.revision < wanted_->revision)
    {
        if (is_from_source)
            ask_next_source(now, "not_available");
        return;
    }
    if (it.revision >= revision_)
        take(now, it);
}

void value_download::take(time_point now, const value_part& it)
{
    if (it.revision > revision_ || it.count != count_)
    {
        parts_.clear(); // those that are asked for arrive in the new revision
        revision_ = it.revision;
        count_ = it.count;
    }
    parts_[it.index] = it.bytes;
    pending_.erase(it.index);
    std::erase_if(pending_, [&](auto n) { return n >= count_; });
    timeouts_ = 0;
    is_queued_ = false;
    last_part_at_ = now;
    if (parts_.size() == count_)
        return finish(now);
    const auto asked = pending_;
    fill_window();
    std::vector<std::uint32_t> more;
    for (const auto n : pending_)
        if (!asked.contains(n))
            more.push_back(n);
    if (!more.empty())
        return request(now, more);
    due_ = now + options_.part_timeout;
}

void value_download::finish(time_point now)
{
    received_value out{wanted_->key, revision_, {}, now - started_};
    for (const auto& [index, bytes] : parts_)
        out.bytes += bytes;
    parts_.clear();
    due_.reset();
    wanted_.reset();
    hooks_.done(now, out);
}

void value_download::tick(time_point now)
{
    if (!wanted_ || !due_ || now < *due_)
        return;
    if (is_queued_)
        return ask_next_source(now, "queued");
    if (++timeouts_ >= options_.max_timeouts)
        return ask_next_source(now, "silent");
    ask(now);
}

} // namespace runlink::control
