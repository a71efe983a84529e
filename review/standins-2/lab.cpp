#include "lab.hpp"

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iomanip>
#include <random>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lab
{
namespace
{

const auto started_at = clock::now();

sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

/// Binds a TCP socket; -1 if the address is in use.
int bind_stream(const std::string& ip, int port)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto at = address_of(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0)
        return fd;
    close(fd);
    return -1;
}

bool is_free(const std::string& ip, int port)
{
    const int stream = bind_stream(ip, port);
    if (stream < 0)
        return false;
    close(stream);
    const int datagrams = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const auto at = address_of(ip, port);
    const bool out = bind(datagrams, reinterpret_cast<const sockaddr*>(&at), sizeof at) == 0;
    close(datagrams);
    return out;
}

std::string base64(const std::string& it)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t n = 0; n < it.size(); n += 3)
    {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k)
            bits = bits << 8U | (n + k < it.size() ? static_cast<unsigned char>(it[n + k]) : 0U);
        for (std::size_t k = 0; k < 4; ++k)
            out += n + k > it.size() ? '=' : digits[bits >> (18 - 6 * k) & 63U];
    }
    return out;
}

std::string from_base64(const std::string& it)
{
    std::string out;
    std::uint32_t bits = 0;
    int held = 0;
    for (const char c : it)
    {
        int n = -1;
        if (c >= 'A' && c <= 'Z')
            n = c - 'A';
        else if (c >= 'a' && c <= 'z')
            n = c - 'a' + 26;
        else if (c >= '0' && c <= '9')
            n = c - '0' + 52;
        else if (c == '+' || c == '/')
            n = c == '+' ? 62 : 63;
        if (n < 0)
            break;
        bits = bits << 6U | static_cast<std::uint32_t>(n);
        held += 6;
        if (held >= 8)
        {
            held -= 8;
            out += static_cast<char>(bits >> held & 255U);
        }
    }
    return out;
}

std::string decoded(const std::string& it)
{
    std::string out;
    for (std::size_t n = 0; n < it.size(); ++n)
        if (it[n] == '%' && n + 2 < it.size())
        {
            out += static_cast<char>(std::stoi(it.substr(n + 1, 2), nullptr, 16));
            n += 2;
        }
        else
            out += it[n];
    return out;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> out;
    const auto mark = target.find('?');
    if (mark == std::string::npos)
        return out;
    std::istringstream in{target.substr(mark + 1)};
    for (std::string part; std::getline(in, part, '&');)
    {
        const auto equals = part.find('=');
        if (equals != std::string::npos)
            out[part.substr(0, equals)] = decoded(part.substr(equals + 1));
    }
    return out;
}

void answer_json(connection& to, int status, const json& body)
{
    const auto text = body.dump();
    to.write("HTTP/1.1 " + std::to_string(status) +
             " Store\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) +
             "\r\n\r\n" + text);
}

} // namespace

double seconds()
{
    return std::chrono::duration<double>(clock::now() - started_at).count();
}

void sleep_ms(int ms)
{
    std::this_thread::sleep_for(milliseconds{ms});
}

std::string message_head::field(const std::string& name) const
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string{} : found->second;
}

// Connections

connection::~connection()
{
    close();
}

bool connection::fill(clock::time_point until)
{
    const auto left = std::chrono::duration_cast<milliseconds>(until - clock::now()).count();
    pollfd it{fd_, POLLIN, 0};
    if (fd_ < 0 || left <= 0 || poll(&it, 1, static_cast<int>(left)) <= 0)
        return false;
    char buf[65536];
    const auto n = recv(fd_, buf, sizeof buf, 0);
    if (n <= 0)
        return false;
    buffer_.append(buf, static_cast<std::size_t>(n));
    return true;
}

bool connection::read_head(message_head& to, milliseconds timeout)
{
    const auto until = clock::now() + timeout;
    auto end = buffer_.find("\r\n\r\n");
    while (end == std::string::npos)
    {
        if (!fill(until))
            return false;
        end = buffer_.find("\r\n\r\n");
    }
    std::istringstream in{buffer_.substr(0, end)};
    buffer_.erase(0, end + 4);
    to = {};
    std::getline(in, to.start);
    if (!to.start.empty() && to.start.back() == '\r')
        to.start.pop_back();
    for (std::string line; std::getline(in, line);)
    {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char c) { return std::tolower(c); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        to.fields[name] = value == std::string::npos ? std::string{} : line.substr(value);
    }
    return true;
}

bool connection::read_body(const message_head& of, std::string& to, milliseconds timeout)
{
    const auto until = clock::now() + timeout;
    const auto take = [&](std::size_t size)
    {
        while (buffer_.size() < size)
            if (!fill(until))
                return false;
        return true;
    };
    to.clear();
    if (of.field("transfer-encoding") != "chunked")
    {
        const auto length = of.field("content-length");
        const auto size = length.empty() ? 0 : std::stoul(length);
        if (!take(size))
            return false;
        to = buffer_.substr(0, size);
        buffer_.erase(0, size);
        return true;
    }
    while (true)
    {
        auto end = buffer_.find("\r\n");
        while (end == std::string::npos)
        {
            if (!fill(until))
                return false;
            end = buffer_.find("\r\n");
        }
        const auto size = std::stoul(buffer_.substr(0, end), nullptr, 16);
        buffer_.erase(0, end + 2);
        if (!take(size + 2))
            return false;
        to += buffer_.substr(0, size);
        buffer_.erase(0, size + 2);
        if (size == 0)
            return true;
    }
}

std::string connection::read_all(milliseconds timeout)
{
    const auto until = clock::now() + timeout;
    while (fill(until))
    {
    }
    return std::exchange(buffer_, {});
}

bool connection::write(std::string_view bytes)
{
    while (!bytes.empty() && fd_ >= 0)
    {
        const auto n = send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return fd_ >= 0;
}

void connection::reset()
{
    const linger now{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close();
}

void connection::close()
{
    if (fd_ >= 0)
        ::close(std::exchange(fd_, -1));
}

bool connection::is_closed_by_peer() const
{
    char c = 0;
    const auto n = recv(fd_, &c, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

std::unique_ptr<connection> connect_to(const std::string& ip, int port, milliseconds timeout)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto to = address_of(ip, port);
    const int result = connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
    pollfd it{fd, POLLOUT, 0};
    int error = result == 0 ? 0 : errno;
    if (error == EINPROGRESS)
    {
        socklen_t size = sizeof error;
        if (poll(&it, 1, static_cast<int>(timeout.count())) <= 0)
            error = ETIMEDOUT;
        else
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0)
    {
        ::close(fd);
        return nullptr;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(fd);
}

listener::listener(const std::string& ip, handler serve) : ip_{ip}, serve_{std::move(serve)}
{
    fd_ = bind_stream(ip, 0);
    sockaddr_in at{};
    socklen_t size = sizeof at;
    getsockname(fd_, reinterpret_cast<sockaddr*>(&at), &size);
    port_ = ntohs(at.sin_port);
    listen(fd_, 512);
    std::thread{[this] { accept_all(); }}.detach();
}

listener::~listener()
{
    shutdown(fd_, SHUT_RDWR);
    close(fd_);
}

void listener::accept_all()
{
    while (true)
    {
        const int fd = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            return;
        const int on = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        std::thread{[serve = serve_, fd]
                    {
                        connection it{fd};
                        serve(it);
                    }}
            .detach();
    }
}

// Store

store::store(const std::string& ip)
{
    listener_ = std::make_unique<listener>(ip, [this](connection& it) { serve(it); });
}

void store::put(const std::string& key, const json& value)
{
    const std::lock_guard lock{mutex_};
    items_[key] = {value.dump(), ++revision_};
    history_.push_back({revision_, key, value.dump(), false});
    changed_.notify_all();
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock{mutex_};
    if (items_.erase(key) == 0)
        return;
    history_.push_back({++revision_, key, {}, true});
    changed_.notify_all();
}

json store::item_json(const std::string& key) const
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

void store::serve(connection& from)
{
    message_head head;
    std::string body;
    while (from.read_head(head, milliseconds{120'000}) && from.read_body(head, body, milliseconds{5000}))
    {
        const auto target = head.start.substr(head.start.find(' ') + 1);
        const auto path = target.substr(0, target.find_first_of("? "));
        const auto query = query_of(target.substr(0, target.find(' ')));
        sleep_ms(4);
        if (path == "/-/kv-range")
            answer_range(from, query);
        else if (path == "/-/kv-watch")
            answer_watch(from, query);
        else if (path == "/-/kv-txn")
            answer_transaction(from, json::parse(body));
        else
            answer_json(from, 404, json::object());
    }
}

void store::answer_range(connection& to, const std::map<std::string, std::string>& query)
{
    constexpr std::size_t page = 500;
    const auto value = [&](const char* name)
    { return query.contains(name) ? query.at(name) : std::string{}; };
    json items = json::array();
    json out;
    {
        const std::lock_guard lock{mutex_};
        bool has_more = false;
        for (const auto& [key, it] : items_)
        {
            if (!key.starts_with(value("pathPrefix")) || key <= value("after"))
                continue;
            has_more = items.size() == page;
            if (has_more)
                break;
            items.push_back(item_json(key));
        }
        out = {{"items", items}, {"morePages", has_more}, {"currentRev", revision_}};
    }
    answer_json(to, 200, out);
}

void store::answer_watch(connection& to, const std::map<std::string, std::string>& query)
{
    const auto after = std::stoull(query.at("after"));
    const auto prefix = query.at("pathPrefix");
    const auto until = clock::now() + milliseconds{std::stoi(query.at("waitMs"))};
    json events = json::array();
    json out;
    {
        std::unique_lock lock{mutex_};
        changed_.wait_until(lock, until, [&] { return revision_ > after; });
        for (const auto& it : history_)
            if (it.revision > after && it.key.starts_with(prefix))
                events.push_back(it.is_deleted
                                     ? json{{"key", it.key}, {"revision", it.revision}, {"deleted", true}}
                                     : json{{"key", it.key},
                                            {"value", base64(it.value)},
                                            {"revision", it.revision},
                                            {"created", it.revision},
                                            {"lease", 0}});
        out = {{"events", events}, {"currentRev", revision_}};
    }
    answer_json(to, 200, out);
}

void store::answer_transaction(connection& to, const json& in)
{
    json failed = json::array();
    json out;
    {
        const std::lock_guard lock{mutex_};
        for (const auto& it : in.value("expectedRevision", json::array()))
            if (const auto now = item_json(it.at("key")); now.at("revision") != it.at("revision"))
                failed.push_back(now);
        const auto writes = in.value("writes", json::array());
        const auto removals = in.value("delete", json::array());
        if (failed.empty() && (!writes.empty() || !removals.empty()))
        {
            ++revision_;
            for (const auto& it : writes)
            {
                const auto value = from_base64(it.at("value"));
                items_[it.at("key")] = {value, revision_};
                history_.push_back({revision_, it.at("key"), value, false});
            }
            for (const auto& it : removals)
                if (items_.erase(it.get<std::string>()) > 0)
                    history_.push_back({revision_, it, {}, true});
            changed_.notify_all();
        }
        out = {{"revision", revision_}};
    }
    if (!failed.empty())
        return answer_json(to, 412, {{"items", failed}});
    answer_json(to, 200, out);
}

// Record

record::record(const std::string& path) : file_{std::fopen(path.c_str(), "w")} {}

record::~record()
{
    if (file_ != nullptr)
        std::fclose(file_);
}

void record::line(const std::string& text)
{
    const std::lock_guard lock{mutex_};
    if (file_ == nullptr)
        return;
    std::fprintf(file_, "%8.3f %s\n", seconds(), text.c_str());
    std::fflush(file_);
}

// Gateways

gateway::gateway(std::string program, std::string folder, std::string name, std::string zone, std::string ip,
                 machine_ports ports, const std::string& store, const std::vector<std::string>& seeds)
    : program_{std::move(program)}, folder_{std::move(folder)}, name_{std::move(name)}, ip_{std::move(ip)},
      ports_{ports}
{
    const auto at = [&](int port) { return ip_ + ":" + std::to_string(port); };
    const json settings{
        {"instance",
         {{"id", name_},
          {"failure_domain", zone},
          {"link_mbps", 1000.0},
          {"memory_mb", 260},
          {"descriptors", 4100}}},
        {"listen",
         {{"callers", at(ports.callers)},
          {"readiness", at(ports.readiness)},
          {"metrics_port", 9464},
          {"peers", at(ports.peers)}}},
        {"store", store},
        {"seeds", seeds},
        {"regions", {{"hn-hall-a", "vn-north"}, {"hn-hall-b", "vn-north"}, {"hp-edge", "vn-north"}}},
        {"bounds",
         {{"stop_grace_s", 8},
          {"key_revocation_ms", 5000},
          {"keys_expire", true},
          {"configuration_apply_ms", 2000},
          {"drain_ms", 2000},
          {"session_ttl_s", 5},
          {"retry_window_s", 10},
          {"retry_ratio", 0.9},
          {"retry_slack", 54},
          {"exposure_share", 0.15},
          {"exposure_slack", 30}}},
        {"load",
         {{"engine_load", "scarce"},
          {"model_choice", "scarce"},
          {"plain_load", "off"},
          {"scarce_tokens_per_slot", 6000}}}};
    std::ofstream{folder_ + "/" + name_ + ".json"} << settings.dump(2);
}

gateway::~gateway()
{
    kill();
}

void gateway::start()
{
    const auto settings = folder_ + "/" + name_ + ".json";
    const auto log = folder_ + "/" + name_ + ".log";
    pid_ = fork();
    if (pid_ != 0)
        return;
    prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the program, however that ends
    const int to = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(to, STDOUT_FILENO);
    dup2(to, STDERR_FILENO);
    setenv("RUNLINK_BOOT", settings.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), nullptr);
    _exit(127);
}

void gateway::signal(int number) const
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

void gateway::kill()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

bool gateway::has_ended()
{
    if (pid_ <= 0 || waitpid(pid_, nullptr, WNOHANG) != pid_)
        return false;
    pid_ = -1;
    return true;
}

bool gateway::is_ready() const
{
    const auto it = connect_to(ip_, ports_.readiness, milliseconds{500});
    message_head head;
    return it && it->write("GET /-/ready HTTP/1.1\r\nHost: platform\r\n\r\n") &&
           it->read_head(head, milliseconds{500}) && head.start.starts_with("HTTP/1.1 200");
}

bool gateway::wait_until_ready(milliseconds timeout) const
{
    const auto until = clock::now() + timeout;
    while (clock::now() < until)
    {
        if (is_ready())
            return true;
        sleep_ms(100);
    }
    return false;
}

bool windows::contains(double at) const
{
    const double since = at - first_s;
    return since >= 0 && since - every_s * std::floor(since / every_s) < for_s;
}

// Deployment

deployment::deployment(int net, const std::string& service, int workers, int slots,
                       const worker_handler& serve)
    : folder_{std::filesystem::temp_directory_path() / "runlink-review-XXXXXX"},
      platform_{"127." + std::to_string(net) + ".0.1"}
{
    const std::vector<std::string> zones{"hn-hall-a", "hn-hall-b", "hp-edge"};
    const auto prefix = "127." + std::to_string(net) + ".";
    if (mkdtemp(folder_.data()) == nullptr)
        std::_Exit(2);
    for (int n = 0; n < workers; ++n)
    {
        const auto id = "i-worker-" + std::to_string(n);
        workers_.push_back(std::make_unique<listener>(prefix + "1." + std::to_string(n + 1),
                                                      [serve, id, n](connection& it) { serve(it, id, n); }));
        platform_.put("servers/" + id, make_entry(service, workers_.back()->address(), zones[n % 3], slots));
    }
    platform_.put("op/config", make_configuration(1));
    std::vector<std::string> ips;
    for (int n = 1; n <= 7; ++n)
        ips.push_back(prefix + "2." + std::to_string(n));
    const auto ports = free_ports(ips);
    const std::vector<std::string> seeds{ips[0] + ":8229", ips[1] + ":8229", ips[2] + ":8229"};
    for (std::size_t n = 0; n < ips.size(); ++n)
        gateways_.push_back(std::make_unique<gateway>(
            environment("GATEWAY", "target/platform/runlink-gateway"), folder_,
            "front-" + std::to_string(n + 1), zones[n % 3], ips[n], ports, platform_.address(), seeds));
}

void deployment::end()
{
    for (const auto& it : gateways_)
        it->kill();
    std::filesystem::remove_all(folder_);
}

bool deployment::start()
{
    for (const auto& it : gateways_)
        it->start();
    return std::all_of(gateways_.begin(), gateways_.end(),
                       [](const auto& it) { return it->wait_until_ready(milliseconds{15'000}); });
}

// Clients

reply client::call(const std::string& request, milliseconds timeout)
{
    reply out;
    if (!channel_)
        channel_ = connect_to(to_.ip(), to_.port(), milliseconds{1000});
    out.has_head = channel_ && channel_->write(request) && channel_->read_head(out.head, timeout);
    out.is_whole = out.has_head && channel_->read_body(out.head, out.body, timeout);
    if (!out.is_whole || out.head.field("connection") == "close")
        channel_.reset();
    return out;
}

std::string make_request(const std::string& route, const std::string& id)
{
    auto fields = "Host: coil.example\r\nX-Runlink-Attempt-Id: " + id + "\r\nX-Api-Key: key-1\r\n";
    if (route == "/lookup/")
        return "GET /lookup/1 HTTP/1.1\r\n" + fields + "X-Runlink-Deadline-Ms: 1000\r\n\r\n";
    if (route == "/release/")
        return "POST /release/1 HTTP/1.1\r\n" + fields +
               "X-Runlink-Deadline-Ms: 1000\r\nContent-Length: 600\r\n\r\n" + std::string(600, 'b');
    fields += "X-Runlink-Deadline-Ms: 25000\r\nX-Runlink-Model: *\r\nX-Runlink-Token-Usage: 700,280\r\n"
              "X-Runlink-Prompt-Prefix: 5c1e07a2:103,91bd3f06:68," +
              id + ":529\r\nX-Runlink-Length-Hint: 280\r\n";
    return "POST /notes/1 HTTP/1.1\r\n" + fields + "Content-Length: 1400\r\n\r\n" + std::string(1400, 'b');
}

std::string misdirected(const message_head& head, const std::string& worker)
{
    if (head.field("x-runlink-expect-instance") == worker)
        return {};
    return "HTTP/1.1 421 Misdirected Request\r\nX-Runlink-Attempt-Id: " + head.field("x-runlink-attempt-id") +
           "\r\nX-Runlink-Instance-Id: " + worker +
           "\r\nX-Runlink-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

void run_clients(int clients, double per_s, double run_s, const std::function<void(int client, int n)>& send,
                 const std::function<void(double at)>& tick)
{
    const double from = seconds() + 2;
    std::vector<std::thread> all;
    for (int number = 0; number < clients; ++number)
        all.emplace_back(
            [=]
            {
                for (int n = 0;; ++n)
                {
                    const double at = (n * clients + number) / per_s;
                    if (at > run_s)
                        return;
                    while (seconds() < from + at)
                        sleep_ms(2);
                    send(number, n);
                }
            });
    for (; seconds() < from + run_s; sleep_ms(20))
        tick(seconds() - from);
    for (auto& it : all)
        it.join();
}

machine_ports free_ports(const std::vector<std::string>& ips)
{
    for (int first = 21'000; first < 32'000; first += 3)
    {
        const auto is_free_everywhere = [&](const std::string& ip)
        { return is_free(ip, first) && is_free(ip, first + 1) && is_free(ip, first + 2); };
        if (std::all_of(ips.begin(), ips.end(), is_free_everywhere))
            return {first, first + 1, first + 2};
    }
    return {};
}

// Documents

json make_configuration(int version, const std::vector<std::string>& keys)
{
    const json sizes{"m0", "m1", "m2"};
    const json release{{"name", "r-release"},   {"hostname", "coil.example"}, {"pathPrefix", "/release/"},
                       {"routeType", "unsafe"}, {"timeoutMs", 1000},          {"targetLatencyMs", 100},
                       {"priority", 2},         {"service", "coil"},          {"maxAttempts", 1},
                       {"public", false}};
    auto lookup = release;
    lookup.update(
        {{"name", "r-lookup"}, {"pathPrefix", "/lookup/"}, {"routeType", "safe"}, {"maxAttempts", 2}});
    auto notes = release;
    notes.update({{"name", "r-notes"},
                  {"pathPrefix", "/notes/"},
                  {"routeType", "streaming"},
                  {"timeoutMs", 25'000},
                  {"targetLatencyMs", 4000},
                  {"service", "trace"},
                  {"maxAttempts", 3},
                  {"sizes", sizes},
                  {"sessionAffinity", true},
                  {"resumable", true},
                  {"targetGapMs", 1200}});
    const json engine{{"slots", 64},
                      {"kvCacheTokens", 439'367},
                      {"kvTokenBytes", 18'432},
                      {"linkMbps", 550'000.0},
                      {"moves", true},
                      {"backups", true},
                      {"stride", 5},
                      {"most", 12},
                      {"pinMs", 4000.0},
                      {"holdMs", 2000.0},
                      {"handleS", 5.0},
                      {"models",
                       {{{"name", "m0"}, {"cost", 0.018}},
                        {{"name", "m1"}, {"cost", 0.13}},
                        {{"name", "m2"}, {"cost", 0.27}}}}};
    return {{"version", version},
            {"routes", {release, lookup, notes}},
            {"services",
             {{{"name", "coil"},
               {"healthPath", "/health"},
               {"maxConnections", 100},
               {"protocol", "h1"},
               {"tls", false}},
              {{"name", "trace"},
               {"healthPath", "/health"},
               {"maxConnections", 360},
               {"protocol", "h1"},
               {"tls", false},
               {"engine", engine}}}},
            {"limits",
             {{"maxHeaderBytes", 16'384},
              {"maxBodyBytes", 4'194'304},
              {"headerTimeoutMs", 3000},
              {"idleTimeoutMs", 15'000}}},
            {"tenants", {{{"name", "acme"}, {"apiKeys", keys}, {"priority", 1}}}}};
}

json make_entry(const std::string& service, const std::string& address, const std::string& zone, int slots)
{
    return {{"service", service},
            {"address", address},
            {"zone", zone},
            {"version", "v1"},
            {"slots", slots},
            {"state", "ready"},
            {"coldRemainingMs", 0},
            {"stage", "unified"},
            {"models", json::array({{{"name", "m0"}, {"version", 1}, {"adapters", json::array()}}})},
            {"sequence", 1}};
}

std::string new_id()
{
    static std::mutex mutex;
    static std::mt19937_64 random{std::random_device{}()};
    const std::lock_guard lock{mutex};
    std::ostringstream out;
    out << std::hex << std::setw(16) << std::setfill('0') << random();
    return out.str();
}

std::string environment(const char* name, const std::string& fallback)
{
    const char* it = std::getenv(name);
    return it == nullptr ? fallback : std::string{it};
}

} // namespace lab
