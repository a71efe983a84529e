/// \file
/// Time that an endpoint takes to generate a token.
#pragma once

#include <cstdint>
#include <map>

#include "runlink/load/forecast.hpp"
#include "runlink/load/load_messages.hpp"

namespace runlink::load
{

/// Estimates the time per token of a model as a linear function of the number of running streams.
class token_speed
{
public:
    void observe(const core::model_id& model, endpoint_hash endpoint, std::uint32_t running,
                 duration time_per_token);
    duration per_token(const core::model_id& model, endpoint_hash endpoint, std::uint32_t running) const;
    /// Time by which one more stream prolongs each token.
    duration per_stream(const core::model_id& model, endpoint_hash endpoint) const;

private:
    double pace_of(const core::model_id& model) const;

    std::map<core::model_id, double> paces_; ///< time per token relative to a model of pace 1
};

} // namespace runlink::load
