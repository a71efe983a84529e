/// \file
/// Who may hold memory and connections of an instance: one owner of all bytes and connections held for
/// callers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "runlink/core/ids.hpp"
#include "runlink/core/units.hpp"

namespace runlink::core
{

/// What a connection of a caller is doing.
enum class caller_phase
{
    idle,      ///< between two requests
    receiving, ///< a request has been received in part
    waiting,   ///< a whole request waits for its answer
    sending,   ///< the end of an answer waits for the caller to read it
    refused,   ///< its request was refused, and what it still sends is dropped
};

/// Bounds of a `caller_budget`.
struct caller_budget_limits
{
    std::size_t max_bytes = 512 * 1024 * 1024;
    std::size_t max_connections = 16'384;
    /// A connection that holds more than this is large. A quarter of `max_bytes` is not for large ones.
    std::size_t max_ordinary_bytes = 512 * 1024;
    /// Part of `max_bytes` that each connection takes, whatever it does.
    std::size_t connection_bytes = 12 * 1024;
    /// When room is short, a caller that has made no progress for this long gives way to others.
    milliseconds stall_time{1000};

    /// For a process with this much memory and this many descriptors. What the process needs besides callers
    /// is set aside.
    static caller_budget_limits for_process(std::size_t memory_bytes, std::size_t descriptors);
};

/// Which part of the bytes a holder may use.
enum class budget_share
{
    ordinary, ///< all of them
    large,    ///< all but the quarter for ordinary requests
};

/// Decides which connections are admitted, how much each may hold, and which ones give way when room is
/// short.
///
/// Whole requests that wait for their answers never give way. Of the others, those without progress go first;
/// then, when a request needs more room, those that began after it, so that the oldest one can be received to
/// its end. Without shortage nothing gives way.
class caller_budget
{
public:
    /// Whether there is room, and the connections that gave way for it. What these held counts as released,
    /// and idle ones count as closed: the caller of the function must release and close them at once.
    struct decision
    {
        bool is_granted = true;
        std::vector<connection_id> displaced;
    };
    /// Event counters.
    struct counters
    {
        std::uint64_t refused_connections = 0;
        std::uint64_t refused_requests = 0; ///< that there was no room for
        std::uint64_t displaced = 0;
    };

    explicit caller_budget(caller_budget_limits limits = {}) : limits_{limits} {}

    /// A new connection. All that are displaced must be closed; without room, the new one must be closed
    /// unread.
    decision open(time_point now, connection_id id);
    /// The functions below do nothing for a connection that is closed.
    void close(connection_id id);
    /// The connection needs `bytes` in total for its request and its answer. If there is no room, what it
    /// holds stays as it is.
    decision hold(time_point now, connection_id id, std::size_t bytes);
    /// The same for bytes that exist already.
    void hold_anyway(connection_id id, std::size_t bytes);
    /// All answers of endpoints that are not complete, of which the growing one may use `share`.
    decision hold_answers(time_point now, std::size_t bytes, budget_share share);
    void enter(time_point now, connection_id id, caller_phase phase);
    /// The connection's caller has sent or read bytes.
    void progressed(time_point now, connection_id id);

    std::size_t held_bytes() const { return held_bytes_; }
    std::size_t connection_count() const { return holders_.size(); }
    const caller_budget_limits& limits() const { return limits_; }
    const counters& totals() const { return counters_; }
    budget_share share_for(std::size_t bytes) const;

private:
    struct holder
    {
        caller_phase phase = caller_phase::idle;
        std::size_t bytes = 0;
        time_point progressed_at{};
        std::uint64_t began = 0; ///< order in which requests began
    };
    using holder_map = std::map<connection_id, holder>;

    std::size_t limit_of(budget_share share) const;
    void set_bytes(holder& it, std::size_t bytes);
    void insert(const holder_map::value_type& it);
    void remove(const holder_map::value_type& it);
    /// Finds connections that give way until `needed` bytes are released; nothing if they do not suffice.
    std::vector<connection_id> find_bytes(time_point now, std::size_t needed, connection_id needed_by,
                                          budget_share share) const;
    /// The connection that gives way to a new one.
    std::optional<connection_id> find_connection(time_point now) const;
    bool is_stalled(time_point now, const holder& it) const;
    decision make_room(time_point now, std::size_t more, connection_id needed_by, budget_share share);
    void displace(connection_id id);
    void displace_connection(connection_id id);

    caller_budget_limits limits_;
    holder_map holders_;
    /// Connections of each phase by their last progress.
    std::map<caller_phase, std::set<std::pair<time_point, connection_id>>> by_progress_;
    std::set<std::pair<std::uint64_t, connection_id>> receiving_; ///< by the beginning of their requests
    std::size_t answer_bytes_ = 0;
    std::size_t held_bytes_ = 0;
    std::uint64_t requests_ = 0;
    counters counters_;
};

} // namespace runlink::core
