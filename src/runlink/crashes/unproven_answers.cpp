#include "runlink/crashes/unproven_answers.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace runlink::crashes
{

void unproven_answers::add(endpoint_id_hash from, answer it)
{
    // An answer that is not kept is neither a proof nor evidence.
    if (size_ >= max_answers)
        return;
    by_endpoint_[from].push_back(std::move(it));
    ++size_;
}

bool unproven_answers::has_content(element_fingerprint content) const
{
    return std::any_of(by_endpoint_.begin(), by_endpoint_.end(),
                       [content](const auto& e)
                       {
                           return std::any_of(e.second.begin(), e.second.end(),
                                              [content](const answer& it)
                                              { return it.elements.content == content; });
                       });
}

std::vector<unproven_answers::answer> unproven_answers::take(endpoint_id_hash from, core::time_point until)
{
    const auto found = by_endpoint_.find(from);
    if (found == by_endpoint_.end())
        return {};
    auto& all = found->second;
    const auto rest = std::stable_partition(all.begin(), all.end(),
                                            [until](const answer& it) { return it.ended_at <= until; });
    std::vector<answer> out{std::make_move_iterator(all.begin()), std::make_move_iterator(rest)};
    all.erase(all.begin(), rest);
    size_ -= out.size();
    if (all.empty())
        by_endpoint_.erase(found);
    return out;
}

void unproven_answers::expire(core::time_point before)
{
    for (auto it = by_endpoint_.begin(); it != by_endpoint_.end();)
    {
        size_ -= std::erase_if(it->second, [before](const answer& e) { return e.ended_at < before; });
        it = it->second.empty() ? by_endpoint_.erase(it) : std::next(it);
    }
}

} // namespace runlink::crashes
