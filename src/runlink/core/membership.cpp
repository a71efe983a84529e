#include "runlink/core/membership.hpp"

#include <algorithm>
#include <utility>

#include "runlink/core/hash.hpp"

namespace runlink::core
{

membership::membership(member_info self, membership_options options)
    : self_{std::move(self)}, options_{options}
{
}

void membership::set_self_state(bool ready, bool stopping)
{
    if (ready == self_ready_ && stopping == self_stopping_)
        return;
    self_ready_ = ready;
    self_stopping_ = stopping;
    record_change();
}

void membership::record_change()
{
    ++change_count_;
    owner_cache_.clear();
}

bool membership::on_heartbeat(time_point now, const member_info& sender, const heartbeat& it)
{
    if (sender.incarnation == self_.incarnation || replaced_incarnations_.contains(sender.incarnation))
        return false;
    const auto known = members_.find(sender.incarnation);
    const bool is_new = known == members_.end();
    if (is_new)
        std::erase_if(members_,
                      [&](const auto& e)
                      {
                          const bool old = e.second.info.id == sender.id;
                          if (old)
                              replaced_incarnations_.insert(e.first);
                          return old;
                      });
    auto& member = members_[sender.incarnation];
    const bool is_change =
        is_new || member.last_heartbeat.ready != it.ready || member.last_heartbeat.stopping != it.stopping;
    member = {sender, it, now};
    if (is_change)
        record_change();
    for (const auto& e : it.members)
        add_address(e.address);
    add_address(sender.address);
    return is_change;
}

std::vector<member_info> membership::tick(time_point now)
{
    const auto gap = last_tick_ ? now - *last_tick_ : duration::zero();
    last_tick_ = now;
    std::vector<member_info> dead;
    if (gap > options_.pause_threshold)
        for (auto& [unused, it] : members_)
            it.last_seen += gap;
    std::erase_if(members_,
                  [&](const auto& it)
                  {
                      const bool silent = now - it.second.last_seen > options_.dead_after;
                      if (silent)
                          dead.push_back(it.second.info);
                      return silent;
                  });
    if (!dead.empty())
        record_change();
    return dead;
}

void membership::add_address(const std::string& address)
{
    if (!address.empty() && address != self_.address)
        addresses_.insert(address);
}

std::vector<std::string> membership::addresses() const
{
    return {addresses_.begin(), addresses_.end()};
}

bool membership::is_alive(const incarnation_id& it) const
{
    return it == self_.incarnation || members_.contains(it);
}

const member_info* membership::find(const incarnation_id& it) const
{
    if (it == self_.incarnation)
        return &self_;
    const auto found = members_.find(it);
    return found == members_.end() ? nullptr : &found->second.info;
}

std::vector<member_info> membership::peers() const
{
    std::vector<member_info> out;
    for (const auto& [unused, it] : members_)
        out.push_back(it.info);
    return out;
}

std::optional<member_info> membership::owner_of(partition_id partition) const
{
    const auto found = owner_cache_.find(partition);
    if (found != owner_cache_.end())
        return found->second;
    return owner_cache_.emplace(partition, find_owner(partition)).first->second;
}

std::optional<member_info> membership::find_owner(partition_id partition) const
{
    const auto key = "partition/" + std::to_string(partition.value());
    std::optional<member_info> best;
    double best_score = 0;
    const auto offer = [&](const member_info& it)
    {
        const double score = rendezvous_score(key, it.incarnation.str());
        if (best && score <= best_score)
            return;
        best = it;
        best_score = score;
    };
    if (self_ready_ && !self_stopping_)
        offer(self_);
    for (const auto& [unused, it] : members_)
        if (it.last_heartbeat.ready && !it.last_heartbeat.stopping)
            offer(it.info);
    return best;
}

std::vector<member_info> membership::copy_holders(std::size_t n) const
{
    std::set<failure_domain_id> used_domains{self_.failure_domain};
    std::vector<member_info> out;
    const auto add_holders = [&](bool new_domains_only)
    {
        for (const auto& [unused, it] : members_)
        {
            if (out.size() == n)
                return;
            if (std::find(out.begin(), out.end(), it.info) != out.end() || it.last_heartbeat.stopping)
                continue;
            if (new_domains_only && !used_domains.insert(it.info.failure_domain).second)
                continue;
            out.push_back(it.info);
        }
    };
    add_holders(true);
    add_holders(false);
    return out;
}

const heartbeat* membership::last_heartbeat(const incarnation_id& it) const
{
    const auto found = members_.find(it);
    return found == members_.end() ? nullptr : &found->second.last_heartbeat;
}

} // namespace runlink::core
