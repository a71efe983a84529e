/// \file
/// How an instance uses the ledger, wherever the owner of a partition is.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "runlink/core/ledger_types.hpp"
#include "runlink/core/peer_messages.hpp"

namespace runlink::core
{

/// Times and counts of the ledger client.
struct ledger_client_options
{
    std::uint64_t partitions = 16;
    milliseconds resend_after{250};
    milliseconds claim_patience{1000}; ///< then the claim fails with `ledger_unavailable`
    milliseconds settle_patience{300}; ///< then copies are made in other failure domains
    std::size_t copies = 2;
    milliseconds settle_limit{5000}; ///< then the answer is released with its bill at risk
    std::size_t max_copies_held = 20000;
    std::size_t max_pending = 20000; ///< then the instance admits no more work
};

/// What the client asks of its surroundings.
struct ledger_client_hooks
{
    std::function<std::optional<member_info>(partition_id)> owner_of;
    /// Submits to the partition of this instance.
    std::function<void(time_point, ledger_entry, ledger_reply_handler)> submit_here;
    std::function<void(const member_info&, peer_message)> send;
    std::function<std::vector<member_info>(std::size_t)> copy_holders;
    std::function<const member_info*(const incarnation_id&)> find_member;
};

/// How safe a bill is when the end of the answer is released.
enum class bill_safety
{
    committed, ///< in the store
    copied,    ///< on this instance and on peers in other failure domains
    at_risk,   ///< on this instance only
};

/// Submits claims, settlements and releases until the owner has committed them, and holds copies for peers.
class ledger_client
{
public:
    using claim_handler = std::function<void(result<ledger_reply>)>;
    using settle_handler = std::function<void(bill_safety)>;

    ledger_client(member_info self, ledger_client_options options, ledger_client_hooks hooks);

    /// Claims the key of a request. Fails with `ledger_unavailable`; the key is then released again
    /// unless `keep_on_failure`.
    void claim(time_point now, ledger_entry entry, bool keep_on_failure, claim_handler handler);
    /// Settles a request; the handler runs once, as soon as the bill is safe.
    void settle(time_point now, ledger_entry entry, settle_handler handler);
    /// Frees the key of a request that did not run.
    void release(time_point now, ledger_entry entry);

    void on_response(const ledger_response& it);
    void on_copy_request(const member_info& sender, const copy_request& it);
    void on_copy_response(const member_info& sender, const copy_response& it);
    void on_copy_release(const copy_release& it);
    /// Takes over the copies of a member that died.
    void on_member_died(time_point now, const member_info& it);
    void tick(time_point now);

    std::size_t pending_count() const { return operations_.size(); }
    bool is_full() const { return operations_.size() >= options_.max_pending; }
    /// Settlements that are neither committed nor copied.
    std::size_t unsafe_count() const;
    std::size_t copy_count() const { return copies_.size(); }

private:
    struct operation
    {
        ledger_entry entry;
        time_point started{};
        time_point sent{};
        bool keep_on_failure = false;
        claim_handler on_claim;
        settle_handler on_settle;
        std::vector<member_info> holders;
        std::set<incarnation_id> confirmed;
    };
    struct held_copy
    {
        ledger_entry entry;
        incarnation_id origin;
    };
    using copy_key = std::pair<bill_id, request_id>;

    partition_id choose_partition(const ledger_entry& entry) const;
    void start(time_point now, operation it);
    void send(time_point now, std::uint64_t id);
    void finish(std::uint64_t id, const ledger_reply& reply);
    void tick_operation(time_point now, std::uint64_t id, operation& it);
    void give_up_claim(time_point now, std::uint64_t id);
    void make_copies(operation& it);
    void release_copies(const operation& it);
    void report_safety(operation& it, bill_safety safety);

    member_info self_;
    ledger_client_options options_;
    ledger_client_hooks hooks_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, operation> operations_;
    std::map<copy_key, held_copy> copies_;
    /// Partitions that did not answer in time; until the given moment their claims fail at once.
    std::map<partition_id, time_point> troubled_;
};

} // namespace runlink::core
