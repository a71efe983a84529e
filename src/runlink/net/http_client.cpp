#include "runlink/net/http_client.hpp"

#include <algorithm>

#include <QIODevice>
#include <QNetworkProxy>
#include <QNetworkRequest>
#include <QUrl>

namespace runlink::net
{
namespace
{

constexpr int calls_per_host = 6;
constexpr int last_network_error = 99;

/// A request body that can be read only once. Qt resends a request when the server closes the connection
/// without a response, unless the body cannot be read a second time.
class single_read_body : public QIODevice
{
public:
    explicit single_read_body(std::string data) : data_{std::move(data)} { open(QIODevice::ReadOnly); }

    bool isSequential() const override { return true; }
    qint64 bytesAvailable() const override
    {
        return static_cast<qint64>(data_.size() - position_) + QIODevice::bytesAvailable();
    }
    bool atEnd() const override { return position_ == data_.size(); }
    bool was_read() const { return position_ > 0; }

protected:
    qint64 readData(char* to, qint64 max) override
    {
        const auto n = std::min<std::size_t>(static_cast<std::size_t>(max), data_.size() - position_);
        std::copy_n(data_.data() + position_, n, to);
        position_ += n;
        return n == 0 ? -1 : static_cast<qint64>(n);
    }
    qint64 writeData(const char*, qint64) override { return -1; }

private:
    std::string data_;
    std::size_t position_ = 0;
};

QNetworkRequest request_of(const http_call& it)
{
    QUrl url;
    url.setScheme("http");
    url.setHost(QString::fromStdString(it.host));
    url.setPort(it.port);
    const auto question = it.path.find('?');
    url.setPath(QString::fromStdString(it.path.substr(0, question)));
    if (question != std::string::npos)
        url.setQuery(QString::fromStdString(it.path.substr(question + 1)));
    QNetworkRequest out{url};
    out.setAttribute(QNetworkRequest::Http2AllowedAttribute, false);
    out.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
    out.setAttribute(QNetworkRequest::CacheLoadControlAttribute, QNetworkRequest::AlwaysNetwork);
    out.setAttribute(QNetworkRequest::DoNotBufferUploadDataAttribute, true);
    out.setRawHeader("Accept-Encoding", "identity");
    for (const auto& [name, value] : it.headers)
        out.setRawHeader(QByteArray::fromStdString(name), QByteArray::fromStdString(value));
    if (it.idle_timeout_ms > 0)
        out.setTransferTimeout(it.idle_timeout_ms);
    return out;
}

/// Status of the response; nothing if there is none yet, or if its number is no status of a final response.
std::optional<core::http_status> status_of(const QNetworkReply& it)
{
    const auto out = core::http_status::from(it.attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt());
    return out && out->is_interim() ? std::nullopt : out;
}

http_answer_head head_of(const QNetworkReply& it)
{
    http_answer_head out;
    out.status = status_of(it);
    out.content_type = it.header(QNetworkRequest::ContentTypeHeader).toString().toStdString();
    for (const auto& [name, value] : it.rawHeaderPairs())
        out.headers.emplace_back(name.toStdString(), value.toStdString());
    return out;
}

} // namespace

struct http_client::call
{
    manager* owner = nullptr;
    std::string host;
    http_call_hooks hooks;
    std::unique_ptr<single_read_body> body;
    QNetworkReply* reply = nullptr;
    bool head_reported = false;
};

std::string http_answer_head::header(const std::string& name) const
{
    const auto same = [&](const auto& it)
    { return QByteArray::fromStdString(it.first).compare(name.c_str(), Qt::CaseInsensitive) == 0; };
    const auto found = std::find_if(headers.begin(), headers.end(), same);
    return found == headers.end() ? std::string{} : found->second;
}

http_client::http_client() = default;

http_client::~http_client()
{
    while (!calls_.empty())
        cancel(calls_.begin()->first);
}

http_client::manager& http_client::manager_for(const std::string& host)
{
    for (auto& it : managers_)
        if (it->running[host] < calls_per_host)
            return *it;
    managers_.push_back(std::make_unique<manager>());
    managers_.back()->access.setProxy(QNetworkProxy::NoProxy);
    return *managers_.back();
}

call_handle http_client::start(const http_call& it, http_call_hooks hooks)
{
    const auto id = next_handle_++;
    auto owned = std::make_unique<call>();
    auto& c = *owned;
    calls_.emplace(id, std::move(owned));
    c.host = it.host + ":" + std::to_string(it.port);
    c.owner = &manager_for(c.host);
    ++c.owner->running[c.host];
    c.hooks = std::move(hooks);
    auto request = request_of(it);
    const auto verb = QByteArray::fromStdString(it.method);
    if (it.method == "POST" || it.method == "PUT")
    {
        request.setHeader(QNetworkRequest::ContentLengthHeader, static_cast<qulonglong>(it.body.size()));
        c.body = std::make_unique<single_read_body>(it.body);
    }
    c.reply = c.owner->access.sendCustomRequest(request, verb, c.body.get());
    QObject::connect(c.reply, &QNetworkReply::readyRead, c.reply, [this, id] { on_ready(id); });
    QObject::connect(c.reply, &QNetworkReply::finished, c.reply, [this, id] { on_finished(id); });
    return id;
}

void http_client::on_ready(call_handle id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    auto& it = *found->second;
    if (!status_of(*it.reply))
        return;
    if (!it.head_reported)
    {
        it.head_reported = true;
        if (it.hooks.head)
            it.hooks.head(head_of(*it.reply));
        if (!calls_.contains(id))
            return;
    }
    if (const auto buf = it.reply->readAll(); !buf.isEmpty() && it.hooks.bytes)
        it.hooks.bytes(buf.toStdString());
}

void http_client::on_finished(call_handle id)
{
    on_ready(id);
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const auto it = std::move(found->second);
    calls_.erase(found);
    http_result out;
    static_cast<http_answer_head&>(out) = head_of(*it->reply);
    const auto error = static_cast<int>(it->reply->error());
    const bool resend_refused = it->reply->error() == QNetworkReply::ContentReSendError;
    out.complete = out.status && !resend_refused && (error == 0 || error > last_network_error);
    out.body_sent = it->body == nullptr || it->body->was_read();
    out.error = error == 0 && !out.status ? "the response has no valid status"
                                          : it->reply->errorString().toStdString();
    release(*it);
    it->hooks.done(out);
}

void http_client::release(call& it)
{
    --it.owner->running[it.host];
    it.reply->deleteLater();
    // The reply may read the body until the reply itself is deleted.
    if (it.body)
        it.body.release()->setParent(it.reply);
}

void http_client::cancel(call_handle id)
{
    const auto found = calls_.find(id);
    if (found == calls_.end())
        return;
    const auto it = std::move(found->second);
    calls_.erase(found);
    it->reply->abort();
    release(*it);
}

void fetch(http_client& client, const http_call& it,
           std::function<void(const http_result&, std::string)> done)
{
    const auto body = std::make_shared<std::string>();
    http_call_hooks hooks;
    hooks.bytes = [body](const std::string& bytes) { *body += bytes; };
    hooks.done = [body, done = std::move(done)](const http_result& r) { done(r, std::move(*body)); };
    client.start(it, std::move(hooks));
}

} // namespace runlink::net
