/// \file
/// A set of bounded size, for values that arrive without end.
#pragma once

#include <cstddef>
#include <deque>
#include <set>

namespace runlink::crashes
{

/// Removes the member that was inserted first when its size exceeds `capacity`.
template <class T>
class recent_set
{
public:
    explicit recent_set(std::size_t capacity) : capacity_{capacity} {}

    /// Returns whether the value was not yet a member.
    bool insert(const T& it)
    {
        if (!members_.insert(it).second)
            return false;
        order_.push_back(it);
        if (order_.size() > capacity_)
        {
            members_.erase(order_.front());
            order_.pop_front();
        }
        return true;
    }
    bool contains(const T& it) const { return members_.contains(it); }

private:
    std::size_t capacity_;
    std::set<T> members_;
    std::deque<T> order_;
};

} // namespace runlink::crashes
