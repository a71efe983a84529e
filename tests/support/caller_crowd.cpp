#include "support/caller_crowd.hpp"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include <sys/prctl.h>
#include <sys/resource.h>

#include <QTcpServer>

#include "operator_documents.hpp"
#include "support/wait_for.hpp"

namespace runlink::tests
{
namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr qint64 max_unsent_bytes = 256 * 1024;
constexpr milliseconds sample_interval{20};
constexpr milliseconds time_limit{60'000};
/// Longer than the test takes, so that nothing ends by a timeout.
constexpr int long_timeout_ms = 300'000;

std::uint16_t free_port()
{
    QTcpServer it;
    it.listen(QHostAddress::LocalHost, 0);
    return it.serverPort();
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::size_t resident_peak(qint64 process)
{
    std::ifstream in{"/proc/" + std::to_string(process) + "/status"};
    constexpr std::size_t bytes_per_kb = 1024;
    std::string word;
    std::size_t kb = 0;
    while (in >> word)
        if (word == "VmHWM:" && in >> kb)
            return kb * bytes_per_kb;
    return 0;
}

std::size_t descriptor_count(qint64 process)
{
    std::error_code ec;
    const std::filesystem::directory_iterator all{"/proc/" + std::to_string(process) + "/fd", ec};
    return ec ? 0 : static_cast<std::size_t>(std::distance(begin(all), end(all)));
}

/// Bytes in the kernel's queues of all connections of a local port.
std::size_t queued_bytes(std::uint16_t port)
{
    std::ifstream in{"/proc/net/tcp"};
    std::string line;
    std::getline(in, line);
    std::size_t out = 0;
    while (std::getline(in, line))
    {
        std::istringstream fields{line};
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        constexpr const char* listening = "0A"; // its queue counts connections, not bytes
        if (state == listening || std::stoul(local.substr(local.find(':') + 1), nullptr, 16) != port)
            continue;
        const auto colon = queues.find(':');
        out += std::stoul(queues.substr(0, colon), nullptr, 16) +
               std::stoul(queues.substr(colon + 1), nullptr, 16);
    }
    return out;
}

} // namespace

crowd_caller::crowd_caller(std::uint16_t port, const crowd_script& script) : script_{script}
{
    constexpr qint64 smallest_read_buffer = 1;
    socket_.setReadBufferSize(smallest_read_buffer);
    QObject::connect(&socket_, &QTcpSocket::connected, &socket_,
                     [this]
                     {
                         const auto head = script_.head();
                         socket_.write(head.data(), static_cast<qint64>(head.size()));
                         send_more();
                     });
    QObject::connect(&socket_, &QTcpSocket::bytesWritten, &socket_,
                     [this](qint64 n)
                     {
                         sent_ += static_cast<std::size_t>(n);
                         send_more();
                     });
    socket_.connectToHost(QHostAddress::LocalHost, port);
}

void crowd_caller::send_more()
{
    while (is_open() && socket_.bytesToWrite() < max_unsent_bytes &&
           pieces_sent_ * script_.piece.size() < script_.total_bytes)
    {
        socket_.write(script_.piece.data(), static_cast<qint64>(script_.piece.size()));
        ++pieces_sent_;
    }
}

crowded_instance::crowded_instance(crowded_limits limits)
    : limits_{limits}, store_port_{store_.listen()}, endpoint_{[this](const auto& from, const auto& head,
                                                                      const std::string&)
                                                               { answer(from, head); },
                                                               [](const auto& from, net::request_fault)
                                                               { from->reset(); }},
      port_{free_port()}, readiness_port_{free_port()}, peer_port_{free_port()}
{
    net::listener_limits unlimited;
    unlimited.message.max_body_bytes = 2 * max_body_bytes;
    unlimited.header_timeout = unlimited.idle_timeout = core::milliseconds{long_timeout_ms};
    endpoint_.set_limits(unlimited);
    endpoint_port_ = endpoint_.listen("127.0.0.1", 0).value();
    write_configuration();
    write_settings();
    QObject::connect(&sampler_, &QTimer::timeout, &sampler_, [this] { sample(); });
    sampler_.start(sample_interval);
    start();
}

crowded_instance::~crowded_instance()
{
    process_.kill();
    process_.waitForFinished();
}

void crowded_instance::write_configuration()
{
    auto all = standins::make_configuration(1, {"key"});
    for (auto& it : all["routes"])
        it["timeoutMs"] = long_timeout_ms;
    all["limits"] = {{"maxHeaderBytes", 16384},
                     {"maxBodyBytes", max_body_bytes},
                     {"headerTimeoutMs", long_timeout_ms},
                     {"idleTimeoutMs", long_timeout_ms}};
    store_.put(standins::configuration_key, all);
    store_.put(standins::endpoint_key("e1"), {{"service", "app"},
                                              {"address", address(endpoint_port_)},
                                              {"zone", "n"},
                                              {"version", "v1"},
                                              {"slots", 500},
                                              {"state", "ready"},
                                              {"sequence", 1},
                                              {"coldRemainingMs", 0}});
}

void crowded_instance::write_settings() const
{
    const json out{{"instance", {{"id", "i0"}, {"failure_domain", "n"}, {"memory_mb", limits_.memory_mb}}},
                   {"listen",
                    {{"callers", address(port_)},
                     {"readiness", address(readiness_port_)},
                     {"peers", address(peer_port_)}}},
                   {"store", address(store_port_)},
                   {"bounds", {{"retry_ratio", 1.0}, {"retry_slack", 10}}}};
    std::ofstream{directory_.filePath("i0.json").toStdString()} << out.dump(2);
}

void crowded_instance::start()
{
    process_.setStandardOutputFile(directory_.filePath("i0.log"));
    process_.setStandardErrorFile(directory_.filePath("i0.err"));
    process_.setChildProcessModifier(
        [n = limits_.descriptors]
        {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            const rlimit limit{n, n};
            setrlimit(RLIMIT_NOFILE, &limit);
        });
    process_.start(RUNLINK_GATEWAY, {"--settings", directory_.filePath("i0.json")});
    const auto is_serving = [this] { return call_ordinary() == 200; };
    if (!process_.waitForStarted() || !wait_for(is_serving, time_limit))
        throw std::runtime_error{"the instance does not serve"};
}

void crowded_instance::answer(const std::shared_ptr<net::caller_connection>& to,
                              const net::http_request_head& head)
{
    if (head.target.starts_with("/pay/hang/"))
        return;
    net::http_fields fields;
    if (const auto* id = head.fields.find("X-Runlink-Attempt-Id"))
        fields.add("X-Runlink-Attempt-Id", *id);
    fields.add("X-Runlink-Server-Seal", "s");
    const std::size_t n = head.target.starts_with("/pay/large/") ? large_answer_bytes : 2;
    to->write(net::write_response(200, fields, std::string(n, 'a')));
    to->finish(false);
}

void crowded_instance::sample()
{
    const auto id = process_.processId();
    if (id == 0)
        return;
    peak_.memory_bytes = std::max(peak_.memory_bytes, resident_peak(id));
    peak_.unread_bytes = std::max(peak_.unread_bytes, queued_bytes(port_));
    peak_.descriptors = std::max(peak_.descriptors, descriptor_count(id));
}

std::size_t crowded_instance::bytes_sent() const
{
    std::size_t out = 0;
    for (const auto& it : callers_)
        out += it->sent_bytes() + (it->is_open() ? 1 : 0);
    return out;
}

void crowded_instance::crowd(std::size_t count, const crowd_script& script)
{
    const auto& own = scripts_.emplace_back(script);
    for (std::size_t n = 0; n < count; ++n)
        callers_.push_back(std::make_unique<crowd_caller>(port_, own));
    constexpr milliseconds quiet{1000};
    auto sent = bytes_sent();
    const auto makes_progress = [&] { return wait_for([&] { return bytes_sent() != sent; }, quiet); };
    while (is_running() && makes_progress())
        sent = bytes_sent();
}

std::string crowded_instance::head(const std::string& path) const
{
    return "POST " + path + " HTTP/1.1\r\nHost: " + standins::operator_host +
           "\r\nX-Api-Key: key\r\nX-Runlink-Deadline-Ms: " + std::to_string(long_timeout_ms) +
           "\r\nX-Runlink-Attempt-Id: r" + std::to_string(next_request_++) + "\r\n";
}

int crowded_instance::call(const std::string& path, const std::string& framing_field,
                           const std::string& framed_body)
{
    QTcpSocket socket;
    std::string received;
    QObject::connect(&socket, &QTcpSocket::readyRead, &socket,
                     [&] { received += socket.readAll().toStdString(); });
    const auto bytes = head(path) + framing_field + "\r\n\r\n" + framed_body;
    QObject::connect(&socket, &QTcpSocket::connected, &socket,
                     [&] { socket.write(bytes.data(), static_cast<qint64>(bytes.size())); });
    socket.connectToHost(QHostAddress::LocalHost, port_);
    constexpr std::size_t status_at = 9;
    constexpr std::size_t status_end = 12;
    const auto is_over = [&]
    { return received.size() >= status_end || socket.state() == QAbstractSocket::UnconnectedState; };
    wait_for(is_over, milliseconds{20'000});
    return received.size() < status_end ? 0 : std::stoi(received.substr(status_at, status_end - status_at));
}

int crowded_instance::call_ordinary()
{
    const std::string body(2000, 'x');
    return call("/pay/ordinary", "Content-Length: " + std::to_string(body.size()), body);
}

} // namespace runlink::tests
