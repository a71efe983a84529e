/// \file
/// HTTP server with limits on the size and the duration of requests.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <QAbstractHttpServer>
#include <QHostAddress>
#include <QPointer>
#include <QTcpServer>

#include "runlink/core/failure.hpp"
#include "runlink/net/guarded_socket.hpp"

namespace runlink::net
{

/// Header fields in the order in which they are sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// A completely received request.
struct http_request
{
    std::string method;
    std::string path;
    std::string query; ///< without the question mark
    QByteArray body;
    QList<QPair<QByteArray, QByteArray>> headers;

    /// The value of a header field; empty when it is missing.
    std::string header(const char* name) const;
    bool has_header(const char* name) const;
    std::string query_value(const char* name) const;
};

/// One request and its response. Response data for a client that has disconnected is discarded.
class http_exchange
{
public:
    http_exchange(http_request request, QHttpServerResponder responder, guarded_socket* socket);
    ~http_exchange();
    http_exchange(const http_exchange&) = delete;
    http_exchange& operator=(const http_exchange&) = delete;

    const http_request& request() const { return request_; }
    /// Sets a handler that is called once if the client disconnects before the response has ended.
    void on_left(std::function<void()> handler);

    /// Sends a complete response.
    void send(int status, const header_list& headers, const std::string& body);
    /// Starts a chunked response.
    void begin(int status, const header_list& headers);
    void chunk(const std::string& bytes);
    void end();
    /// Closes the connection without the final chunk, so that the client can detect the incomplete response.
    void abort();
    bool has_begun() const { return begun_; }
    bool is_open() const { return responder_ != nullptr && !socket_.isNull(); }

private:
    void write_head(int status, const header_list& headers);
    void finish();

    http_request request_;
    std::unique_ptr<QHttpServerResponder> responder_;
    QPointer<guarded_socket> socket_;
    QMetaObject::Connection disconnect_handler_;
    bool begun_ = false;
};

using http_handler = std::function<void(std::shared_ptr<http_exchange>)>;

/// Listens on one address and passes every well-formed request to the handler.
class http_server : public QAbstractHttpServer
{
public:
    http_server(http_bounds bounds, http_handler handler);

    /// Returns the port. Fails with `settings_invalid` if the address cannot be used.
    core::result<std::uint16_t> listen(const std::string& host, std::uint16_t port);
    std::size_t connection_count() const { return listener_.connection_count(); }
    /// See `guarded_listener::has_unsent_bytes`.
    bool has_unsent_bytes() const { return listener_.has_unsent_bytes(); }
    /// Number of requests refused because of framing, size or a timeout.
    std::uint64_t refused_count() const { return listener_.refused_count(); }

protected:
    bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override;
    void missingHandler(const QHttpServerRequest& request, QTcpSocket* socket) override;

private:
    http_handler handler_;
    guarded_listener listener_;
};

} // namespace runlink::net
