/// \file
/// Record types of the ledger, which stores claims on idempotency keys and the bills of requests.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "runlink/core/failure.hpp"
#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::core
{

/// Identifies a bill: derived from the account and the idempotency key, or from the request id if the request
/// has no key.
using bill_id = strong_string<struct bill_tag>;
/// Identifies one write, so that its writer can recognise it after a lost reply.
using batch_id = strong_string<struct batch_tag>;

/// Wall-clock time in milliseconds since 1970-01-01 UTC. Used only to expire records.
using wall_time = strong_number<struct wall_time_tag>;

/// The effect of an entry on the record of its bill.
enum class entry_kind
{
    open,         ///< a new owner has taken over the partition; changes no record
    claim,        ///< the request holds the key and may be dispatched
    settle,       ///< the request has ended; the entry is its bill
    release,      ///< the request did not run; its key may be claimed again
    mark_unknown, ///< the holder died; it is unknown whether the request ran
};

/// The answer sent to the client, if it is small enough to be stored for repeated calls with the same key.
struct kept_answer
{
    bool kept = false; ///< whether the other fields hold an answer
    int status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

/// One operation in the ledger's log.
struct ledger_entry
{
    entry_kind kind = entry_kind::claim;
    bill_id bill;
    request_id request;
    incarnation_id holder;
    account_id account;
    bool keyed = false;      ///< the request has an idempotency key
    bool repeatable = true;  ///< the request may run again if its holder died
    std::string fingerprint; ///< digest of the body; detects reuse of a key for another request
    wall_time at{};
    partition_id partition{}; ///< chosen once, by the instance that submits the entry

    run_outcome outcome = run_outcome::unknown;
    version_ref version;
    service_id service;
    endpoint_id endpoint;
    token_count prompt_tokens{};
    token_count answer_tokens{};
    micro_cost cost{};
    kept_answer answer;

    friend bool operator==(const ledger_entry&, const ledger_entry&) = default;
};

/// The entries that one store write appends to a partition.
struct ledger_segment
{
    partition_id partition{};
    segment_sequence sequence{};
    batch_id batch;
    incarnation_id owner;
    std::vector<ledger_entry> entries;

    friend bool operator==(const ledger_segment&, const ledger_segment&) = default;
};

/// State of a bill.
enum class record_state
{
    claimed,
    settled,
    unknown,
};

/// State and latest entry of a bill.
struct ledger_record
{
    record_state state = record_state::claimed;
    ledger_entry entry;

    friend bool operator==(const ledger_record&, const ledger_record&) = default;
};

/// Returns the sequence number that follows `it`.
inline segment_sequence next_of(segment_sequence it)
{
    return segment_sequence{it.value() + 1};
}

/// Lists the store keys of a checkpoint's parts. The checkpoint holds the records produced by all segments
/// with a sequence number below `next`.
struct checkpoint_header
{
    segment_sequence next{};
    std::vector<std::string> part_keys;

    friend bool operator==(const checkpoint_header&, const checkpoint_header&) = default;
};

/// Result of an operation on a partition.
enum class ledger_status
{
    granted,     ///< the claim is committed; the request may be dispatched
    in_progress, ///< a live request holds the key
    settled,     ///< the request with this key has ended; the reply carries its record
    unknown,     ///< it is permanently unknown whether the request with this key ran
    key_reused,  ///< the key was used with a different request body
    committed,   ///< the settlement or release is in the ledger
    duplicate,   ///< another request settled the bill before; nothing was added
    not_owner,   ///< this instance does not own the partition; ask the current owner
};

std::string_view to_string(ledger_status it);

/// Reply of a partition to an operation.
struct ledger_reply
{
    ledger_status status = ledger_status::not_owner;
    ledger_entry record; ///< set if the status is `settled`
};

using ledger_reply_handler = std::function<void(const ledger_reply&)>;

/// Encoders and decoders of the stored data. A decoder fails with `internal` if it can't parse its input.
struct ledger_codec
{
    std::function<std::string(const ledger_segment&)> encode_segment;
    std::function<result<ledger_segment>(std::string_view)> decode_segment;
    std::function<std::string(const checkpoint_header&)> encode_header;
    std::function<result<checkpoint_header>(std::string_view)> decode_header;
    std::function<std::string(const std::vector<ledger_record>&)> encode_records;
    std::function<result<std::vector<ledger_record>>(std::string_view)> decode_records;
};

} // namespace runlink::core
