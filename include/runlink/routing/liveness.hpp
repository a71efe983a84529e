/// \file
/// Which endpoints were heard of lately, and which should be asked whether they live.
#pragma once

#include <map>

#include "runlink/routing/endpoint_directory.hpp"

namespace runlink::routing
{

/// Parameters of the check.
struct liveness_options
{
    /// Silence of an endpoint, while a request waits there, after which it is asked. Engines that work send
    /// tokens every 20 to 100 ms, or read a long prompt for about as long as this.
    milliseconds ask_after{400};
    milliseconds ask_interval{600}; ///< between two questions to one endpoint
};

/// Remembers when each endpoint was heard. A question is a bare connection: it is refused or stays unanswered
/// where the process is gone or the way to it is cut, while an endpoint that only has much to do takes it.
class liveness
{
public:
    explicit liveness(liveness_options options = {}) : options_{options} {}

    void heard(time_point now, const endpoint_id& id) { records_[id].heard = now; }
    /// Whether to ask now; the question counts as asked.
    bool try_ask(time_point now, const endpoint_id& id);
    time_point last_heard(const endpoint_id& id) const;
    const liveness_options& options() const { return options_; }
    void keep_only(const endpoint_directory& directory);

private:
    struct record
    {
        time_point heard = time_point::min();
        time_point asked = time_point::min();
    };

    liveness_options options_;
    std::map<endpoint_id, record> records_;
};

} // namespace runlink::routing
