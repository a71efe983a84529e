#include "soak/caller.hpp"

#include <utility>

#include "operator_documents.hpp"
#include "platform/headers.hpp"

namespace runlink::soak
{
namespace
{

std::string format_request(const call& it)
{
    const auto names = platform::platform_headers();
    net::http_request_head head;
    head.method = "POST";
    head.target = it.path;
    head.fields.add("Host", standins::operator_host);
    head.fields.add(names.request_id, it.id);
    head.fields.add(names.key, it.key);
    head.fields.add(names.deadline_ms, std::to_string(it.deadline.count()));
    if (!it.prompt.empty())
        head.fields.add(names.prompt, it.prompt);
    if (it.picks_model)
        head.fields.add(names.model, names.any_model);
    return net::write_request(head, it.body.empty() ? "question of " + it.id : it.body);
}

} // namespace

caller::caller(std::uint16_t port) : port_{port}
{
    for (auto* it : {&deadline_, &leave_timer_})
    {
        it->setSingleShot(true);
        QObject::connect(it, &QTimer::timeout, it,
                         [this]
                         {
                             outcome_.caller_closed = true;
                             keep_alive_ = false;
                             finish();
                         });
    }
}

void caller::start(const call& it, done_handler done)
{
    request_ = format_request(it);
    outcome_ = {};
    events_.reset();
    done_ = std::move(done);
    deadline_.start(it.deadline);
    if (it.close_after.count() > 0)
        leave_timer_.start(it.close_after);
    reader_ = std::make_unique<net::http_response_reader>(net::http_response_reader::handlers{
        [this](const net::http_response_head& head)
        {
            const auto names = platform::platform_headers();
            outcome_.status = head.status.value();
            outcome_.has_digest = head.fields.find(names.digest) != nullptr;
            keep_alive_ = head.keep_alive;
            if (head.framing == net::body_framing::chunked)
                events_ = std::make_unique<net::event_reader>(
                    [this](std::string_view, std::optional<std::uint64_t> id)
                    { outcome_.events.push_back(id.value_or(0)); });
        },
        [this](std::string_view bytes)
        {
            outcome_.body += bytes;
            if (events_)
                events_->feed(bytes);
        },
        [this] { outcome_.is_whole = true; }});
    if (socket_ && socket_->state() == QTcpSocket::ConnectedState)
        return on_connected();
    connect();
}

void caller::connect()
{
    if (socket_)
    {
        socket_->disconnect();
        socket_.release()->deleteLater(); // deleted later because the socket may be emitting a signal
    }
    socket_ = std::make_unique<QTcpSocket>();
    QObject::connect(socket_.get(), &QTcpSocket::connected, socket_.get(), [this] { on_connected(); });
    QObject::connect(socket_.get(), &QTcpSocket::readyRead, socket_.get(), [this] { on_readable(); });
    QObject::connect(socket_.get(), &QTcpSocket::errorOccurred, socket_.get(),
                     [this] { on_connection_error(); });
    socket_->connectToHost(QHostAddress::LocalHost, port_);
}

void caller::on_connected()
{
    if (done_)
        socket_->write(request_.data(), static_cast<qint64>(request_.size()));
}

void caller::on_readable()
{
    const auto bytes = socket_->readAll();
    if (!done_)
        return;
    const auto ec = reader_->feed({bytes.data(), static_cast<std::size_t>(bytes.size())});
    keep_alive_ = keep_alive_ && ec == net::codec_error::none;
    if (outcome_.is_whole)
        finish();
}

void caller::on_connection_error()
{
    if (!done_)
        return;
    keep_alive_ = false;
    finish();
}

void caller::finish()
{
    deadline_.stop();
    leave_timer_.stop();
    if (!std::exchange(keep_alive_, true))
    {
        socket_->disconnect();
        socket_->abort();
        socket_.release()->deleteLater();
    }
    const auto done = std::exchange(done_, nullptr);
    done(outcome_);
}

} // namespace runlink::soak
