/// \file
/// Client of the ledger: sends operations to the owner of a partition, local or remote.
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

/// Timeouts and limits of the ledger client.
struct ledger_client_options
{
    std::uint64_t partitions = 16;
    milliseconds resend_after{250};
    milliseconds claim_timeout{1000};    ///< after this a claim fails with `ledger_unavailable`
    milliseconds copy_delay{300};        ///< after this a settlement is copied to other failure domains
    std::size_t copies = 2;              ///< copies of a settlement on other instances
    milliseconds settle_timeout{5000};   ///< after this the answer is released although its bill may be lost
    std::size_t max_copies_held = 20000; ///< copies held for other instances; further ones are rejected
    std::size_t max_pending = 20000;     ///< pending operations above which the instance admits no more work
};

/// Dependencies of the ledger client.
struct ledger_client_hooks
{
    std::function<std::optional<member_info>(partition_id)> owner_of;
    /// Submits to a partition that this instance owns.
    std::function<void(time_point, ledger_entry, ledger_reply_handler)> submit_here;
    std::function<void(const member_info&, peer_message)> send;
    /// Returns up to this many members in other failure domains that can hold copies.
    std::function<std::vector<member_info>(std::size_t)> copy_holders;
    std::function<const member_info*(const incarnation_id&)> find_member;
};

/// Durability of a bill at the time the end of the answer is released to the client.
enum class bill_safety
{
    committed, ///< written to the store
    copied,    ///< held by this instance and by peers in other failure domains
    at_risk,   ///< held by this instance only
};

/// Resends claims, settlements and releases until the partition's owner has committed them. Holds copies of
/// settlements for peers and submits them if the peer dies.
class ledger_client
{
public:
    using claim_handler = std::function<void(result<ledger_reply>)>;
    using settle_handler = std::function<void(bill_safety)>;

    ledger_client(member_info self, ledger_client_options options, ledger_client_hooks hooks);

    /// Claims the key of a request. After a timeout the claim fails with `ledger_unavailable`, and the key is
    /// released unless `keep_on_failure` is set.
    void claim(time_point now, ledger_entry entry, bool keep_on_failure, claim_handler handler);
    /// Settles a request. The handler runs once: when the bill is committed or copied, or after
    /// `settle_timeout`.
    void settle(time_point now, ledger_entry entry, settle_handler handler);
    /// Frees the key of a request that did not run.
    void release(time_point now, ledger_entry entry);

    void on_response(const ledger_response& it);
    void on_copy_request(const member_info& sender, const copy_request& it);
    void on_copy_response(const member_info& sender, const copy_response& it);
    void on_copy_release(const copy_release& it);
    /// Submits the settlements that this instance holds as copies for a member that died.
    void on_member_died(time_point now, const member_info& it);
    void tick(time_point now);

    std::size_t pending_count() const { return operations_.size(); }
    bool is_full() const { return operations_.size() >= options_.max_pending; }
    /// Number of settlements that are neither committed nor copied.
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
        std::vector<member_info> holders;   ///< members that were sent a copy
        std::set<incarnation_id> confirmed; ///< holders that confirmed their copy
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
    void fail_claim(time_point now, std::uint64_t id);
    void make_copies(operation& it);
    void release_copies(const operation& it);
    void report_safety(operation& it, bill_safety safety);

    member_info self_;
    ledger_client_options options_;
    ledger_client_hooks hooks_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, operation> operations_;
    std::map<copy_key, held_copy> copies_;
    /// Partitions that did not answer in time, and the time until which claims on them fail immediately.
    std::map<partition_id, time_point> unresponsive_until_;
};

} // namespace runlink::core
