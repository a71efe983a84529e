#include "soak/fleet.hpp"

#include <csignal>
#include <fstream>
#include <stdexcept>
#include <utility>

#include <sys/prctl.h>

#include <QCoreApplication>
#include <QTcpServer>
#include <QTimer>
#include <QUdpSocket>

#include "support/suspension.hpp"

namespace runlink::soak
{
namespace
{

constexpr int status_ok = 200;

/// Ports below the ephemeral range, so that no outgoing connection takes the port of an instance that
/// restarts.
constexpr std::uint16_t first_port = 12000;
constexpr std::uint16_t last_port = 32000;

/// Returns a port that is currently free for TCP and UDP. The search starts at a port derived from the
/// process id, so that concurrent soaks use different ports. Throws `std::runtime_error` if no port is free.
std::uint16_t free_port()
{
    static auto next = static_cast<std::uint16_t>(first_port + QCoreApplication::applicationPid() * 397 %
                                                                   (last_port - first_port));
    for (int tries = 0; tries < last_port - first_port; ++tries)
    {
        next = next + 1 < last_port ? next + 1 : first_port;
        QTcpServer tcp;
        QUdpSocket udp;
        if (tcp.listen(QHostAddress::LocalHost, next) && udp.bind(QHostAddress::LocalHost, next))
            return next;
    }
    throw std::runtime_error{"no free port"};
}

/// Address that stands for the endpoints in the store where connections to them are redirected.
constexpr const char* redirected_host = "127.0.0.2";

/// Address of the proxies between one instance and the endpoints.
std::string path_host(int instance)
{
    return "127.0.1." + std::to_string(instance + 1);
}

std::string address(std::uint16_t port)
{
    return "127.0.0.1:" + std::to_string(port);
}

} // namespace

fleet::fleet(fleet_options options, promise_checker& checker)
    : options_{std::move(options)}, checker_{checker}, store_port_{store_.listen()}
{
    write_configuration({"key-a", "key-b"});
    for (int n = 0; n < options_.engines; ++n)
        add_endpoint("pool", "v1");
    for (int n = 0; n < options_.services; ++n)
        add_endpoint("app", "v1");
    for (int n = 0; n < options_.instances; ++n)
    {
        instance it;
        it.number = n;
        it.caller_port = free_port();
        it.readiness_port = free_port();
        it.peer_port = free_port();
        it.store = std::make_unique<fault_proxy>(store_port_);
        it.store->base_delay = n % 2 == 0 ? milliseconds{} : options_.store_delay;
        for (const auto& e : endpoints_)
            add_path(it, *e);
        write_settings(it);
        instances_.push_back(std::move(it));
        start_instance(n);
    }
}

fleet::~fleet()
{
    is_ending_ = true;
    for (auto& it : instances_)
    {
        if (!it.is_running())
            continue;
        it.process->kill();
        it.process->waitForFinished();
    }
}

void fleet::write_configuration(std::vector<std::string> keys)
{
    keys_ = std::move(keys);
    checker_.cuts().add_change(now());
    store_.put(standins::configuration_key,
               standins::make_configuration(++configuration_, keys_, options_.stream_timeout));
}

void fleet::return_store_from(const standins::kv_standin::snapshot& copy)
{
    const auto is_theirs = [](const std::string& key)
    { return key.starts_with("op/") || key.starts_with(standins::endpoint_key("")); };
    const auto before = store_.take_snapshot();
    store_.restore(copy);
    for (const auto& [key, it] : before.items)
        if (is_theirs(key))
            store_.put(key, nlohmann::json::parse(it.value));
    for (const auto& [key, it] : copy.items)
        if (is_theirs(key) && !before.items.contains(key))
            store_.remove(key);
}

void fleet::add_endpoint(const std::string& service, const std::string& version)
{
    auto it = std::make_unique<proxied_endpoint>("e" + std::to_string(next_endpoint_++), service, version);
    it->server.ends_with_connection = options_.answers_end_with_connection;
    it->server.on_run = [this](const auto& by, const auto& run) { checker_.ran(now(), by, run); };
    it->server.on_arrived = [this](const auto& by, const auto& request)
    { checker_.arrived(now(), by.id(), request, by.says.requests_per_s); };
    it->server.on_answered = [this](const auto& by, const auto& request, bool is_refusal)
    {
        const auto& says = by.says;
        checker_.answered(now(), by.id(), request,
                          {says.requests_per_s, says.is_leaving, is_refusal ? says.rest : std::nullopt});
    };
    write_entry(*it);
    for (auto& from : instances_)
        add_path(from, *it);
    it->proxy.on_reset = [this, e = it.get()] { checker_.endpoint_broken(now(), e->server.id()); };
    it->server.on_ended = [this, e = it.get()](const auto& run)
    {
        checker_.ended_under(now(), run->request);
        constexpr milliseconds entry_lifetime{900};
        constexpr milliseconds downtime{1300};
        end_endpoint(*e, entry_lifetime, downtime);
    };
    endpoints_.push_back(std::move(it));
}

void fleet::end_endpoint(proxied_endpoint& it, milliseconds entry_lifetime, milliseconds downtime)
{
    if (it.proxy.fault() == link_fault::down)
        return;
    it.proxy.set_fault(link_fault::down);
    const bool keeps_id = ++it.lives % 2 == 0;
    if (!keeps_id)
        QTimer::singleShot(entry_lifetime, &context_,
                           [this, id = it.server.id()] { store_.remove(standins::endpoint_key(id)); });
    QTimer::singleShot(downtime, &context_,
                       [this, &it, keeps_id]
                       {
                           it.server.begin_life(
                               keeps_id ? it.server.id() : "e" + std::to_string(next_endpoint_++), it.lives);
                           it.proxy.set_fault(link_fault::none);
                           write_entry(it);
                       });
}

void fleet::set_leaving(proxied_endpoint& it)
{
    it.leaving = true;
    checker_.endpoint_leaving(now(), it.server.id());
    write_entry(it);
}

void fleet::write_entry(const proxied_endpoint& it)
{
    auto entry = it.server.entry(it.proxy.port(), it.leaving);
    if (!options_.redirect_shim.empty())
        entry["address"] = std::string{redirected_host} + ":" + std::to_string(it.proxy.port());
    store_.put(standins::endpoint_key(it.server.id()), entry);
}

void fleet::add_path(instance& from, const proxied_endpoint& to) const
{
    if (options_.redirect_shim.empty())
        return;
    from.paths.push_back(
        std::make_unique<fault_proxy>(to.proxy.port(), path_host(from.number), to.proxy.port()));
    from.paths.back()->set_fault(from.path_fault);
}

void fleet::set_path_fault(int n, link_fault it)
{
    auto& from = instances_.at(static_cast<std::size_t>(n));
    from.path_fault = it;
    for (const auto& path : from.paths)
        path->set_fault(it);
}

void fleet::write_settings(const instance& it) const
{
    const nlohmann::json out{{"instance", {{"id", "i" + std::to_string(it.number)}, {"failure_domain", "n"}}},
                             {"listen",
                              {{"callers", address(it.caller_port)},
                               {"readiness", address(it.readiness_port)},
                               {"peers", address(it.peer_port)}}},
                             {"store", address(it.store->port())},
                             {"bounds",
                              {{"stop_grace_s", static_cast<double>(options_.stop_grace.count()) / 1000},
                               {"retry_ratio", options_.retry_ratio},
                               {"retry_slack", options_.retry_slack}}}};
    std::ofstream{options_.directory + "/i" + std::to_string(it.number) + ".json"} << out.dump(2);
}

void fleet::start_instance(int n)
{
    auto& it = instances_.at(static_cast<std::size_t>(n));
    const auto base = options_.directory + "/i" + std::to_string(n);
    it.process = std::make_unique<QProcess>();
    it.is_paused = false;
    it.is_expected_to_end = false;
    checker_.statements().forget(n);
    it.process->setStandardOutputFile(QString::fromStdString(base + ".log"), QIODevice::Append);
    it.process->setStandardErrorFile(QString::fromStdString(base + ".err"), QIODevice::Append);
    QObject::connect(it.process.get(), &QProcess::finished, it.process.get(),
                     [this, n](int code, QProcess::ExitStatus how) { on_ended(n, code, how); });
    // Instances end with the soak, even if the soak is killed.
    it.process->setChildProcessModifier([] { prctl(PR_SET_PDEATHSIG, SIGKILL); });
    std::vector<std::string> shims{options_.shim, options_.redirect_shim};
    std::erase(shims, "");
    tests::load_shims(*it.process, shims);
    if (!options_.redirect_shim.empty())
        tests::set_environment(*it.process, "RUNLINK_REDIRECT_TO", path_host(n));
    it.process->start(QString::fromStdString(options_.program),
                      {"--settings", QString::fromStdString(base + ".json")});
    if (!it.process->waitForStarted())
        throw std::runtime_error{options_.program + " cannot be started"};
}

void fleet::signal_instance(int n, int signal)
{
    auto& it = instances_.at(static_cast<std::size_t>(n));
    if (!it.is_running())
        return;
    it.is_expected_to_end = it.is_expected_to_end || signal == SIGTERM || signal == SIGKILL;
    if (signal == SIGSTOP || signal == SIGCONT)
        it.is_paused = signal == SIGSTOP;
    ::kill(static_cast<pid_t>(it.process->processId()), signal);
}

void fleet::resume_instance(int n, milliseconds stopped_for)
{
    auto& it = instances_.at(static_cast<std::size_t>(n));
    if (!it.is_running())
        return;
    if (!options_.shim.empty())
        tests::hold_steady_clock(static_cast<pid_t>(it.process->processId()), stopped_for);
    signal_instance(n, SIGCONT);
}

void fleet::on_ended(int n, int code, QProcess::ExitStatus how)
{
    auto& it = instances_.at(static_cast<std::size_t>(n));
    if (is_ending_)
        return;
    const auto name = "i" + std::to_string(n);
    if (!it.is_expected_to_end)
        checker_.fail("exit: " + name + " ended by itself with code " + std::to_string(code));
    else if (how == QProcess::NormalExit && code != 0)
        checker_.fail("exit: " + name + " ended with code " + std::to_string(code) + " after SIGTERM");
    // Restarts the instance after a delay, as the platform does.
    constexpr milliseconds restart_delay{400};
    QTimer::singleShot(restart_delay, &context_, [this, n] { start_instance(n); });
}

void fleet::ask_readiness(int n, const std::function<void(bool)>& to)
{
    net::http_request_head head;
    head.method = "GET";
    head.target = "/";
    head.fields.add("Host", "local");
    auto status = std::make_shared<int>(0);
    net::exchange_hooks hooks;
    hooks.sent = [] {};
    hooks.head = [status](const net::http_response_head& it) { *status = it.status.value(); };
    hooks.body = [](std::string_view) {};
    hooks.end = [status, to] { to(*status == status_ok); };
    hooks.failed = [to](net::exchange_failure) { to(false); };
    pool_.send({"127.0.0.1", instances_.at(static_cast<std::size_t>(n)).readiness_port},
               net::write_request(head, ""), {}, std::move(hooks));
}

} // namespace runlink::soak
