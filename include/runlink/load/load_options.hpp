/// \file
/// Which parts of load tracking are in force, by an instance's settings and the configuration.
#pragma once

#include <cstdint>
#include <vector>

namespace runlink::load
{

/// When a part of load tracking is in force.
enum class load_switch
{
    off,
    on,
    scarce, ///< while the configuration has an engine with scarce memory
};

/// How the load of an engine is forecast.
enum class forecast_kind
{
    counts, ///< from the number of streams alone
    ends,   ///< from the predicted end of each stream
};

/// Capacity of the engine of each endpoint of a service; 0: unknown.
struct engine_limits
{
    std::uint32_t slots = 0;            ///< streams that run at the same time
    std::uint32_t memory_tokens = 0;    ///< shared by running streams and cached prompts
    std::uint32_t tokens_per_event = 1; ///< generated tokens in one event of a stream

    friend bool operator==(const engine_limits&, const engine_limits&) = default;
};

/// Settings of load tracking. By default all of it is off.
struct load_options
{
    load_switch engine_load = load_switch::off;
    load_switch model_choice = load_switch::off;
    load_switch plain_load = load_switch::off;
    /// An engine whose memory holds fewer tokens for each slot than this has scarce memory: it runs out of
    /// memory before it runs out of slots. 0: none has.
    std::uint32_t scarce_tokens_per_slot = 0;
    forecast_kind forecast = forecast_kind::ends;

    friend bool operator==(const load_options&, const load_options&) = default;
};

/// The parts of load tracking that are in force.
struct active_load
{
    bool engine_load = false;
    bool model_choice = false;
    bool plain_load = false;

    friend bool operator==(const active_load&, const active_load&) = default;
};

/// Returns the parts that are in force for services with these engines.
active_load active_parts(const load_options& options, const std::vector<engine_limits>& engines);

} // namespace runlink::load
