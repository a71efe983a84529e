/// \file
/// Messages between instances.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "runlink/core/ledger_types.hpp"

namespace runlink::core
{

/// Identity of an instance and the address at which its peers reach it.
struct member_info
{
    instance_id id;
    incarnation_id incarnation;
    failure_domain_id failure_domain;
    std::string address; ///< `ip:port` of its peer link

    friend bool operator==(const member_info&, const member_info&) = default;
};

/// Number of a start of an endpoint process; a newer process has a higher number.
using endpoint_incarnation = strong_number<struct endpoint_incarnation_tag>;

/// Marks an endpoint process as leaving. The mark is never withdrawn; it ends when a newer process is seen.
struct leave_mark
{
    endpoint_id endpoint;
    endpoint_incarnation incarnation{};

    friend auto operator<=>(const leave_mark&, const leave_mark&) = default;
};

/// Running totals of one instance for a version, since the instance started.
struct version_counts
{
    version_ref version;
    std::uint64_t started = 0; ///< attempts dispatched to the version
    std::uint64_t good = 0;    ///< answers rated good
    std::uint64_t bad = 0;     ///< answers rated bad
    std::uint64_t failed = 0;  ///< attempts with an error or a malformed answer
    bool stopped = false;      ///< the sender's guard has stopped the version

    friend bool operator==(const version_counts&, const version_counts&) = default;
};

/// Sent to every peer at a fixed interval.
struct heartbeat
{
    bool ready = false;
    bool stopping = false;
    config_revision revision{};
    std::vector<leave_mark> leaving;
    std::vector<version_counts> versions; ///< changed ones; periodically all
    std::vector<member_info> members;     ///< periodically the live members that the sender knows

    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

/// Asks a peer for its configuration.
struct configuration_request
{
    friend bool operator==(const configuration_request&, const configuration_request&) = default;
};

/// A complete configuration, as stored.
struct configuration_document
{
    std::string json;

    friend bool operator==(const configuration_document&, const configuration_document&) = default;
};

/// An operation for the owner of a partition.
struct ledger_request
{
    std::uint64_t id = 0;
    ledger_entry entry;

    friend bool operator==(const ledger_request&, const ledger_request&) = default;
};

/// The owner's answer to a `ledger_request`.
struct ledger_response
{
    std::uint64_t id = 0;
    ledger_status status = ledger_status::not_owner;
    ledger_entry record;

    friend bool operator==(const ledger_response&, const ledger_response&) = default;
};

/// Asks a peer to keep a copy of a settlement that the store has not taken yet.
struct copy_request
{
    ledger_entry entry;

    friend bool operator==(const copy_request&, const copy_request&) = default;
};

/// Confirms that the peer holds the copy.
struct copy_response
{
    bill_id bill;
    request_id request;

    friend bool operator==(const copy_response&, const copy_response&) = default;
};

/// Reports that the settlement is in the ledger; the peer may delete its copy.
struct copy_release
{
    bill_id bill;
    request_id request;

    friend bool operator==(const copy_release&, const copy_release&) = default;
};

using peer_message = std::variant<heartbeat, configuration_request, configuration_document, ledger_request,
                                  ledger_response, copy_request, copy_response, copy_release>;

/// A message with its sender. Receivers drop messages of other deployments.
struct peer_envelope
{
    std::string deployment;
    member_info sender;
    peer_message message;
};

} // namespace runlink::core
