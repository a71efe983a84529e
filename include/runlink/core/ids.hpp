/// \file
/// Strong types for the identifiers that the router handles.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace runlink::core
{

/// A string with a type of its own; values of different `Tag` types do not convert into each other.
template <class Tag>
class strong_string
{
public:
    strong_string() = default;
    explicit strong_string(std::string value) : value_{std::move(value)} {}

    const std::string& str() const { return value_; }
    bool empty() const { return value_.empty(); }

    friend auto operator<=>(const strong_string&, const strong_string&) = default;
    friend std::ostream& operator<<(std::ostream& os, const strong_string& it) { return os << it.value_; }

private:
    std::string value_;
};

/// A number with a type of its own, for an identifier or a unit.
template <class Tag>
class strong_number
{
public:
    strong_number() = default;
    constexpr explicit strong_number(std::uint64_t value) : value_{value} {}

    constexpr std::uint64_t value() const { return value_; }

    friend auto operator<=>(const strong_number&, const strong_number&) = default;
    friend std::ostream& operator<<(std::ostream& os, const strong_number& it) { return os << it.value_; }

private:
    std::uint64_t value_ = 0;
};

using account_id = strong_string<struct account_tag>;
/// One start of an endpoint; a restarted endpoint has a new id.
using endpoint_id = strong_string<struct endpoint_tag>;
/// External name of an endpoint; it may stay the same over restarts.
using endpoint_name = strong_string<struct endpoint_name_tag>;
using failure_domain_id = strong_string<struct failure_domain_tag>;
using idempotency_key = strong_string<struct idempotency_key_tag>;
using instance_id = strong_string<struct instance_tag>;
/// One start of an instance; a restarted instance has a new incarnation.
using incarnation_id = strong_string<struct incarnation_tag>;
using model_id = strong_string<struct model_tag>;
using pool_id = strong_string<struct pool_tag>;
using region_id = strong_string<struct region_tag>;
using request_class = strong_string<struct request_class_tag>;
using request_id = strong_string<struct request_tag>;
using service_id = strong_string<struct service_tag>;
using session_id = strong_string<struct session_tag>;
using version_id = strong_string<struct version_tag>;

using connection_id = strong_number<struct connection_tag>;
using attempt_id = strong_number<struct attempt_tag>;
/// Orders the starts of one endpoint; a later one has a higher number. 0: not reported by the endpoint.
using endpoint_incarnation = strong_number<struct endpoint_incarnation_tag>;
using config_revision = strong_number<struct config_revision_tag>;
using fencing_number = strong_number<struct fencing_number_tag>;
using partition_id = strong_number<struct partition_tag>;
using segment_sequence = strong_number<struct ledger_segment_sequence_tag>;

/// A version of a model, written `model/version`.
struct version_ref
{
    model_id model;
    version_id version;

    std::string str() const { return model.str() + "/" + version.str(); }
    friend auto operator<=>(const version_ref&, const version_ref&) = default;
};

} // namespace runlink::core

template <class Tag>
struct std::hash<runlink::core::strong_string<Tag>>
{
    std::size_t operator()(const runlink::core::strong_string<Tag>& it) const
    {
        return std::hash<std::string>{}(it.str());
    }
};

template <class Tag>
struct std::hash<runlink::core::strong_number<Tag>>
{
    std::size_t operator()(const runlink::core::strong_number<Tag>& it) const
    {
        return std::hash<std::uint64_t>{}(it.value());
    }
};
