#include "runlink/net/http_server.hpp"

#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QUrl>
#include <QUrlQuery>

namespace runlink::net
{
namespace
{

std::string method_name(QHttpServerRequest::Method it)
{
    switch (it)
    {
    case QHttpServerRequest::Method::Get: return "GET";
    case QHttpServerRequest::Method::Put: return "PUT";
    case QHttpServerRequest::Method::Delete: return "DELETE";
    case QHttpServerRequest::Method::Post: return "POST";
    case QHttpServerRequest::Method::Head: return "HEAD";
    default: return "OTHER";
    }
}

http_request copy_of(const QHttpServerRequest& from)
{
    const auto url = from.url();
    http_request to;
    to.method = method_name(from.method());
    to.path = url.path().toStdString();
    to.query = url.query(QUrl::FullyEncoded).toStdString();
    to.body = from.body();
    to.headers = from.headers();
    return to;
}

} // namespace

std::string http_request::header(const char* name) const
{
    for (const auto& [key, value] : headers)
        if (key.compare(name, Qt::CaseInsensitive) == 0)
            return value.toStdString();
    return {};
}

bool http_request::has_header(const char* name) const
{
    for (const auto& [key, unused] : headers)
        if (key.compare(name, Qt::CaseInsensitive) == 0)
            return true;
    return false;
}

std::string http_request::query_value(const char* name) const
{
    const QUrlQuery parsed{QString::fromStdString(query)};
    return parsed.queryItemValue(name, QUrl::FullyDecoded).toStdString();
}

http_exchange::http_exchange(http_request request, QHttpServerResponder responder, guarded_socket* socket)
    : request_{std::move(request)},
      responder_{std::make_unique<QHttpServerResponder>(std::move(responder))}, socket_{socket}
{
}

http_exchange::~http_exchange()
{
    QObject::disconnect(disconnect_handler_);
    if (is_open())
        abort();
}

void http_exchange::on_left(std::function<void()> handler)
{
    if (!is_open())
        return;
    disconnect_handler_ = QObject::connect(socket_, &QTcpSocket::disconnected, socket_,
                                           [this, handler = std::move(handler)]
                                           {
                                               const auto call = handler;
                                               QObject::disconnect(disconnect_handler_);
                                               responder_.reset();
                                               call();
                                           });
}

void http_exchange::write_head(int status, const header_list& headers)
{
    begun_ = true;
    responder_->writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(status));
    for (const auto& [name, value] : headers)
        responder_->writeHeader(QByteArray::fromStdString(name), QByteArray::fromStdString(value));
}

void http_exchange::send(int status, const header_list& headers, const std::string& body)
{
    if (!is_open())
        return;
    auto all = headers;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    write_head(status, all);
    responder_->writeBody(body.data(), static_cast<qint64>(body.size()));
    finish();
}

void http_exchange::begin(int status, const header_list& headers)
{
    if (!is_open())
        return;
    auto all = headers;
    all.emplace_back("Transfer-Encoding", "chunked");
    write_head(status, all);
    responder_->writeBody(QByteArray{});
}

void http_exchange::chunk(const std::string& bytes)
{
    if (!is_open() || bytes.empty())
        return;
    const auto max_unsent = static_cast<qint64>(socket_->bounds().max_unsent_bytes);
    if (socket_->bytesToWrite() > max_unsent)
        return abort();
    QByteArray buf = QByteArray::number(static_cast<qulonglong>(bytes.size()), 16);
    buf += "\r\n";
    buf += QByteArray::fromStdString(bytes);
    buf += "\r\n";
    responder_->writeBody(buf);
}

void http_exchange::end()
{
    if (!is_open())
        return;
    responder_->writeBody("0\r\n\r\n");
    finish();
}

void http_exchange::finish()
{
    QObject::disconnect(disconnect_handler_);
    responder_.reset();
    socket_->answered();
}

void http_exchange::abort()
{
    if (!is_open())
        return;
    // Closes the connection after the written bytes, without the final chunk of the response.
    const auto socket = socket_;
    socket->disconnectFromHost();
}

http_server::http_server(http_bounds bounds, http_handler handler)
    : handler_{std::move(handler)}, listener_{bounds}
{
}

core::result<std::uint16_t> http_server::listen(const std::string& host, std::uint16_t port)
{
    if (!listener_.listen(QHostAddress{QString::fromStdString(host)}, port))
        return core::failure{core::errc::settings_invalid, host + ":" + std::to_string(port) + ": " +
                                                               listener_.errorString().toStdString()};
    bind(&listener_);
    return listener_.serverPort();
}

bool http_server::handleRequest(const QHttpServerRequest& request, QTcpSocket* socket)
{
    auto* guarded = static_cast<guarded_socket*>(socket); // the listener creates only guarded sockets
    handler_(std::make_shared<http_exchange>(copy_of(request), makeResponder(request, socket), guarded));
    return true;
}

void http_server::missingHandler(const QHttpServerRequest& request, QTcpSocket* socket)
{
    (void)request;
    socket->disconnectFromHost();
}

} // namespace runlink::net
