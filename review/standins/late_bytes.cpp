/// \file
/// Bytes that belong to no request, late on a kept channel.
///
/// The workers answer each request well, by its length, and keep the channel. With the trouble, some of them
/// send more bytes after some of their whole answers, late, in the place where the next answer is due: a head
/// without X-Runlink-Attempt-Id, which no answer of a worker lacks. The true answer follows at once.

#include <cstdlib>

#include "world.hpp"

using namespace review;

namespace
{

constexpr int requests = 1000;
constexpr int workers = 5;
constexpr int faulty_workers = 3; ///< a share of 0.6
constexpr int every = 34;         ///< they send more after one in so many of their whole answers
constexpr long deadline_ms = 3000;
constexpr long trouble_ms = 5000; ///< how long surplus bytes are sent, from the first request

const std::string host_name = "desk.example";
const std::string key = "k5f0c2e8d1a";
const std::string extra_bytes = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";

bool has_trouble = true;
std::atomic<int> runs = 0;
std::atomic<int> spoiled = 0;
std::atomic<long> began_at = 0; ///< when the first request was sent

std::string body_of(const std::string& id)
{
    return "status of " + id + ": settled\n";
}

/// Serves one channel of a worker; `n` counts the answers of a faulty one, and is null for a sound one.
void serve(channel it, std::atomic<int>* n)
{
    std::string extra;
    while (auto head = read_head(it))
    {
        if (!read_request_body(it, *head))
            return;
        const auto id = head->field("X-Runlink-Attempt-Id");
        if (!extra.empty())
        {
            it.write(std::exchange(extra, {}));
            ++spoiled;
            note("worker sends surplus bytes where the answer to " + id + " is due");
        }
        ++runs;
        note("worker runs and answers " + id);
        answer(it, 200, {{"X-Runlink-Attempt-Id", id}, {"X-Runlink-Server-Seal", "3e1b.07." + id}},
               body_of(id));
        if (has_trouble && n != nullptr && elapsed_ms() < began_at + trouble_ms && ++*n % every == 0)
            extra = extra_bytes;
    }
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4)
        return 2;
    const std::string program = argv[1];
    const std::string folder = argv[2];
    open_record(argv[3]);
    const char* trouble = std::getenv("TROUBLE");
    has_trouble = trouble == nullptr || std::string{trouble} != "0";

    store platform;
    platform.start(host(1));
    static std::atomic<int> answers[faulty_workers];
    for (int n = 0; n < workers; ++n)
    {
        const auto ip = host(2 + n);
        auto* count = n < faulty_workers ? &answers[n] : nullptr;
        const int port = listen_on(ip, 0, [count](channel it) { serve(std::move(it), count); });
        platform.put("servers/i-" + std::to_string(n), worker_entry("status", ip + ":" + std::to_string(port),
                                                                    n % 2 == 0 ? "zone-a" : "zone-b"));
    }
    platform.put("op/config",
                 {{"version", 7},
                  {"routes",
                   {{{"name", "r-1"},
                     {"hostname", host_name},
                     {"pathPrefix", "/status/"},
                     {"routeType", "safe"},
                     {"timeoutMs", deadline_ms},
                     {"targetLatencyMs", 1000},
                     {"priority", 0},
                     {"service", "status"},
                     {"maxAttempts", 2},
                     {"public", false}}}},
                  {"services", {{{"name", "status"}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
                  {"limits",
                   {{"maxHeaderBytes", 16384},
                    {"maxBodyBytes", 4194304},
                    {"headerTimeoutMs", 3000},
                    {"idleTimeoutMs", 15000}}},
                  {"tenants", {{{"name", "desk"}, {"apiKeys", {key}}}}}});

    gateway::count = 2;
    gateway one{1};
    gateway two{2};
    for (auto* it : {&one, &two})
        it->start(program, folder, platform);
    for (auto* it : {&one, &two})
        if (!it->wait_until_ready(10000))
            finish(2, "a gateway did not become ready");
    sleep_ms(4000); // both are in touch

    began_at = elapsed_ms();
    int served = 0;
    int denied = 0;
    int other = 0;
    for (int n = 0; n < requests; ++n)
    {
        const auto id = new_id();
        const auto& to = n % 2 == 0 ? one : two;
        const auto request = make_request("GET", "/status/" + id,
                                          {{"Host", host_name},
                                           {"X-Runlink-Attempt-Id", id},
                                           {"X-Runlink-Deadline-Ms", std::to_string(deadline_ms)},
                                           {"X-Api-Key", key}},
                                          "");
        note("client sends " + id + " to gateway " + (n % 2 == 0 ? "1" : "2"));
        const auto it = call(to.ip(), to.front(), request, deadline_ms + 1000);
        const bool is_served = it.status == 200 && it.is_whole && it.answer.body == body_of(id) &&
                               it.answer.field("X-Runlink-Attempt-Id") == id;
        const bool is_denied = it.status >= 300 && it.status < 500 && it.status != 408 && it.status != 421 &&
                               it.status != 429 && it.answer.field("X-Runlink-Server-Seal").empty();
        served += is_served ? 1 : 0;
        denied += is_denied ? 1 : 0;
        other += !is_served && !is_denied ? 1 : 0;
        note("client got " + std::to_string(it.status) + " for " + id +
             (is_denied ? "  <-- bytes that belong to no request" : ""));
    }
    const int allowed = 5 + requests / 500;
    note("requests " + std::to_string(requests) + ", runs " + std::to_string(runs) + ", surplus bytes " +
         std::to_string(spoiled) + ", served " + std::to_string(served) + ", answered 404 " +
         std::to_string(denied) + " (allowed: " + std::to_string(allowed) + "), other " +
         std::to_string(other));
    if (runs == 0 || (has_trouble && spoiled == 0))
        finish(2, "no request reached a worker, or no channel was kept");
    if (!has_trouble && served != requests)
        finish(denied > 0 ? 1 : 2, "without the trouble, not all requests were served");
    if (denied > allowed)
        finish(1, std::to_string(denied) + " of " + std::to_string(requests) +
                      " allowed requests were answered 404 though a worker served them");
    finish(0, std::to_string(denied) + " allowed requests were answered 404");
}
