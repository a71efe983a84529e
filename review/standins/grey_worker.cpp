/// \file
/// A worker that runs some requests and fails them with a 503.
///
/// The workers run each request, for a short time, and answer it. With the trouble, one of them fails some of
/// the requests that it has run: its answer is a sealed 503 without X-Runlink-Not-Executed. Its health probe
/// stays good. Clients repeat a request once after a 503, as it promises that the request has not run.

#include <cstdlib>

#include "world.hpp"

using namespace review;

namespace
{

constexpr int workers = 8;
constexpr int faulty_workers = 1; ///< a share of 0.125
constexpr int fails = 2;          ///< of so many runs below
constexpr int of_runs = 5;
constexpr long trouble_ms = 5000; ///< how long requests are failed, from the first one
constexpr int clients = 8;
constexpr long client_pause_ms = 100;
constexpr long work_ms = 15;
constexpr long deadline_ms = 1500;

const std::string host_name = "desk.example";
const std::string key = "k5f0c2e8d1a";

bool has_trouble = true;
std::atomic<long> began_at = 0; ///< when the first request was sent
std::atomic<int> runs = 0;
std::atomic<int> failed_runs = 0;

std::mutex mutex;
std::map<std::string, int> runs_of_attempt;
std::map<std::string, int> runs_of_notice;

void serve(channel it, const std::string& instance, std::atomic<int>* n)
{
    while (auto head = read_head(it))
    {
        if (!read_request_body(it, *head))
            return;
        if (head->path() == "/health")
        {
            answer(it, 200, {{"X-Runlink-Instance-Id", instance}}, "");
            continue;
        }
        if (head->field("X-Runlink-Expect-Instance") != instance)
        {
            answer(it, 421, {{"X-Runlink-Instance-Id", instance}}, "");
            continue;
        }
        const auto id = head->field("X-Runlink-Attempt-Id");
        ++runs;
        {
            const std::lock_guard lock{mutex};
            ++runs_of_attempt[id];
            ++runs_of_notice[head->body];
        }
        sleep_ms(work_ms);
        const bool is_failed =
            has_trouble && n != nullptr && elapsed_ms() < began_at + trouble_ms && (*n)++ % of_runs < fails;
        failed_runs += is_failed ? 1 : 0;
        note(instance + " has run " + id + " (" + head->body + ") and answers " +
             (is_failed ? "503" : "200"));
        answer(it, is_failed ? 503 : 200,
               {{"X-Runlink-Attempt-Id", id}, {"X-Runlink-Server-Seal", "3e1b." + id}},
               is_failed ? "the ledger did not confirm" : "noted");
    }
}

bool is_promise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
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
        const auto instance = "i-" + std::to_string(n);
        auto* count = n < faulty_workers ? &answers[n] : nullptr;
        const int port =
            listen_on(ip, 0, [instance, count](channel it) { serve(std::move(it), instance, count); });
        platform.put("servers/" + instance, worker_entry("notices", ip + ":" + std::to_string(port),
                                                         n % 2 == 0 ? "zone-a" : "zone-b"));
    }
    platform.put("op/config",
                 {{"version", 7},
                  {"routes",
                   {{{"name", "r-1"},
                     {"hostname", host_name},
                     {"pathPrefix", "/notices/"},
                     {"routeType", "unsafe"},
                     {"timeoutMs", deadline_ms},
                     {"targetLatencyMs", 150},
                     {"priority", 0},
                     {"service", "notices"},
                     {"maxAttempts", 3},
                     {"public", false}}}},
                  {"services", {{{"name", "notices"}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
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
    std::atomic<int> requests = 0;
    std::atomic<int> served = 0;
    std::atomic<int> refused_and_run = 0; ///< answered 408, 421, 429 or 503, and have run
    std::atomic<int> other = 0;
    std::atomic<int> next_notice = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
        threads.emplace_back(
            [&, n]
            {
                const auto& to = n % 2 == 0 ? one : two;
                while (elapsed_ms() < began_at + trouble_ms)
                {
                    const auto notice = "notice " + std::to_string(++next_notice);
                    for (int tries = 0; tries < 2; ++tries)
                    {
                        const auto id = new_id();
                        ++requests;
                        note("client sends " + id + " (" + notice + ") to gateway " +
                             (n % 2 == 0 ? "1" : "2"));
                        const auto it =
                            call(to.ip(), to.front(),
                                 make_request("POST", "/notices/" + std::to_string(n),
                                              {{"Host", host_name},
                                               {"X-Runlink-Attempt-Id", id},
                                               {"X-Runlink-Deadline-Ms", std::to_string(deadline_ms)},
                                               {"X-Api-Key", key}},
                                              notice),
                                 deadline_ms + 500);
                        bool has_run = false;
                        {
                            const std::lock_guard lock{mutex};
                            has_run = runs_of_attempt.contains(id);
                        }
                        const bool is_broken = is_promise(it.status) && has_run;
                        served += it.status == 200 ? 1 : 0;
                        refused_and_run += is_broken ? 1 : 0;
                        other += it.status != 200 && !is_broken ? 1 : 0;
                        note("client got " + std::to_string(it.status) + " for " + id +
                             (is_broken ? "  <-- a promise that it has not run, though it has" : ""));
                        if (!is_promise(it.status))
                            break;
                    }
                    sleep_ms(client_pause_ms);
                }
            });
    for (auto& it : threads)
        it.join();

    int doubled = 0;
    for (const auto& [notice, n] : runs_of_notice)
        doubled += n > 1 ? 1 : 0;
    note("requests " + std::to_string(requests) + ", runs " + std::to_string(runs) +
         ", failed by their worker " + std::to_string(failed_runs) + ", served " + std::to_string(served) +
         ", answered with a promise though they have run " + std::to_string(refused_and_run) + ", other " +
         std::to_string(other) + "; notices that were run twice " + std::to_string(doubled));
    if (runs == 0 || (has_trouble && failed_runs == 0))
        finish(2, "no request reached a worker, or the faulty one");
    if (!has_trouble && served != requests)
        finish(refused_and_run > 0 ? 1 : 2, "without the trouble, not all requests were served");
    if (refused_and_run > 0)
        finish(1, std::to_string(refused_and_run) +
                      " unsafe requests were answered 503 though they have run; " + std::to_string(doubled) +
                      " notices were run twice");
    finish(0, "no request that has run was answered with a promise that it has not");
}
