/// \file
/// The records of the ledger: claims on idempotency keys, and bills.
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

/// Identity of a bill: of the account and idempotency key, or of the request where it has no key.
using bill_id = strong_string<struct bill_tag>;
using batch_id = strong_string<struct batch_tag>;

/// Time of day in milliseconds since 1970, used only to forget old records.
using wall_time = strong_number<struct wall_time_tag>;

/// What an entry does to the record of its bill.
enum class entry_kind
{
    open,         ///< a new owner took the partition
    claim,        ///< the request holds the key and may be dispatched
    settle,       ///< the request has ended; this is its bill
    release,      ///< the request did not run; the key is free again
    mark_unknown, ///< the holder died; whether the request ran is not known
};

/// The answer as sent, where it is small enough to be kept for a repeated call.
struct kept_answer
{
    bool kept = false;
    int status = 0;
    std::string content_type;
    std::string body;

    friend bool operator==(const kept_answer&, const kept_answer&) = default;
};

/// One line of the ledger.
struct ledger_entry
{
    entry_kind kind = entry_kind::claim;
    bill_id bill;
    request_id request;
    incarnation_id holder;
    account_id account;
    bool keyed = false;
    bool repeatable = true;
    std::string fingerprint; ///< digest of the body, to tell a key used for another request
    wall_time at{};
    partition_id partition{}; ///< chosen once by the instance that wrote the entry

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

/// What one write to the store adds to a partition.
struct ledger_segment
{
    partition_id partition{};
    segment_sequence sequence{};
    batch_id batch;
    incarnation_id owner;
    std::vector<ledger_entry> entries;

    friend bool operator==(const ledger_segment&, const ledger_segment&) = default;
};

/// Where a bill stands.
enum class record_state
{
    claimed,
    settled,
    unknown,
};

/// The newest entry of a bill, with its state.
struct ledger_record
{
    record_state state = record_state::claimed;
    ledger_entry entry;

    friend bool operator==(const ledger_record&, const ledger_record&) = default;
};

/// The number of the segment behind this one.
inline segment_sequence next_of(segment_sequence it)
{
    return segment_sequence{it.value() + 1};
}

/// Points to the parts of a checkpoint: the live records of a partition before `next`.
struct checkpoint_header
{
    segment_sequence next{};
    std::vector<std::string> part_keys;

    friend bool operator==(const checkpoint_header&, const checkpoint_header&) = default;
};

/// How a partition answers an operation.
enum class ledger_status
{
    granted,     ///< the claim is committed: the request may be dispatched
    in_progress, ///< another request holds the key
    settled,     ///< the key's request has ended; its record is attached
    unknown,     ///< whether the key's request ran is not known, and stays so
    key_reused,  ///< the key was used for another body
    committed,   ///< the settlement or release is in the ledger
    duplicate,   ///< the bill was settled before by another request; nothing was added
    not_owner,   ///< ask the present owner
};

std::string_view to_string(ledger_status it);

/// Answer of a partition.
struct ledger_reply
{
    ledger_status status = ledger_status::not_owner;
    ledger_entry record; ///< with `settled`
};

using ledger_reply_handler = std::function<void(const ledger_reply&)>;

/// Serialisation of what the ledger stores. A decoder fails with `internal` on foreign bytes.
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
