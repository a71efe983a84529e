#include "support/process_group.hpp"

#include <csignal>
#include <fstream>
#include <stdexcept>

#include <unistd.h>

#include <QTcpServer>

#include "runlink/app/caller_request_reader.hpp"
#include "runlink/proto/codec.hpp"
#include "support/event_loop.hpp"

namespace runlink::tests
{
namespace
{

using nlohmann::json;

constexpr const char* local = "127.0.0.1";

/// A loopback address of this process's own. Ports that are free there stay so while an instance does not
/// run: other test runs and outgoing connections use other addresses.
std::string own_address()
{
    constexpr std::uint32_t first = 0x7f400000; // 127.64.0.0
    constexpr std::uint32_t count = 1U << 22U;  // above the largest process id
    return QHostAddress{first + static_cast<std::uint32_t>(getpid()) % count}.toString().toStdString();
}

/// Different free ports: all are drawn before the first is released.
std::vector<std::uint16_t> free_ports(const std::string& address, std::size_t count)
{
    std::vector<QTcpServer> servers(count);
    std::vector<std::uint16_t> out;
    for (auto& it : servers)
    {
        it.listen(QHostAddress{QString::fromStdString(address)});
        out.push_back(it.serverPort());
    }
    return out;
}

void throw_unless(bool holds, const char* what)
{
    if (!holds)
        throw std::runtime_error{what};
}

} // namespace

process_group::process_group(int instances, int engines) : address_{own_address()}
{
    platform_ = start_standin(RUNLINK_STANDIN_PLATFORM, {});
    service_ = start_standin(RUNLINK_STANDIN_ENDPOINT, {});
    for (int n = 0; n < engines; ++n)
        engines_.push_back(
            start_standin(RUNLINK_STANDIN_ENDPOINT, {"--incarnation", QString::number(100 + n)}));
    const auto ports = free_ports(address_, 2 * static_cast<std::size_t>(instances));
    for (std::size_t n = 0; n < ports.size(); n += 2)
        instances_.push_back({nullptr, ports[n], ports[n + 1]});
    for (int n = 0; n < instances; ++n)
        start_instance(n);
    apply({{"configuration", first_configuration()}});
    wait_until_ready();
}

process_group::~process_group()
{
    for (auto& it : instances_)
        if (it.process)
        {
            ::kill(static_cast<pid_t>(it.process->processId()), SIGCONT);
            it.process->kill();
            it.process->waitForFinished();
        }
    for (auto* it : {&platform_, &service_})
    {
        it->process->kill();
        it->process->waitForFinished();
    }
    for (auto& it : engines_)
    {
        it.process->kill();
        it.process->waitForFinished();
    }
}

process_group::started process_group::start_standin(const char* program, const QStringList& arguments)
{
    started it{std::make_unique<QProcess>(), 0, 0};
    it.process->start(program, arguments);
    throw_unless(it.process->waitForReadyRead(), "a stand-in process did not start");
    const auto line = it.process->readLine().trimmed();
    it.port = line.mid(line.lastIndexOf(':') + 1).toUShort();
    return it;
}

std::string process_group::settings_path(int n) const
{
    return directory_.filePath(QString{"settings-%1.json"}.arg(n)).toStdString();
}

void process_group::write_settings(int n)
{
    json seeds = json::array();
    for (const auto& it : instances_)
        seeds.push_back(address_ + ":" + std::to_string(it.peer_port));
    const auto& it = instances_.at(n);
    const json doc{
        {"deployment", "test"},
        {"instance", {{"id", "i" + std::to_string(n)}, {"failure_domain", "d" + std::to_string(n)}}},
        {"listen",
         {{"callers", address_ + ":" + std::to_string(it.port)},
          {"peers", address_ + ":" + std::to_string(it.peer_port)}}},
        {"seeds", seeds},
        {"expected_instances", instances_.size()},
        {"store", {{"host", local}, {"port", platform_.port}, {"timeout_ms", 300}}},
        {"platform", {{"host", local}, {"port", platform_.port}}},
        {"secrets_environment", "RUNLINK_TEST_SECRETS"},
        {"operator_key_hashes", {app::sha256_hex("operator-key")}},
        {"balancer_wait_ms", 300}};
    std::ofstream{settings_path(n)} << doc.dump(2);
}

void process_group::start_instance(int n)
{
    write_settings(n);
    auto& it = instances_.at(n);
    it.process = std::make_unique<QProcess>();
    auto environment = QProcessEnvironment::systemEnvironment();
    environment.insert("RUNLINK_TEST_SECRETS", "secret");
    it.process->setProcessEnvironment(environment);
    it.process->setProcessChannelMode(QProcess::ForwardedErrorChannel);
    it.process->setStandardErrorFile(directory_.filePath(QString{"log-%1"}.arg(n)), QIODevice::Append);
    it.process->start(RUNLINK_DAEMON, {"--settings", QString::fromStdString(settings_path(n))});
    throw_unless(it.process->waitForStarted(), "an instance process did not start");
    throw_unless(net::run_until([&] { return get(n, "/healthz")->result.status == 200; }),
                 "an instance did not answer /healthz");
}

void process_group::signal_instance(int n, int signal)
{
    ::kill(static_cast<pid_t>(instance(n).processId()), signal);
}

void process_group::kill_instance(int n)
{
    instance(n).kill();
    instance(n).waitForFinished();
    instances_.at(n).process.reset();
}

bool process_group::is_ready(int n)
{
    return get(n, "/readyz")->result.status == 200;
}

void process_group::wait_until_ready()
{
    for (std::size_t n = 0; n < instances_.size(); ++n)
        throw_unless(net::run_until([&] { return is_ready(static_cast<int>(n)); }),
                     "an instance did not become ready");
    const auto sees_all = [&](std::size_t n)
    {
        std::size_t ready = 0;
        const auto seen = status(static_cast<int>(n));
        for (const auto& it : seen.at("members"))
            ready += it.at("ready").get<bool>() ? 1 : 0;
        return ready == instances_.size();
    };
    for (std::size_t n = 0; n < instances_.size(); ++n)
        throw_unless(net::run_until([&] { return sees_all(n); }),
                     "the instances did not discover each other");
}

std::uint16_t process_group::port_of(int endpoint) const
{
    if (endpoint == -1)
        return platform_.port;
    return endpoint == -2 ? service_.port : engines_.at(static_cast<std::size_t>(endpoint)).port;
}

json process_group::control(int endpoint, const json& switches)
{
    return json::parse(await(send(local, port_of(endpoint), "POST", "/control", switches.dump(), {}))->body);
}

json process_group::counts(int endpoint)
{
    return json::parse(await(send(local, port_of(endpoint), "GET", "/control", "", {}))->body);
}

void process_group::list_instances(const json& list)
{
    await(send(local, platform_.port, "POST", "/control/instances", list.dump(), {}));
}

answer_ptr process_group::send(const std::string& host, std::uint16_t port, const std::string& method,
                               const std::string& path, const std::string& body, net::header_list headers)
{
    net::http_call it;
    it.method = method;
    it.host = host;
    it.port = port;
    it.path = path;
    it.body = body;
    it.headers = std::move(headers);
    auto out = std::make_shared<http_answer>();
    fetch(client_, it,
          [out](const net::http_result& result, std::string text)
          {
              out->result = result;
              out->body = std::move(text);
              out->done = true;
          });
    return out;
}

answer_ptr process_group::await(answer_ptr it)
{
    throw_unless(net::run_until([&] { return it->done; }), "an HTTP call was not answered");
    return it;
}

answer_ptr process_group::start_call(int instance, const std::string& path, const std::string& body,
                                     net::header_list headers, const std::string& key)
{
    headers.emplace_back("Authorization", "Bearer " + key);
    headers.emplace_back("Content-Type", "application/json");
    return send(address_, port_of_instance(instance), "POST", path, body, std::move(headers));
}

answer_ptr process_group::call(int instance, const std::string& path, const std::string& body,
                               net::header_list headers, const std::string& key)
{
    return await(start_call(instance, path, body, std::move(headers), key));
}

answer_ptr process_group::get(int instance, const std::string& path, const std::string& key)
{
    return await(
        send(address_, port_of_instance(instance), "GET", path, "", {{"Authorization", "Bearer " + key}}));
}

json process_group::status(int instance)
{
    return json::parse(get(instance, "/v1/status")->body);
}

void process_group::apply(const json& intent)
{
    const auto plan = call(0, "/v1/intents", intent.dump(), {}, "operator-key");
    throw_unless(plan->result.status == 200, plan->body.c_str());
    const auto confirmed = call(0, "/v1/plans", plan->body, {}, "operator-key");
    throw_unless(confirmed->result.status == 200, confirmed->body.c_str());
    const auto revision = json::parse(confirmed->body).at("revision");
    const auto everywhere = [&]
    {
        for (std::size_t n = 0; n < instances_.size(); ++n)
            if (instances_[n].process && status(static_cast<int>(n)).at("revision") < revision)
                return false;
        return true;
    };
    throw_unless(net::run_until(everywhere), "a configuration was not applied by every instance");
}

json process_group::first_configuration() const
{
    json endpoints = json::array();
    for (std::size_t n = 0; n < engines_.size(); ++n)
        endpoints.push_back({{"name", "e" + std::to_string(n)},
                             {"host", local},
                             {"port", engines_[n].port},
                             {"failure_domain", "d" + std::to_string(n)},
                             {"versions", {"review/r1", "review/r2"}}});
    const json service{{"name", "s0"}, {"host", local}, {"port", service_.port}, {"failure_domain", "d0"}};
    return {{"deployment", "test"},
            {"accounts", json::array({{{"name", "office"},
                                       {"key_hashes", {app::sha256_hex("office-key")}},
                                       {"allow", {"review/*"}},
                                       {"services", {"transfer"}}},
                                      {{"name", "branch"},
                                       {"key_hashes", {app::sha256_hex("branch-key")}},
                                       {"allow", {"review/r1"}}}})},
            {"models",
             json::array(
                 {{{"name", "review"},
                   {"versions",
                    json::array({{{"name", "r1"}, {"cost_per_1k_tokens", 1000}},
                                 {{"name", "r2"}, {"state", "withdrawn"}, {"cost_per_1k_tokens", 500}}})}}})},
            {"pools", json::array({{{"name", "engines"}, {"endpoints", endpoints}},
                                   {{"name", "transfer"}, {"endpoints", json::array({service})}}})},
            {"services", json::array({{{"name", "transfer"}, {"pool", "transfer"}}})}};
}

std::map<std::string, std::vector<core::ledger_entry>> process_group::bills()
{
    std::map<std::string, std::vector<core::ledger_entry>> out;
    const auto codec = proto::make_ledger_codec();
    const auto keys =
        json::parse(await(send(local, platform_.port, "GET", "/control/keys?prefix=ledger/", "", {}))->body);
    for (const auto& key : keys)
    {
        const auto name = key.get<std::string>();
        if (name.find("checkpoint") != std::string::npos)
            continue;
        const auto value = await(send(local, platform_.port, "GET", "/v1/kv/" + name, "", {}))->body;
        const auto segment = codec.decode_segment(value).value();
        for (const auto& it : segment.entries)
            if (it.kind == core::entry_kind::settle)
                out[it.bill.str()].push_back(it);
    }
    return out;
}

int process_group::runs_of(const std::string& text)
{
    int out = 0;
    for (int n = -2; n < static_cast<int>(engines_.size()); ++n)
    {
        if (n == -1)
            continue;
        const auto counted = counts(n);
        for (const auto& [body, runs] : counted.at("runs_by_body").items())
            if (body.find(text) != std::string::npos)
                out += runs.get<int>();
    }
    return out;
}

std::string process_group::completion(const std::string& content, bool stream, int tokens,
                                      const std::string& model)
{
    const json message{{"role", "user"}, {"content", content}};
    return json{
        {"model", model}, {"stream", stream}, {"max_tokens", tokens}, {"messages", json::array({message})}}
        .dump();
}

} // namespace runlink::tests
