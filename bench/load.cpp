// Open-loop load on instances, and on an engine directly, in one run. Starts nothing: the addresses are
// given.

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
    double rate = 50;
    int seconds = 10;
    int tokens = 8;
    double keyed = 0;
    bool stream = true;
    std::string key = "office-key";
    std::string model = "review";
    std::string direct_model = "review/r1";
    std::uint64_t seed = 1;
    std::string path;
};

struct measured
{
    std::vector<double> first_byte_ms;
    std::vector<double> total_ms;
    std::map<std::string, int> outcomes;
    int sent = 0;
    int whole = 0;
};

/// Sends requests at exponentially distributed times to one group of addresses.
class generator
{
public:
    generator(const options& opt, std::vector<app::host_port> to, std::string model)
        : options_{opt}, to_{std::move(to)}, model_{std::move(model)}, random_{opt.seed}
    {
    }

    measured run()
    {
        clock_.start();
        next();
        QEventLoop loop;
        QTimer poll;
        QObject::connect(&poll, &QTimer::timeout, &loop,
                         [&]
                         {
                             const bool over = clock_.elapsed() > options_.seconds * 1000;
                             if (over && client_.running() == 0)
                                 loop.quit();
                         });
        poll.start(5);
        loop.exec();
        return std::move(out_);
    }

private:
    void next()
    {
        if (clock_.elapsed() > options_.seconds * 1000)
            return;
        due_ms_ += std::exponential_distribution<double>{options_.rate}(random_)*1000;
        const auto wait = std::max(0.0, due_ms_ - static_cast<double>(clock_.nsecsElapsed()) / 1e6);
        QTimer::singleShot(static_cast<int>(wait), Qt::PreciseTimer,
                           [this]
                           {
                               send();
                               next();
                           });
    }

    void send()
    {
        const auto n = out_.sent++;
        const auto& target = to_[static_cast<std::size_t>(n) % to_.size()];
        net::http_call call;
        call.method = "POST";
        call.host = target.host;
        call.port = target.port;
        call.path = "/v1/chat/completions";
        call.headers = {{"Authorization", "Bearer " + options_.key}, {"Content-Type", "application/json"}};
        if (std::uniform_real_distribution<double>{}(random_) < options_.keyed)
            call.headers.emplace_back("Idempotency-Key",
                                      std::to_string(options_.seed) + "-" + std::to_string(n));
        const json message{{"role", "user"}, {"content", "question " + std::to_string(n)}};
        call.body = json{{"model", model_},
                         {"stream", options_.stream},
                         {"max_tokens", options_.tokens},
                         {"messages", json::array({message})}}
                        .dump();
        const auto begin = clock_.nsecsElapsed();
        const auto since = [this, begin] { return static_cast<double>(clock_.nsecsElapsed() - begin) / 1e6; };
        auto first = std::make_shared<bool>(false);
        net::http_call_hooks hooks;
        hooks.bytes = [this, since, first](const std::string&)
        {
            if (!std::exchange(*first, true))
                out_.first_byte_ms.push_back(since());
        };
        hooks.done = [this, since](const net::http_result& it)
        {
            const bool whole = it.complete && it.status == 200;
            out_.whole += whole ? 1 : 0;
            if (whole)
                out_.total_ms.push_back(since());
            const auto outcome = it.header("Runlink-Outcome");
            ++out_.outcomes[!whole && outcome.empty() ? "broken" : outcome.empty() ? "direct" : outcome];
        };
        client_.start(call, std::move(hooks));
    }

    const options& options_;
    std::vector<app::host_port> to_;
    std::string model_;
    std::mt19937_64 random_;
    net::http_client client_;
    QElapsedTimer clock_;
    double due_ms_ = 0;
    measured out_;
};

double percentile(std::vector<double> it, double p)
{
    if (it.empty())
        return -1;
    std::sort(it.begin(), it.end());
    return it[static_cast<std::size_t>(p * static_cast<double>(it.size() - 1))];
}

/// Processor seconds of processes, from the kernel's accounting.
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

void add_row(report& out, const char* what, const measured& m)
{
    out.add({what, m.sent, m.whole, percentile(m.first_byte_ms, 0.5), percentile(m.first_byte_ms, 0.95),
             percentile(m.first_byte_ms, 0.99), percentile(m.total_ms, 0.5), percentile(m.total_ms, 0.95),
             percentile(m.total_ms, 0.99), json(m.outcomes).dump()});
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"Open-loop load on instances"};
    options opt;
    cli.add_option("--target", opt.targets, "Instances, ip:port")->required();
    cli.add_option("--direct", opt.direct, "Engines to call directly in the same run, ip:port");
    cli.add_option("--pid", opt.pids, "Instances' process ids, for their processor time");
    cli.add_option("--rate", opt.rate, "Requests a second");
    cli.add_option("--seconds", opt.seconds, "Length");
    cli.add_option("--tokens", opt.tokens, "Tokens of an answer");
    cli.add_option("--keyed", opt.keyed, "Part of the requests with an idempotency key, 0 to 1");
    cli.add_flag("--stream,!--whole", opt.stream, "Streamed answers");
    cli.add_option("--key", opt.key, "Bearer key");
    cli.add_option("--seed", opt.seed, "Seed of the arrivals");
    cli.add_option("--json", opt.path, "Append the results to this file");
    CLI11_PARSE(cli, argc, argv);
    QCoreApplication application{argc, argv};
    report out{{"path", "sent", "whole", "first p50 ms", "first p95", "first p99", "total p50 ms",
                "total p95", "total p99", "outcomes"}};
    const auto before = processor_seconds(opt.pids);
    const auto routed = generator{opt, addresses(opt.targets), opt.model}.run();
    const auto used = processor_seconds(opt.pids) - before;
    add_row(out, "routed", routed);
    if (!opt.direct.empty())
    {
        const auto direct = generator{opt, addresses(opt.direct), opt.direct_model}.run();
        add_row(out, "direct", direct);
        const auto ratio = [&](auto member, double p)
        { return percentile(routed.*member, p) / percentile(direct.*member, p); };
        out.add({"routed / direct", "", "", ratio(&measured::first_byte_ms, 0.5),
                 ratio(&measured::first_byte_ms, 0.95), ratio(&measured::first_byte_ms, 0.99),
                 ratio(&measured::total_ms, 0.5), ratio(&measured::total_ms, 0.95),
                 ratio(&measured::total_ms, 0.99), ""});
    }
    out.finish("open loop, " + std::to_string(opt.rate) + " requests/s", opt.path);
    if (!opt.pids.empty() && routed.sent > 0)
        std::cout << "processor time of the instances: " << used / routed.sent * 1e6 << " µs a request\n";
}
