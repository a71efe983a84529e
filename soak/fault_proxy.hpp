/// \file
/// A TCP proxy on the loopback address that delays, resets, cuts one way and silences connections.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>

#include <QTcpServer>
#include <QTcpSocket>

#include "runlink/core/units.hpp"

namespace runlink::soak
{

/// What a proxy does with connections, those that are open included.
enum class link_fault
{
    none,
    refuse,      ///< new connections are reset
    down,        ///< nothing listens, and what was open is reset: the process behind it has ended
    silent,      ///< no byte passes either way
    cut_answers, ///< requests pass, answers do not
    delay,       ///< bytes pass later
};

/// Passes connections on to one port.
class fault_proxy
{
public:
    explicit fault_proxy(std::uint16_t target);
    ~fault_proxy();
    fault_proxy(const fault_proxy&) = delete;
    fault_proxy& operator=(const fault_proxy&) = delete;

    std::uint16_t port() const { return port_; }
    /// What was held back goes on when the fault ends, unless its connection is gone.
    void set_fault(link_fault it);
    link_fault fault() const { return fault_; }
    void reset_all();
    /// Told by `reset_all`.
    std::function<void()> on_reset = [] {};

    core::milliseconds delay{120};
    core::milliseconds distance{0}; ///< by which bytes pass later at any time

private:
    struct link
    {
        std::unique_ptr<QTcpSocket> near;
        std::unique_ptr<QTcpSocket> far;
        std::deque<QByteArray> waiting_to_far;
        std::deque<QByteArray> waiting_to_near;
    };
    using link_ptr = std::shared_ptr<link>;

    void accept();
    /// Listens at the own port, sooner or later: another connection may be using it for a moment.
    void listen();
    void pass(const link_ptr& it, bool to_far);
    /// Behind all that waits already.
    void write_later(const link_ptr& it, bool to_far, core::milliseconds after, const QByteArray& bytes);
    bool holds(bool to_far) const;
    void end(const link_ptr& it, bool in_order);

    std::uint16_t target_;
    std::uint16_t port_ = 0;
    QTcpServer server_;
    link_fault fault_ = link_fault::none;
    std::map<const link*, link_ptr> links_;
};

} // namespace runlink::soak
