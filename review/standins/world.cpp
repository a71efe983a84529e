#include "world.hpp"

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{
namespace
{

const clock::time_point began = clock::now();
std::mutex record_mutex;
std::ofstream record;
std::mutex process_mutex;
std::vector<pid_t> processes;

std::string lower(std::string it)
{
    std::transform(it.begin(), it.end(), it.begin(), [](unsigned char c) { return std::tolower(c); });
    return it;
}

sockaddr_in address_of(const std::string& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

std::string base64(const std::string& in)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < in.size(); i += 3)
    {
        unsigned n = static_cast<unsigned char>(in[i]) << 16U;
        if (i + 1 < in.size())
            n |= static_cast<unsigned char>(in[i + 1]) << 8U;
        if (i + 2 < in.size())
            n |= static_cast<unsigned char>(in[i + 2]);
        out += digits[n >> 18U];
        out += digits[(n >> 12U) & 63U];
        out += i + 1 < in.size() ? digits[(n >> 6U) & 63U] : '=';
        out += i + 2 < in.size() ? digits[n & 63U] : '=';
    }
    return out;
}

std::string from_base64(const std::string& in)
{
    std::string out;
    unsigned n = 0;
    int bits = 0;
    for (const char c : in)
    {
        static const std::string digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        const auto at = digits.find(c);
        if (at == std::string::npos)
            break;
        n = (n << 6U) | static_cast<unsigned>(at);
        bits += 6;
        if (bits >= 8)
        {
            bits -= 8;
            out += static_cast<char>((n >> static_cast<unsigned>(bits)) & 255U);
        }
    }
    return out;
}

std::string from_percent(const std::string& in)
{
    std::string out;
    for (std::size_t i = 0; i < in.size(); ++i)
        if (in[i] == '%' && i + 2 < in.size())
        {
            out += static_cast<char>(std::stoi(in.substr(i + 1, 2), nullptr, 16));
            i += 2;
        }
        else
            out += in[i];
    return out;
}

} // namespace

long elapsed_ms()
{
    return std::chrono::duration_cast<milliseconds>(clock::now() - began).count();
}

void sleep_ms(long ms)
{
    std::this_thread::sleep_for(milliseconds{ms});
}

void open_record(const std::string& folder)
{
    std::signal(SIGPIPE, SIG_IGN);
    record.open(folder + "/record.txt", std::ios::trunc);
}

void note(const std::string& line)
{
    const std::lock_guard lock{record_mutex};
    record << elapsed_ms() << " ms: " << line << std::endl;
}

void finish(int code, const std::string& why)
{
    note((code == 0 ? "HELD: " : code == 1 ? "BROKEN: " : "NOT RUN: ") + why);
    std::printf("%s: %s\n", code == 0 ? "held" : code == 1 ? "BROKEN" : "not run", why.c_str());
    std::fflush(stdout);
    {
        const std::lock_guard lock{process_mutex};
        for (const auto pid : processes)
        {
            kill(pid, SIGKILL);
            waitpid(pid, nullptr, 0);
        }
    }
    std::_Exit(code);
}

std::string host(int n)
{
    const auto net = getpid() % 50000;
    return "127." + std::to_string(20 + net / 250) + "." + std::to_string(net % 250) + "." +
           std::to_string(n);
}

// Sockets

bool channel::write(const std::string& bytes) const
{
    std::size_t done = 0;
    while (done < bytes.size())
    {
        const auto n = send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return false;
        done += static_cast<std::size_t>(n);
    }
    return true;
}

int channel::read_more(long timeout_ms)
{
    pollfd it{fd_, POLLIN, 0};
    if (fd_ < 0 || poll(&it, 1, static_cast<int>(timeout_ms)) != 1)
        return -1;
    char buf[65536];
    const auto n = recv(fd_, buf, sizeof buf, 0);
    if (n > 0)
        rest_.append(buf, static_cast<std::size_t>(n));
    return n > 0 ? 1 : static_cast<int>(n);
}

void channel::close()
{
    if (fd_ >= 0)
        ::close(std::exchange(fd_, -1));
}

void channel::reset()
{
    const linger it{1, 0};
    if (fd_ >= 0)
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &it, sizeof it);
    close();
}

bool channel::is_left() const
{
    pollfd it{fd_, POLLIN | POLLRDHUP, 0};
    if (fd_ < 0 || poll(&it, 1, 0) < 0)
        return true;
    return (it.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0;
}

channel connect_to(const std::string& ip, int port, long timeout_ms)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    channel out{fd};
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const auto to = address_of(ip, port);
    if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0)
    {
        pollfd it{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS || poll(&it, 1, static_cast<int>(timeout_ms)) != 1 ||
            getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0)
            return channel{};
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    return out;
}

int listen_on(const std::string& ip, int port, std::function<void(channel)> serve, int receive_buffer)
{
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (receive_buffer > 0)
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    auto at = address_of(ip, port);
    if (bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || listen(fd, 512) != 0)
        finish(2, "cannot listen on " + ip + ": " + std::strerror(errno));
    socklen_t size = sizeof at;
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    std::thread{[fd, serve = std::move(serve)]
                {
                    while (true)
                    {
                        const int one = accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                        if (one < 0)
                            continue;
                        const int nodelay = 1;
                        setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
                        std::thread{[serve, one] { serve(channel{one}); }}.detach();
                    }
                }}
        .detach();
    return ntohs(at.sin_port);
}

// HTTP

std::string message::field(const std::string& name) const
{
    for (const auto& [n, value] : head)
        if (lower(n) == lower(name))
            return value;
    return {};
}

std::string message::target() const
{
    const auto begin = line.find(' ') + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

std::string message::query(const std::string& name) const
{
    const auto all = target();
    auto at = all.find('?');
    while (at != std::string::npos)
    {
        const auto end = all.find('&', at + 1);
        const auto part = all.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (part.starts_with(name + "="))
            return from_percent(part.substr(name.size() + 1));
        at = end;
    }
    return {};
}

int message::status() const
{
    const auto at = line.find(' ');
    return at == std::string::npos ? 0 : std::atoi(line.c_str() + at + 1);
}

std::optional<message> read_head(channel& from, long timeout_ms)
{
    auto& rest = from.rest();
    while (rest.find("\r\n\r\n") == std::string::npos)
        if (from.read_more(timeout_ms) <= 0)
            return std::nullopt;
    const auto end = rest.find("\r\n\r\n");
    const auto text = rest.substr(0, end);
    rest.erase(0, end + 4);
    message out;
    std::size_t at = text.find("\r\n");
    out.line = text.substr(0, at);
    while (at != std::string::npos)
    {
        const auto next = text.find("\r\n", at + 2);
        const auto one = text.substr(at + 2, next == std::string::npos ? next : next - at - 2);
        const auto colon = one.find(':');
        if (colon != std::string::npos)
            out.head.emplace_back(one.substr(0, colon),
                                  one.substr(std::min(one.find_first_not_of(' ', colon + 1), one.size())));
        at = next;
    }
    return out;
}

bool read_request_body(channel& from, message& to)
{
    const auto length = static_cast<std::size_t>(std::atol(to.field("Content-Length").c_str()));
    while (from.rest().size() < length)
        if (from.read_more() <= 0)
            return false;
    to.body = from.rest().substr(0, length);
    from.rest().erase(0, length);
    return true;
}

std::string write_message(const std::string& line, const fields& head, const std::string& body)
{
    auto out = line + "\r\n";
    for (const auto& [name, value] : head)
        out += name + ": " + value + "\r\n";
    return out + "\r\n" + body;
}

void answer(const channel& to, int status, const fields& head, const std::string& body)
{
    auto all = head;
    all.emplace_back("Content-Length", std::to_string(body.size()));
    to.write(write_message("HTTP/1.1 " + std::to_string(status) + " X", all, body));
}

// Store

void store::start(const std::string& ip)
{
    port_ = listen_on(ip, 0, [this](channel it) { serve(std::move(it)); });
}

void store::change(const std::string& key, const std::string* value)
{
    auto& it = items_[key];
    ++revision_;
    if (it.revision == 0 || it.is_deleted)
        it.created = revision_;
    it.revision = revision_;
    it.is_deleted = value == nullptr;
    it.value = value == nullptr ? std::string{} : *value;
}

void store::put(const std::string& key, const json& value)
{
    put_text(key, value.dump());
}

void store::put_text(const std::string& key, const std::string& text)
{
    const std::lock_guard lock{mutex_};
    change(key, &text);
    changed_.notify_all();
}

void store::remove(const std::string& key)
{
    const std::lock_guard lock{mutex_};
    change(key, nullptr);
    changed_.notify_all();
}

json store::value(const std::string& key)
{
    const std::lock_guard lock{mutex_};
    const auto found = items_.find(key);
    return found == items_.end() || found->second.is_deleted ? json{} : json::parse(found->second.value);
}

json store::as_json(const std::string& key, const item& it) const
{
    if (it.is_deleted)
        return {{"key", key}, {"revision", it.revision}, {"deleted", true}};
    return {{"key", key},
            {"value", base64(it.value)},
            {"revision", it.revision},
            {"created", it.created},
            {"lease", 0}};
}

void store::serve(channel it)
{
    while (auto request = read_head(it))
    {
        if (!read_request_body(it, *request))
            return;
        handle(it, *request);
    }
}

void store::handle(const channel& to, const message& it)
{
    const fields as_body{{"Content-Type", "application/json"}};
    const auto path = it.path();
    if (path == "/-/kv-range")
        return range(to, it);
    if (path == "/-/kv-watch")
        return watch(to, it);
    if (path == "/-/kv-txn")
        return transact(to, it);
    if (path == "/-/kv-key")
    {
        const std::lock_guard lock{mutex_};
        const auto found = items_.find(it.query("key"));
        if (found == items_.end() || found->second.is_deleted)
            return answer(to, 404, as_body, json{{"currentRev", revision_}}.dump());
        auto out = as_json(found->first, found->second);
        out["currentRev"] = revision_;
        return answer(to, 200, as_body, out.dump());
    }
    if (path == "/-/kv-lease")
    {
        const std::lock_guard lock{mutex_};
        return answer(to, 200, as_body,
                      json{{"lease", ++next_lease_}, {"ttlMs", json::parse(it.body)["ttlMs"]}}.dump());
    }
    answer(to, 200, as_body, "{}");
}

void store::range(const channel& to, const message& it)
{
    const auto prefix = it.query("pathPrefix");
    const auto after = it.query("after");
    json items = json::array();
    const std::lock_guard lock{mutex_};
    for (const auto& [key, e] : items_)
        if (!e.is_deleted && key.starts_with(prefix) && key > after)
            items.push_back(as_json(key, e));
    answer(to, 200, {{"Content-Type", "application/json"}},
           json{{"items", items}, {"morePages", false}, {"currentRev", revision_}}.dump());
}

void store::watch(const channel& to, const message& it)
{
    const auto prefix = it.query("pathPrefix");
    const auto after = std::stoull(it.query("after"));
    const auto until = clock::now() + milliseconds{std::stol(it.query("waitMs"))};
    json events = json::array();
    std::unique_lock lock{mutex_};
    while (true)
    {
        std::map<std::uint64_t, json> sorted;
        for (const auto& [key, e] : items_)
            if (e.revision > after && key.starts_with(prefix))
                sorted[e.revision] = as_json(key, e);
        for (auto& [revision, e] : sorted)
            events.push_back(std::move(e));
        if (!events.empty() || clock::now() >= until)
            break;
        changed_.wait_until(lock, std::min(until, clock::now() + milliseconds{200}));
        if (to.is_left())
            return;
    }
    const auto body = json{{"events", events}, {"currentRev", revision_}}.dump();
    lock.unlock();
    answer(to, 200, {{"Content-Type", "application/json"}}, body);
}

void store::transact(const channel& to, const message& it)
{
    const fields as_body{{"Content-Type", "application/json"}};
    const auto in = json::parse(it.body);
    std::vector<std::pair<std::string, std::string>> written;
    {
        const std::lock_guard lock{mutex_};
        json items = json::array();
        bool holds = true;
        for (const auto& e : in.value("expectedRevision", json::array()))
        {
            const auto key = e.at("key").get<std::string>();
            const auto found = items_.find(key);
            const bool is_there = found != items_.end() && !found->second.is_deleted;
            holds = holds && (is_there ? found->second.revision : 0) == e.at("revision").get<std::uint64_t>();
            items.push_back(is_there ? as_json(key, found->second) : json{{"key", key}, {"revision", 0}});
        }
        if (!holds)
            return answer(to, 412, as_body, json{{"items", items}, {"currentRev", revision_}}.dump());
        for (const auto& e : in.value("writes", json::array()))
        {
            const auto key = e.at("key").get<std::string>();
            if (key.starts_with("op/") || key.starts_with("servers/"))
                return answer(to, 403, as_body, "{}");
            const auto value = from_base64(e.at("value").get<std::string>());
            change(key, &value);
            written.emplace_back(key, value);
        }
        for (const auto& e : in.value("delete", json::array()))
            change(e.get<std::string>(), nullptr);
        answer(to, 200, as_body, json{{"revision", revision_}}.dump());
        changed_.notify_all();
    }
    for (const auto& [key, value] : written)
        if (on_write)
            on_write(key, value);
}

// Gateways

int gateway::count = 1;

int gateway::port(std::size_t n)
{
    static const std::vector<int> all = []
    {
        std::vector<int> out;
        std::vector<channel> held;
        while (out.size() < 4)
        {
            held.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
            auto at = address_of(host(101), 0);
            socklen_t size = sizeof at;
            if (bind(held.back().fd(), reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 ||
                getsockname(held.back().fd(), reinterpret_cast<sockaddr*>(&at), &size) != 0)
                finish(2, "no free port");
            out.push_back(ntohs(at.sin_port));
        }
        return out;
    }();
    return all.at(n);
}

void gateway::start(const std::string& program, const std::string& folder, const store& platform)
{
    const auto path = folder + "/gateway-" + std::to_string(n_);
    json seeds = json::array();
    for (int n = 1; n <= std::min(count, 3); ++n)
        seeds.push_back(host(100 + n) + ":8229");
    json all{{"instance",
              {{"id", "front-" + std::to_string(n_)},
               {"failure_domain", n_ % 2 == 1 ? "zone-a" : "zone-b"},
               {"link_mbps", 1000.0}}},
             {"listen",
              {{"callers", ip() + ":" + std::to_string(port(0))},
               {"readiness", ip() + ":" + std::to_string(port(1))},
               {"metrics_port", port(3)},
               {"peers", ip() + ":" + std::to_string(port(2))}}},
             {"store", host(1) + ":" + std::to_string(platform.port())},
             {"seeds", seeds},
             {"regions", {{"zone-a", "here"}, {"zone-b", "here"}}},
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
    if (bounds.is_object())
        all["bounds"].update(bounds);
    std::ofstream{path + ".json"} << all.dump(1);
    const auto settings = "RUNLINK_BOOT=" + path + ".json";
    const auto log = path + ".log";
    const char* path_variable = std::getenv("PATH");
    const auto search = std::string{"PATH="} + (path_variable == nullptr ? "/usr/bin" : path_variable);
    const char* const environment[] = {settings.c_str(), search.c_str(), "LANG=C.UTF-8", nullptr};
    const char* const words[] = {program.c_str(), nullptr};
    status_.reset();
    pid_ = fork();
    if (pid_ == 0)
    {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the case, however that ends
        const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        dup2(out, 1);
        dup2(out, 2);
        execve(program.c_str(), const_cast<char* const*>(words), const_cast<char* const*>(environment));
        std::_Exit(127);
    }
    const std::lock_guard lock{process_mutex};
    processes.push_back(pid_);
}

void gateway::signal(int number) const
{
    if (pid_ > 0)
        kill(pid_, number);
}

bool gateway::is_running()
{
    if (status_ || pid_ <= 0)
        return false;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_)
        return true;
    status_ = status;
    const std::lock_guard lock{process_mutex};
    std::erase(processes, pid_);
    return false;
}

bool gateway::end()
{
    if (!is_running())
        return false;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
    status_ = 0;
    const std::lock_guard lock{process_mutex};
    std::erase(processes, pid_);
    return true;
}

bool gateway::is_ready() const
{
    const auto it = call(ip(), port(1), make_request("GET", "/-/ready", {}, ""), 1000);
    return it.status == 200;
}

bool gateway::wait_until_ready(long timeout_ms) const
{
    for (const auto end = elapsed_ms() + timeout_ms; elapsed_ms() < end; sleep_ms(50))
        if (is_ready())
            return true;
    return false;
}

json worker_entry(const std::string& service, const std::string& address, const std::string& zone,
                  const std::string& state, const std::string& version, int slots)
{
    return {{"service", service}, {"address", address}, {"zone", zone},         {"version", version},
            {"slots", slots},     {"state", state},     {"coldRemainingMs", 0}, {"sequence", 1}};
}

// Clients

std::string new_id()
{
    static std::atomic<unsigned> next{1};
    char buf[24];
    std::snprintf(buf, sizeof buf, "%08x%08x", static_cast<unsigned>(getpid()), next++);
    return buf;
}

std::string make_request(const std::string& method, const std::string& target, const fields& head,
                         const std::string& body)
{
    auto all = head;
    if (!body.empty() || method == "POST")
        all.emplace_back("Content-Length", std::to_string(body.size()));
    return write_message(method + " " + target + " HTTP/1.1", all, body);
}

outcome read_answer(channel& on, long timeout_ms)
{
    outcome out;
    out.is_sent = true;
    const auto started = elapsed_ms();
    const auto left = [&] { return std::max(1L, timeout_ms - (elapsed_ms() - started)); };
    const auto more = [&]
    {
        const int n = on.read_more(left());
        out.is_reset = out.is_reset || n < 0;
        return n > 0;
    };
    std::optional<message> head;
    do
    {
        head = read_head(on, left());
    } while (head && head->status() == 100);
    if (head)
    {
        out.answer = *head;
        out.status = head->status();
        auto& rest = on.rest();
        if (lower(head->field("Transfer-Encoding")) == "chunked")
        {
            while (true)
            {
                auto end = rest.find("\r\n");
                if (end == std::string::npos)
                {
                    if (!more())
                        break;
                    continue;
                }
                const auto size = static_cast<std::size_t>(std::strtoul(rest.c_str(), nullptr, 16));
                bool is_there = true;
                while (rest.size() < end + 2 + size + 2 && is_there)
                    is_there = more();
                if (!is_there)
                    break;
                out.answer.body += rest.substr(end + 2, size);
                rest.erase(0, end + 2 + size + 2);
                out.is_whole = size == 0;
                if (out.is_whole)
                    break;
            }
        }
        else
        {
            const auto length = static_cast<std::size_t>(std::atol(head->field("Content-Length").c_str()));
            while (rest.size() < length && more())
            {
            }
            out.is_whole = rest.size() >= length;
            out.answer.body = rest.substr(0, length);
            rest.erase(0, std::min(length, rest.size()));
        }
    }
    out.took_ms = elapsed_ms() - started;
    return out;
}

outcome call(channel& on, const std::string& request, long timeout_ms)
{
    if (!on.is_open() || !on.write(request))
        return {};
    return read_answer(on, timeout_ms);
}

outcome call(const std::string& ip, int port, const std::string& request, long timeout_ms)
{
    auto on = connect_to(ip, port, std::min(timeout_ms, 1000L));
    return call(on, request, timeout_ms);
}

} // namespace review
