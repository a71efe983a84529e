#include "runlink/load/load_messages.hpp"

#include "runlink/core/hash.hpp"

namespace runlink::load
{
namespace
{

constexpr std::uint64_t low_bits = 0xffffffff;

} // namespace

endpoint_hash hash_of(const core::endpoint_id& id)
{
    return endpoint_hash{core::stable_hash(id.str()) & low_bits};
}

prompt_hash hash_of(std::uint64_t parts, const core::model_id& model)
{
    return prompt_hash{core::stable_hash(model.str(), parts) & low_bits};
}

} // namespace runlink::load
