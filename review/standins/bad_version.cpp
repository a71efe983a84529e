/// \file
/// A bad version whose failures are 4xx answers.
///
/// An operator orders a roll-out to v2. With the trouble, half of v2's answers are failures: it answers
/// proper requests, which v1 serves, with a sealed 400. Without the trouble, v2 serves like v1.

#include <cstdlib>

#include "world.hpp"

using namespace review;

namespace
{

constexpr int gateways = 3;
constexpr int old_workers = 3;
constexpr int new_workers = 3;
constexpr int clients = 12;
constexpr long client_pause_ms = 60;
constexpr long work_ms = 15;
constexpr double roll_out_s = 24;
constexpr double exposure_share = 0.15;
constexpr int exposure_slack = 30;
constexpr long roll_back_ms = 5000;
constexpr int bad_answers_counted = 50;
constexpr long length_ms = 32000; ///< from the order
constexpr long deadline_ms = 1500;

const std::string host_name = "desk.example";
const std::string key = "k5f0c2e8d1a";

bool has_trouble = true;
std::atomic<long> ordered_at = 0; ///< when the store acknowledged the order; 0: not yet
std::atomic<int> at_old = 0;      ///< requests that reached a version until the deadline
std::atomic<int> at_new = 0;
std::atomic<int> bad_answers = 0;
std::atomic<long> counted_at = 0;        ///< when the 50th bad answer was given
std::atomic<int> late = 0;               ///< requests that reached v2 more than `roll_back_ms` after that
std::atomic<int> late_in_time = 0;       ///< those of them until the deadline of the roll-out
std::atomic<bool> has_succeeded = false; ///< the platform has stopped the workers of v1

void serve(channel it, const std::string& instance, bool is_new)
{
    static std::atomic<int> answers = 0;
    while (auto head = read_head(it))
    {
        if (!read_request_body(it, *head))
            return;
        if (!is_new && has_succeeded)
            return;
        const auto id = head->field("X-Runlink-Attempt-Id");
        if (head->field("X-Runlink-Expect-Instance") != instance)
        {
            answer(it, 421, {{"X-Runlink-Instance-Id", instance}}, "");
            continue;
        }
        const long now = elapsed_ms();
        const long ordered = ordered_at;
        if (ordered > 0 && now < ordered + static_cast<long>(roll_out_s * 1000))
            ++(is_new ? at_new : at_old);
        const long counted = counted_at;
        if (is_new && counted > 0 && now > counted + roll_back_ms)
        {
            ++late;
            if (now < ordered + static_cast<long>(roll_out_s * 1000))
                ++late_in_time;
        }
        sleep_ms(work_ms);
        const bool is_bad = has_trouble && is_new && ++answers % 2 == 0;
        if (is_bad && ++bad_answers == bad_answers_counted)
        {
            counted_at = elapsed_ms();
            note("v2 gives its 50th bad answer");
        }
        note((is_new ? "v2 " : "v1 ") + instance + " runs " + id + (is_bad ? ", answers 400" : ""));
        answer(it, is_bad ? 400 : 200,
               {{"X-Runlink-Attempt-Id", id}, {"X-Runlink-Server-Seal", "3e1b." + id}},
               is_bad ? "unknown field" : "noted");
    }
}

void add_worker(store& to, int n, bool is_new)
{
    const auto ip = host((is_new ? 20 : 2) + n);
    const auto instance = (is_new ? "i-new-" : "i-old-") + std::to_string(n);
    const int port = listen_on(ip, 0, [=](channel it) { serve(std::move(it), instance, is_new); });
    to.put("servers/" + instance,
           worker_entry("notices", ip + ":" + std::to_string(port), n % 2 == 0 ? "zone-a" : "zone-b", "ready",
                        is_new ? "v2" : "v1"));
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
    platform.on_write = [&platform](const std::string& name, const std::string& value)
    {
        if (!name.starts_with("status/"))
            return;
        note(name + " = " + value + " after " + std::to_string(bad_answers) + " bad answers");
        if (json::parse(value).at("state") != "succeeded" || has_succeeded.exchange(true))
            return;
        for (int n = 0; n < old_workers; ++n)
            platform.remove("servers/i-old-" + std::to_string(n));
        note("the platform stops the workers of v1");
    };
    platform.start(host(1));
    for (int n = 0; n < old_workers; ++n)
        add_worker(platform, n, false);
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
                     {"maxAttempts", 1},
                     {"public", false}}}},
                  {"services", {{{"name", "notices"}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
                  {"limits",
                   {{"maxHeaderBytes", 16384},
                    {"maxBodyBytes", 4194304},
                    {"headerTimeoutMs", 3000},
                    {"idleTimeoutMs", 15000}}},
                  {"tenants", {{{"name", "desk"}, {"apiKeys", {key}}}}}});

    gateway::count = gateways;
    std::vector<std::unique_ptr<gateway>> all;
    for (int n = 1; n <= gateways; ++n)
    {
        all.push_back(std::make_unique<gateway>(n));
        all.back()->start(program, folder, platform);
    }
    for (const auto& it : all)
        if (!it->wait_until_ready(10000))
            finish(2, "a gateway did not become ready");

    std::atomic<bool> is_over = false;
    std::atomic<int> served = 0;
    std::atomic<int> failed = 0;
    std::vector<std::thread> threads;
    for (int n = 0; n < clients; ++n)
        threads.emplace_back(
            [&, n]
            {
                while (!is_over)
                {
                    const auto id = new_id();
                    const auto& to = *all[static_cast<std::size_t>(n % gateways)];
                    note("client sends " + id + " to gateway " + std::to_string(n % gateways + 1));
                    const auto it = call(to.ip(), to.front(),
                                         make_request("POST", "/notices/" + id,
                                                      {{"Host", host_name},
                                                       {"X-Runlink-Attempt-Id", id},
                                                       {"X-Runlink-Deadline-Ms", std::to_string(deadline_ms)},
                                                       {"X-Api-Key", key}},
                                                      "notice"),
                                         deadline_ms + 500);
                    ++(it.status == 200 ? served : failed);
                    note("client got " + std::to_string(it.status) + " for " + id);
                    sleep_ms(client_pause_ms);
                }
            });
    sleep_ms(4000); // all machines are in touch
    const int failed_before = failed;

    platform.put("op/rollout/notices",
                 {{"service", "notices"}, {"targetVersion", "v2"}, {"durationS", roll_out_s}});
    ordered_at = elapsed_ms();
    note("the roll-out to v2 is ordered");
    for (int n = 0; n < new_workers; ++n)
        add_worker(platform, n, true);
    sleep_ms(length_ms);
    is_over = true;
    for (auto& it : threads)
        it.join();

    const int reached = at_old + at_new;
    const int allowed = static_cast<int>(exposure_share * reached) + exposure_slack;
    const auto status = platform.value("status/rollout/notices");
    note("until the deadline: " + std::to_string(at_new) + " of " + std::to_string(reached) +
         " requests reached v2 (allowed: " + std::to_string(allowed) + "); bad answers " +
         std::to_string(bad_answers) + "; requests to v2 later than 5 s after its 50th bad answer: " +
         std::to_string(late) + ", until the deadline " + std::to_string(late_in_time) + "; status " +
         status.dump() + "; served " + std::to_string(served) + ", failed " + std::to_string(failed));
    if (failed_before > 0 || at_old == 0)
        finish(2, "requests failed before the roll-out");
    if (!has_trouble)
        finish(has_succeeded ? 0 : 2, "without the trouble, v2 is brought in; " + std::to_string(failed) +
                                          " requests failed as the workers of v1 stopped");
    if (late > 0 || at_new > allowed)
        finish(1, "the bad version got " + std::to_string(late) +
                      " requests later than 5 s after its 50th bad answer, " + std::to_string(late_in_time) +
                      " of them until the deadline; status " + status.dump());
    finish(0, "the bad version was kept within its bounds; status " + status.dump());
}
