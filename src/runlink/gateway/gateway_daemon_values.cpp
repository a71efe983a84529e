// Large values of the store, handed on between instances.

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

#include <QByteArray>
#include <QtEndian>

#include "runlink/core/hash.hpp"
#include "runlink/gateway/gateway_daemon.hpp"

namespace runlink::gateway
{
namespace
{

/// Instances that get a value from no other one read it from the store at different times within this range,
/// because the store limits its calls per second.
constexpr std::uint64_t max_fetch_delay_ms = 300;
/// The fastest level, since the processors are small.
constexpr int compression_level = 1;
/// A value that claims to be larger is damaged.
constexpr std::uint32_t max_value_bytes = 16 * 1024 * 1024;

std::string compress(const std::string& value)
{
    const auto bytes = qCompress(reinterpret_cast<const uchar*>(value.data()),
                                 static_cast<qsizetype>(value.size()), compression_level);
    return bytes.toStdString();
}

/// Returns nothing if the value is damaged.
std::optional<std::string> decompress(const std::string& value)
{
    // Qt's format starts with the uncompressed length.
    if (value.size() < sizeof(std::uint32_t) || qFromBigEndian<std::uint32_t>(value.data()) > max_value_bytes)
        return std::nullopt;
    const auto bytes =
        qUncompress(reinterpret_cast<const uchar*>(value.data()), static_cast<qsizetype>(value.size()));
    if (bytes.isEmpty())
        return std::nullopt;
    return bytes.toStdString();
}

} // namespace

control::part_source_options gateway_daemon::part_options() const
{
    control::part_source_options out;
    out.link_mbps = settings_.link_mbps;
    return out;
}

control::part_source_hooks gateway_daemon::part_hooks()
{
    control::part_source_hooks out;
    out.find = [this](const std::string& key) { return relay_.history().item(key); };
    out.compress = compress;
    out.send = [this](const core::instance_id& to, const control::value_part& it)
    { gossip_.send_to({to}, it); };
    return out;
}

control::download_hooks gateway_daemon::download_hooks()
{
    control::download_hooks out;
    out.ask = [this](const core::instance_id& to, const control::part_request& it)
    { gossip_.send_to({to}, it); };
    out.done = [this](core::time_point now, const control::received_value& it) { on_value(now, it); };
    out.failed = [this](core::time_point now, const control::wanted_value& it, std::string_view why)
    {
        log_.write(now, observe::log_line{"value_not_received"}.text("key", it.key).text("reason", why),
                   observe::log_rank::notable);
        read_configuration_soon(now);
    };
    return out;
}

void gateway_daemon::on_value(core::time_point now, const control::received_value& it)
{
    const auto value = decompress(it.bytes);
    observe::log_line line{"value_received"};
    line.text("key", it.key)
        .number("revision", static_cast<std::int64_t>(it.revision.number))
        .number("bytes", static_cast<std::int64_t>(it.bytes.size()))
        .number("elapsed_ms", std::chrono::floor<core::milliseconds>(it.elapsed).count());
    if (!value)
        line.text("reason", "damaged");
    log_.write(now, line, observe::log_rank::notable);
    if (!value)
        return read_configuration_soon(now);
    follower_.take_configuration(now, {it.key, *value, it.revision});
}

void gateway_daemon::read_configuration_soon(core::time_point now)
{
    const auto delay = core::stable_hash(settings_.id.str()) % max_fetch_delay_ms;
    follower_.prove_soon(now, core::milliseconds{static_cast<core::milliseconds::rep>(delay)});
}

void gateway_daemon::fetch_values(core::time_point now, const std::vector<control::omitted_value>& all,
                                  const std::vector<core::instance_id>& from)
{
    for (const auto& it : all)
        if (it.key != binding_.documents.configuration_key)
            return follower_.list_again();
    if (!all.empty())
        download_.start(now, {all.back().key, all.back().revision}, from);
}

} // namespace runlink::gateway
