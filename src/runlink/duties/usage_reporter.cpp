#include "runlink/duties/usage_reporter.hpp"

#include <algorithm>
#include <chrono>
#include <map>
#include <utility>

namespace runlink::duties
{
namespace
{

/// Interval of the checks while nothing is due.
constexpr milliseconds check_interval{250};

/// The reports of both records, oldest first. For a window that is in both, the known report counts.
std::vector<window_counts> merge(const std::vector<window_counts>& known,
                                 const std::vector<window_counts>& stored, std::size_t max)
{
    std::map<window_number, window_counts> all;
    for (const auto& it : known)
        all.try_emplace(it.window, it);
    for (const auto& it : stored)
        all.try_emplace(it.window, it);
    while (all.size() > max)
        all.erase(all.begin());
    std::vector<window_counts> out;
    out.reserve(all.size());
    for (auto& [window, it] : all)
        out.push_back(std::move(it));
    return out;
}

bool contains_all(const std::vector<window_counts>& all, const std::vector<window_counts>& some)
{
    const auto has = [&](const window_counts& it)
    { return std::any_of(all.begin(), all.end(), [&](const auto& e) { return e.window == it.window; }); };
    return std::all_of(some.begin(), some.end(), has);
}

std::string_view to_string(write_result::outcome it)
{
    switch (it)
    {
    case write_result::outcome::committed: return "committed";
    case write_result::outcome::conflict: return "conflict";
    case write_result::outcome::refused: return "refused";
    case write_result::outcome::unknown: return "unanswered";
    }
    return "unknown";
}

} // namespace

std::string_view to_string(call_outcome it)
{
    switch (it)
    {
    case call_outcome::accepted: return "accepted";
    case call_outcome::fenced: return "fenced";
    case call_outcome::refused: return "refused";
    case call_outcome::unanswered: return "unanswered";
    }
    return "unknown";
}

usage_reporter::usage_reporter(report_options options, report_hooks hooks)
    : options_{options}, hooks_{std::move(hooks)}
{
}

void usage_reporter::on_record(time_point now, const usage_record& it)
{
    if (it.revision <= record_.revision)
        return;
    record_.revision = it.revision;
    record_.reports = merge(record_.reports, it.reports, options_.max_stored);
    restore_at_.reset();
    if (!contains_all(it.reports, record_.reports))
        restore_at_ = now + restore_delay_;
}

void usage_reporter::on_record_lost(time_point now)
{
    record_.revision = {};
    if (!record_.reports.empty())
        restore_at_ = now + restore_delay_;
}

void usage_reporter::restore(time_point now)
{
    restore_at_ = now + options_.retry_delay;
    is_busy_ = true;
    hooks_.log(now, "usage_restored", record_.reports.back(), "sent");
    hooks_.write(record_, [this, next = record_](write_result result) { on_fixed(next, result); });
}

void usage_reporter::tick(time_point now, wall_time wall)
{
    if (!first_window_)
        first_window_ = options_.windows.window_at(wall);
    if (is_busy_ || (next_step_ && now < *next_step_))
        return;
    next_step_ = now + check_interval;
    if (restore_at_)
    {
        if (now >= *restore_at_)
            restore(now);
        return; // nothing is sent or fixed before the store has the reports
    }
    if (!is_listed_ || !hooks_.may_act(now))
        return;
    if (const auto* report = report_to_send(now, wall))
        return send(*report);
    if (now < fix_from_)
        return;
    if (const auto window = window_to_fix(wall))
        fix(now, *window);
}

std::optional<window_number> usage_reporter::window_to_fix(wall_time wall) const
{
    const auto wait =
        std::chrono::duration_cast<milliseconds>(options_.windows.max_lateness * options_.wait_share);
    const auto current = options_.windows.window_at(wall - wait);
    auto next =
        record_.reports.empty() ? *first_window_ : window_number{record_.reports.back().window.value() + 1};
    const auto oldest = options_.windows.window_at(options_.windows.expired_end(wall));
    next = std::max(next, oldest);
    return next < current ? std::optional{next} : std::nullopt;
}

void usage_reporter::fix(time_point now, window_number window)
{
    auto next = record_;
    next.reports.push_back({window, hooks_.sum(window)});
    if (next.reports.size() > options_.max_stored)
        next.reports.erase(next.reports.begin());
    is_busy_ = true;
    hooks_.log(now, "usage_fixed", next.reports.back(), "sent");
    hooks_.write(next, [this, next](write_result result) { on_fixed(next, result); });
}

void usage_reporter::on_fixed(const usage_record& next, write_result result)
{
    is_busy_ = false;
    const auto now = hooks_.now();
    hooks_.log(now, "usage_stored", next.reports.back(), to_string(result.what));
    if (result.what != write_result::outcome::committed)
    {
        next_step_ = now + options_.retry_delay;
        return;
    }
    auto stored = next;
    stored.revision = result.revision;
    on_record(now, stored);
    send_from_ = now + options_.spread_time;
    next_step_ = send_from_;
}

const window_counts* usage_reporter::report_to_send(time_point now, wall_time wall) const
{
    if (now < send_from_)
        return nullptr;
    for (const auto& it : record_.reports)
        if (!settled_.contains(it.window) &&
            options_.windows.end_of(it.window) > options_.windows.expired_end(wall))
            return &it;
    return nullptr;
}

void usage_reporter::send(const window_counts& it)
{
    is_busy_ = true;
    hooks_.send(it, [this, it](call_outcome result) { on_sent(it, result); });
}

void usage_reporter::on_sent(const window_counts& it, call_outcome result)
{
    is_busy_ = false;
    const auto now = hooks_.now();
    hooks_.log(now, "usage_sent", it, to_string(result));
    next_step_ = now + options_.retry_delay;
    if (result != call_outcome::accepted)
        return;
    ++accepted_total_;
    settled_.insert(it.window);
    while (settled_.size() > 2 * options_.max_stored)
        settled_.erase(settled_.begin());
    next_step_ = now;
}

} // namespace runlink::duties
