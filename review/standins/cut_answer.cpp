/// \file
/// An answer without a length that is reset in transit.
///
/// The workers answer a long request before they have read all of it, as RULES.md allows, and their answers
/// have no length: they finish when their channel does. With the trouble, some of the workers reset the
/// channel of some of their answers in the middle. Without it, they read on, send the rest and close.

#include <cstdlib>

#include "world.hpp"

using namespace review;

namespace
{

constexpr int clients = 4;
constexpr int requests_of_client = 200;
constexpr int requests = clients * requests_of_client;
constexpr int workers = 5;
constexpr int faulty_workers = 3; ///< a share of 0.6
constexpr int every = 3;          ///< they reset one in so many of their answers
constexpr std::size_t request_bytes = 2 * 1024 * 1024;
constexpr std::size_t line_bytes = 100; ///< of a part of an answer
constexpr std::size_t part_lines = 500;
constexpr long deadline_ms = 6000;
constexpr long trouble_ms = 4000; ///< how long answers are reset, from the first request

const std::string host_name = "desk.example";
const std::string key = "k5f0c2e8d1a";

bool has_trouble = true;
std::atomic<int> runs = 0;
std::atomic<int> resets = 0;
std::atomic<long> began_at = 0; ///< when the first request was sent

std::string part(const std::string& id, int page)
{
    auto line = "receipt " + id + ", page " + std::to_string(page) + " of 2 ";
    line.resize(line_bytes - 1, '.');
    std::string out;
    for (std::size_t n = 0; n < part_lines; ++n)
        out += line + "\n";
    return out;
}

std::string whole_body(const std::string& id)
{
    return part(id, 1) + part(id, 2);
}

/// Serves one channel of a worker; `n` counts the answers of a faulty one, and is null for a sound one.
void serve(channel it, std::atomic<int>* n)
{
    const auto head = read_head(it);
    if (!head || head->method() != "POST")
        return;
    const auto id = head->field("X-Runlink-Attempt-Id");
    ++runs;
    note("worker runs " + id);
    it.write(write_message("HTTP/1.1 200 OK",
                           {{"X-Runlink-Attempt-Id", id},
                            {"X-Runlink-Server-Seal", "3e1b.07.5a2." + id},
                            {"Content-Type", "text/plain"},
                            {"Connection", "close"}},
                           part(id, 1)));
    if (has_trouble && n != nullptr && elapsed_ms() < began_at + trouble_ms && ++*n % every == 0)
    {
        ++resets;
        note("worker resets the channel in the middle of the answer to " + id);
        return it.reset();
    }
    const auto length = static_cast<std::size_t>(std::atol(head->field("Content-Length").c_str()));
    std::size_t read = it.rest().size();
    while (read < length)
    {
        it.rest().clear();
        if (it.read_more(2000) <= 0)
            return;
        read += it.rest().size();
    }
    it.write(part(id, 2));
    note("worker ends the answer to " + id);
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
        platform.put(
            "servers/i-" + std::to_string(n),
            worker_entry("receipts", ip + ":" + std::to_string(port), n % 2 == 0 ? "zone-a" : "zone-b"));
    }
    platform.put("op/config",
                 {{"version", 7},
                  {"routes",
                   {{{"name", "r-1"},
                     {"hostname", host_name},
                     {"pathPrefix", "/receipts/"},
                     {"routeType", "unsafe"},
                     {"timeoutMs", deadline_ms},
                     {"targetLatencyMs", 1000},
                     {"priority", 0},
                     {"service", "receipts"},
                     {"maxAttempts", 1},
                     {"public", false}}}},
                  {"services", {{{"name", "receipts"}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
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
    sleep_ms(1000);

    began_at = elapsed_ms();
    std::atomic<int> served = 0;
    std::atomic<int> cut = 0;
    std::atomic<int> other = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
        threads.emplace_back(
            [&, n]
            {
                const auto& to = n % 2 == 0 ? one : two;
                for (int k = 0; k < requests_of_client; ++k)
                {
                    const auto id = new_id();
                    const auto request = make_request("POST", "/receipts/" + id,
                                                      {{"Host", host_name},
                                                       {"X-Runlink-Attempt-Id", id},
                                                       {"X-Runlink-Deadline-Ms", std::to_string(deadline_ms)},
                                                       {"X-Api-Key", key}},
                                                      std::string(request_bytes, 'x'));
                    note("client sends " + id + " to gateway " + (n % 2 == 0 ? "1" : "2"));
                    const auto it = call(to.ip(), to.front(), request, deadline_ms + 1000);
                    const bool is_success = it.status >= 200 && it.status < 300;
                    const bool is_cut = is_success && it.is_whole && it.answer.body != whole_body(id);
                    served += is_success && it.answer.body == whole_body(id) ? 1 : 0;
                    cut += is_cut ? 1 : 0;
                    other += is_success ? 0 : 1;
                    note("client got " + std::to_string(it.status) + " for " + id + ", " +
                         (it.is_whole ? "complete by its length, " : "incomplete, ") +
                         std::to_string(it.answer.body.size()) + " of " +
                         std::to_string(whole_body(id).size()) + " bytes" +
                         (is_cut ? "  <-- a part, as a whole answer" : ""));
                }
            });
    for (auto& it : threads)
        it.join();
    note("requests " + std::to_string(requests) + ", runs " + std::to_string(runs) + ", answers reset " +
         std::to_string(resets) + ", whole answers " + std::to_string(served) + ", parts as whole answers " +
         std::to_string(cut) + ", failures " + std::to_string(other));
    if (runs == 0 || (has_trouble && resets == 0))
        finish(2, "no request reached a worker, or no answer was reset");
    if (!has_trouble && served != requests)
        finish(cut > 0 ? 1 : 2, "without the trouble, not all requests were served");
    if (cut > 0)
        finish(1, std::to_string(cut) + " of " + std::to_string(resets) +
                      " answers that were reset in transit reached the client as whole answers");
    finish(0, "no answer that was reset in transit reached the client as a whole one");
}
