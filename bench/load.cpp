// Sends open-loop load to instances and then, for comparison, directly to endpoints. Starts no processes: the
// addresses are given on the command line.

#include <algorithm>
#include <fstream>
#include <iostream>
#include <map>
#include <random>

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>
#include <QTimer>
#include <boost/histogram.hpp>
#include <unistd.h>

#include "report.hpp"
#include "runlink/app/settings.hpp"
#include "runlink/net/http_client.hpp"

namespace
{

using namespace runlink;
using namespace runlink::bench;
using nlohmann::json;

struct options
{
    std::vector<std::string> targets;
    std::vector<std::string> direct;
    std::vector<int> pids;
    double requests_per_second = 50;
    int duration_s = 10;
    int max_tokens = 8;
    double keyed_share = 0;
    bool stream = true;
    std::string bearer_key = "office-key";
    std::string model = "review";
    std::string direct_model = "review/r1";
    std::uint64_t seed = 1;
    std::string json_path;
};

struct measurements
{
    std::vector<double> first_byte_ms;
    std::vector<double> total_ms;
    std::map<std::string, int> outcomes;
    int sent = 0;
    int complete_answers = 0;
};

/// Sends requests to the given addresses in turn. The intervals between requests are exponentially
/// distributed and do not depend on the answers.
class load_generator
{
public:
    load_generator(const options& opt, std::vector<app::host_port> targets, std::string model)
        : options_{opt}, targets_{std::move(targets)}, model_{std::move(model)}, random_{opt.seed}
    {
    }

    measurements run()
    {
        clock_.start();
        schedule_next();
        QEventLoop loop;
        QTimer poll;
        QObject::connect(&poll, &QTimer::timeout, &loop,
                         [&]
                         {
                             const bool sending_ended = clock_.elapsed() > options_.duration_s * 1000;
                             if (sending_ended && client_.running() == 0)
                                 loop.quit();
                         });
        poll.start(5);
        loop.exec();
        return std::move(out_);
    }

private:
    void schedule_next()
    {
        if (clock_.elapsed() > options_.duration_s * 1000)
            return;
        next_send_ms_ += std::exponential_distribution<double>{options_.requests_per_second}(random_)*1000;
        const auto delay_ms = std::max(0.0, next_send_ms_ - static_cast<double>(clock_.nsecsElapsed()) / 1e6);
        QTimer::singleShot(static_cast<int>(delay_ms), Qt::PreciseTimer,
                           [this]
                           {
                               send();
                               schedule_next();
                           });
    }

    void send()
    {
        const auto n = out_.sent++;
        const auto& target = targets_[static_cast<std::size_t>(n) % targets_.size()];
        net::http_call call;
        call.method = "POST";
        call.host = target.host;
        call.port = target.port;
        call.path = "/v1/chat/completions";
        call.headers = {{"Authorization", "Bearer " + options_.bearer_key},
                        {"Content-Type", "application/json"}};
        if (std::uniform_real_distribution<double>{}(random_) < options_.keyed_share)
            call.headers.emplace_back("Idempotency-Key",
                                      std::to_string(options_.seed) + "-" + std::to_string(n));
        const json message{{"role", "user"}, {"content", "question " + std::to_string(n)}};
        call.body = json{{"model", model_},
                         {"stream", options_.stream},
                         {"max_tokens", options_.max_tokens},
                         {"messages", json::array({message})}}
                        .dump();
        const auto begin = clock_.nsecsElapsed();
        const auto elapsed_ms = [this, begin]
        { return static_cast<double>(clock_.nsecsElapsed() - begin) / 1e6; };
        auto first_byte_seen = std::make_shared<bool>(false);
        net::http_call_hooks hooks;
        hooks.bytes = [this, elapsed_ms, first_byte_seen](const std::string&)
        {
            if (!std::exchange(*first_byte_seen, true))
                out_.first_byte_ms.push_back(elapsed_ms());
        };
        hooks.done = [this, elapsed_ms](const net::http_result& it)
        {
            const bool is_complete = it.complete && it.status == 200;
            out_.complete_answers += is_complete ? 1 : 0;
            if (is_complete)
                out_.total_ms.push_back(elapsed_ms());
            const auto outcome = it.header("Runlink-Outcome");
            ++out_.outcomes[!is_complete && outcome.empty() ? "broken"
                            : outcome.empty()               ? "direct"
                                                            : outcome];
        };
        client_.start(call, std::move(hooks));
    }

    const options& options_;
    std::vector<app::host_port> targets_;
    std::string model_;
    std::mt19937_64 random_;
    net::http_client client_;
    QElapsedTimer clock_;
    double next_send_ms_ = 0;
    measurements out_;
};

/// The percentile `p` (0 to 1) of the values; -1 if there are none.
double percentile(std::vector<double> it, double p)
{
    if (it.empty())
        return -1;
    std::sort(it.begin(), it.end());
    return it[static_cast<std::size_t>(p * static_cast<double>(it.size() - 1))];
}

/// Sums the user and system time of the processes in seconds, as given in /proc/PID/stat.
double processor_seconds(const std::vector<int>& pids)
{
    double out = 0;
    for (const int pid : pids)
    {
        std::ifstream in{"/proc/" + std::to_string(pid) + "/stat"};
        std::string text;
        std::getline(in, text);
        std::istringstream fields{text.substr(text.rfind(')') + 2)};
        std::string skip;
        for (int n = 0; n < 11; ++n)
            fields >> skip;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        out += (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    return out;
}

std::vector<app::host_port> addresses(const std::vector<std::string>& texts)
{
    std::vector<app::host_port> out;
    for (const auto& it : texts)
        if (const auto address = app::parse_host_port(it))
            out.push_back(*address);
    return out;
}

void add_row(report& out, const char* what, const measurements& m)
{
    out.add_row({what, m.sent, m.complete_answers, percentile(m.first_byte_ms, 0.5),
                 percentile(m.first_byte_ms, 0.95), percentile(m.first_byte_ms, 0.99),
                 percentile(m.total_ms, 0.5), percentile(m.total_ms, 0.95), percentile(m.total_ms, 0.99),
                 json(m.outcomes).dump()});
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"Sends open-loop load to instances"};
    options opt;
    cli.add_option("--target", opt.targets, "Instances, ip:port")->required();
    cli.add_option("--direct", opt.direct, "Endpoints to call directly in the same run, ip:port");
    cli.add_option("--pid", opt.pids, "Process ids of the instances, to measure their processor time");
    cli.add_option("--rate", opt.requests_per_second, "Requests per second");
    cli.add_option("--seconds", opt.duration_s, "Duration of the load in seconds");
    cli.add_option("--tokens", opt.max_tokens, "Maximum number of tokens of an answer");
    cli.add_option("--keyed", opt.keyed_share, "Share of the requests that carry an idempotency key, 0 to 1");
    cli.add_flag("--stream,!--whole", opt.stream, "Request streamed (default) or whole answers");
    cli.add_option("--key", opt.bearer_key, "Bearer key");
    cli.add_option("--seed", opt.seed, "Seed of the random send times");
    cli.add_option("--json", opt.json_path, "Append the results to this file");
    CLI11_PARSE(cli, argc, argv);
    QCoreApplication application{argc, argv};
    report out{{"path", "sent", "whole", "first p50 ms", "first p95", "first p99", "total p50 ms",
                "total p95", "total p99", "outcomes"}};
    const auto before = processor_seconds(opt.pids);
    const auto routed = load_generator{opt, addresses(opt.targets), opt.model}.run();
    const auto used = processor_seconds(opt.pids) - before;
    add_row(out, "routed", routed);
    if (!opt.direct.empty())
    {
        const auto direct = load_generator{opt, addresses(opt.direct), opt.direct_model}.run();
        add_row(out, "direct", direct);
        const auto ratio = [&](auto member, double p)
        { return percentile(routed.*member, p) / percentile(direct.*member, p); };
        out.add_row({"routed / direct", "", "", ratio(&measurements::first_byte_ms, 0.5),
                     ratio(&measurements::first_byte_ms, 0.95), ratio(&measurements::first_byte_ms, 0.99),
                     ratio(&measurements::total_ms, 0.5), ratio(&measurements::total_ms, 0.95),
                     ratio(&measurements::total_ms, 0.99), ""});
    }
    out.finish("open loop, " + std::to_string(opt.requests_per_second) + " requests/s", opt.json_path);
    if (!opt.pids.empty() && routed.sent > 0)
        std::cout << "processor time of the instances: " << used / routed.sent * 1e6 << " µs a request\n";
}
