#include "kv_standin.hpp"

#include <utility>

#include <QByteArray>
#include <QUrlQuery>

namespace runlink::standins
{
namespace
{

using nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_not_found = 404;
constexpr int status_gone = 410;
constexpr int status_condition_failed = 412;
constexpr int status_unavailable = 503;

std::string base64(const std::string& it)
{
    return QByteArray::fromStdString(it).toBase64().toStdString();
}

} // namespace

kv_standin::kv_standin()
    : listener_{[this](const connection_ptr& from, const net::http_request_head& head,
                       const std::string& body) { on_request(from, head, body); },
                [](const connection_ptr& from, net::request_fault) { from->reset(); }}
{
}

std::uint16_t kv_standin::listen()
{
    return listener_.listen("127.0.0.1", 0).value();
}

void kv_standin::put(const std::string& key, const json& value)
{
    items_[key] = {value.dump(), ++revision_};
    record_change(key);
}

void kv_standin::remove(const std::string& key)
{
    items_.erase(key);
    ++revision_;
    record_change(key);
}

kv_standin::snapshot kv_standin::take_snapshot() const
{
    return {items_, revision_};
}

void kv_standin::restore(const snapshot& from)
{
    items_ = from.items;
    revision_ = from.revision;
    ++era_;
    leases_.clear();
    std::erase_if(history_, [&](const auto& it) { return it.first > revision_; });
    for (const auto& it : std::exchange(watches_, {}))
        it.connection->reset();
}

json kv_standin::value(const std::string& key) const
{
    const auto found = items_.find(key);
    return found == items_.end() ? json{} : json::parse(found->second.value);
}

std::size_t kv_standin::calls(const std::string& path) const
{
    const auto found = calls_.find(path);
    return found == calls_.end() ? 0 : found->second;
}

void kv_standin::record_change(const std::string& key)
{
    history_.emplace_back(revision_, key);
    const auto waiting = std::exchange(watches_, {});
    for (const auto& it : waiting)
        on_watch(it.connection, it.after);
}

json kv_standin::item_json(const std::string& key) const
{
    const auto found = items_.find(key);
    if (found == items_.end())
        return {{"key", key}, {"revision", 0}};
    return {{"key", key},
            {"value", base64(found->second.value)},
            {"revision", found->second.revision},
            {"created", found->second.revision},
            {"lease", 0}};
}

json kv_standin::changes_since(std::uint64_t after) const
{
    json out = json::array();
    for (const auto& [revision, key] : history_)
    {
        if (revision <= after)
            continue;
        if (items_.contains(key))
            out.push_back(item_json(key));
        else
            out.push_back({{"key", key}, {"revision", revision}, {"deleted", true}});
    }
    return out;
}

void kv_standin::answer(const connection_ptr& to, int status, const json& body)
{
    net::http_fields fields;
    fields.add("Store-Era", std::to_string(era_));
    to->write(net::write_response(status, fields, body.dump()));
    to->finish(false);
}

void kv_standin::on_watch(const connection_ptr& from, std::uint64_t after)
{
    if (after < oldest_watch_revision_ || after > revision_)
        return answer(from, status_gone, json::object());
    const auto events = changes_since(after);
    if (events.empty())
        return watches_.push_back({from, after});
    answer(from, status_ok, {{"events", events}, {"currentRev", revision_}});
}

void kv_standin::on_transaction(const connection_ptr& from, const json& in)
{
    json failed = json::array();
    for (const auto& it : in.at("expectedRevision"))
    {
        const auto now = item_json(it.at("key"));
        if (now.at("revision") != it.at("revision"))
            failed.push_back(now);
    }
    if (!failed.empty())
        return answer(from, status_condition_failed, {{"items", failed}});
    for (const auto& it : in.at("writes"))
    {
        const auto bytes = QByteArray::fromBase64(QByteArray::fromStdString(it.at("value")));
        items_[it.at("key")] = {bytes.toStdString(), ++revision_};
        if (const auto found = leases_.find(it.value("lease", std::uint64_t{0})); found != leases_.end())
            found->second.keys.insert(it.at("key").get<std::string>());
        record_change(it.at("key"));
    }
    if (answers != mode::lose_answers)
        return answer(from, status_ok, {{"revision", revision_}});
    from->reset();
}

void kv_standin::on_grant(const connection_ptr& from, const json& in)
{
    const auto id = next_lease_++;
    auto& it = leases_[id];
    it.ttl = core::milliseconds{in.at("ttlMs").get<core::milliseconds::rep>()};
    it.timer = std::make_unique<QTimer>();
    it.timer->setSingleShot(true);
    QObject::connect(it.timer.get(), &QTimer::timeout, it.timer.get(), [this, id] { end_lease(id); });
    it.timer->start(it.ttl);
    answer(from, status_ok, {{"lease", id}, {"ttlMs", it.ttl.count()}});
}

void kv_standin::on_renewal(const connection_ptr& from, std::uint64_t id)
{
    const auto found = leases_.find(id);
    if (found == leases_.end())
        return answer(from, status_not_found, json::object());
    found->second.timer->start(found->second.ttl);
    answer(from, status_ok, {{"lease", id}, {"ttlMs", found->second.ttl.count()}});
}

void kv_standin::end_lease(std::uint64_t id)
{
    auto ended = leases_.extract(id);
    // The timer is still emitting the signal that called this function.
    ended.mapped().timer.release()->deleteLater();
    for (const auto& key : ended.mapped().keys)
        remove(key);
}

void kv_standin::on_request(const connection_ptr& from, const net::http_request_head& head,
                            const std::string& body)
{
    const auto target = QString::fromStdString(head.target);
    const auto path = target.section('?', 0, 0).toStdString();
    const QUrlQuery query{target.section('?', 1)};
    ++calls_[path];
    if (answers == mode::silent)
        return;
    if (answers == mode::refuse)
        return answer(from, status_unavailable, json::object());
    if (path == "/-/kv-range")
    {
        json items = json::array();
        for (const auto& [key, it] : items_)
            items.push_back(item_json(key));
        return answer(from, status_ok, {{"items", items}, {"morePages", false}, {"currentRev", revision_}});
    }
    if (path == "/-/kv-watch")
        return on_watch(from, query.queryItemValue("after").toULongLong());
    if (path == "/-/kv-txn")
        return on_transaction(from, json::parse(body));
    if (path == "/-/kv-lease")
        return on_grant(from, json::parse(body));
    if (constexpr std::string_view keep = "/-/kv-keep/"; path.starts_with(keep))
        return on_renewal(from, std::stoull(path.substr(keep.size())));
    answer(from, status_not_found, json::object());
}

} // namespace runlink::standins
