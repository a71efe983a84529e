#include "support/served_gateway.hpp"

#include <array>

#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

namespace runlink::tests
{
namespace
{

constexpr core::milliseconds tick_interval{10};
constexpr qint64 read_buffer_bytes = 16 * 1024;

routing::forwarder_options options()
{
    routing::forwarder_options out;
    out.max_key_age = std::nullopt;
    return out;
}

} // namespace

void reset(QTcpSocket& socket)
{
    socket.flush();
    const linger now{1, 0};
    setsockopt(static_cast<int>(socket.socketDescriptor()), SOL_SOCKET, SO_LINGER, &now, sizeof now);
    socket.abort();
}

scripted_endpoint::scripted_endpoint(script on_request) : on_request_{std::move(on_request)}
{
    server_.listen(QHostAddress::LocalHost, 0);
    QObject::connect(&server_, &QTcpServer::newConnection, &server_, [this] { accept_all(); });
}

void scripted_endpoint::accept_all()
{
    while (auto* socket = server_.nextPendingConnection())
    {
        socket->setReadBufferSize(read_buffer_bytes);
        QObject::connect(socket, &QTcpSocket::readyRead, socket,
                         [this, socket, is_answered = false]() mutable
                         {
                             if (is_answered || !socket->peek(read_buffer_bytes).contains("\r\n\r\n"))
                                 return;
                             is_answered = true;
                             ++requests;
                             on_request_(*socket);
                         });
    }
}

served_gateway::served_gateway(const routing::route& declared)
    : log_fd_{memfd_create("log", MFD_CLOEXEC)}, log_{log_fd_, {}, "i", [] { return std::int64_t{0}; }},
      gateway_{{}, {}, log_, metrics_, [] { return core::runtime_clock::now(); }},
      forwarder_{options(), core::failure_domain_id{"n"}, core::instance_id{"i"}, gateway_.hooks()}
{
    gateway_.attach(forwarder_);
    routing::service it;
    it.id = declared.services.at(0).service;
    it.max_connections = 100;
    forwarder_.apply(std::make_shared<const routing::routing_table>(1, std::vector{declared}, std::vector{it},
                                                                    std::vector<routing::account>{},
                                                                    routing::caller_limits{}));
    forwarder_.proven_current(core::runtime_clock::now());
    forwarder_.own_retry_share().on_listed(core::runtime_clock::now() - core::seconds{60});
    port_ = gateway_.listen("127.0.0.1", 0).value();
    QObject::connect(&timer_, &QTimer::timeout, &timer_, [this] { tick(); });
    timer_.start(tick_interval);
}

void served_gateway::tick()
{
    const auto now = core::runtime_clock::now();
    forwarder_.proven_current(now);
    forwarder_.tick(now);
    gateway_.listener().check_timeouts();
}

void served_gateway::add_endpoint(const std::string& name, std::uint16_t port)
{
    routing::endpoint_entry out;
    out.name = core::endpoint_name{name};
    out.id = routing::endpoint_id_of(out.name, {});
    out.service = core::service_id{"s"};
    out.version = core::version_id{"v1"};
    out.failure_domain = core::failure_domain_id{"n"};
    out.host = "127.0.0.1";
    out.port = port;
    out.slots = 8;
    forwarder_.on_endpoint(core::runtime_clock::now(), out);
}

std::unique_ptr<outcome> served_gateway::send(const std::string& id, std::size_t body_bytes,
                                              core::milliseconds deadline, const net::http_fields& more)
{
    net::http_request_head head;
    head.method = "POST";
    head.target = "/x";
    head.fields.add("Host", "h");
    head.fields.add(gateway::header_names{}.request_id, id);
    head.fields.add(gateway::header_names{}.deadline_ms, std::to_string(deadline.count()));
    for (const auto& it : more)
        head.fields.add(it.name, it.value);
    auto out = std::make_unique<outcome>();
    callers_.send(peer_address{"127.0.0.1", port_}, net::write_request(head, std::string(body_bytes, 'x')),
                  {}, out->hooks());
    return out;
}

outcome served_gateway::call(const std::string& id, std::size_t body_bytes, const net::http_fields& more)
{
    const auto it = send(id, body_bytes, core::seconds{8}, more);
    wait_for([&] { return it->over(); });
    return *it;
}

std::string served_gateway::log() const
{
    const_cast<observe::decision_log&>(log_).flush();
    std::string out(static_cast<std::size_t>(lseek(log_fd_, 0, SEEK_END)), '\0');
    out.resize(static_cast<std::size_t>(std::max<ssize_t>(pread(log_fd_, out.data(), out.size(), 0), 0)));
    return out;
}

routing::route route_of(routing::route_kind kind, std::uint32_t max_attempts)
{
    routing::route out;
    out.name = "r";
    out.host = "h";
    out.path_prefix = "/x";
    out.kind = kind;
    out.max_attempts = max_attempts;
    out.resumable = kind == routing::route_kind::streaming;
    out.services = {{core::service_id{"s"}, 1}};
    return out;
}

std::string answer_head(const std::string& request_id)
{
    const gateway::header_names names;
    return "HTTP/1.1 200 OK\r\n" + names.request_id + ": " + request_id + "\r\n" + names.digest + ": d\r\n";
}

} // namespace runlink::tests
