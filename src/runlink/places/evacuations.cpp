#include "runlink/places/evacuations.hpp"

#include <algorithm>
#include <iterator>

namespace runlink::places
{

std::vector<core::failure_domain_id> evacuations::replace(const std::set<core::failure_domain_id>& all)
{
    std::vector<core::failure_domain_id> ended;
    std::set_difference(domains_.begin(), domains_.end(), all.begin(), all.end(), std::back_inserter(ended));
    domains_ = all;
    return ended;
}

} // namespace runlink::places
