// Runs the daemon as separate processes, injects external faults, and checks the promises.

#include <iostream>

#include <CLI/CLI.hpp>
#include <QCoreApplication>
#include <QTemporaryDir>

#include "soak/scenario.hpp"

namespace
{

using namespace runlink;

void report(const soak::promise_checker& checker, const soak::scenario& run)
{
    std::cout << checker.request_count() << " requests, " << checker.served_count() << " served";
    for (const auto& [name, n] : checker.check_counts())
        std::cout << ", " << name << " " << n;
    std::cout << "\n";
    if (checker.faults().empty())
        return;
    for (const auto& it : run.event_log())
        std::cout << "  " << it << "\n";
    for (const auto& it : checker.faults())
        std::cout << "BROKEN " << it << "\n";
}

/// Lets streams last until their deadline, even during a planned stop.
void set_for_long_streams(soak::scenario_options& options, soak::fleet_options& deployment)
{
    deployment.stream_timeout = core::milliseconds{20000};
    deployment.stop_grace = core::milliseconds{17000};
    deployment.store_delay = core::milliseconds{350};
    options.recovery += deployment.stop_grace;
}

/// Returns whether all promises held.
bool run_seed(const soak::scenario_options& options, soak::fleet_options deployment, bool keep_logs)
{
    QTemporaryDir directory;
    directory.setAutoRemove(!keep_logs);
    deployment.directory = directory.path().toStdString();
    soak::promise_bounds bounds;
    bounds.streams_end_with_connection = deployment.answers_end_with_connection;
    soak::promise_checker checker{bounds};
    soak::fleet fleet{deployment, checker};
    soak::scenario run{options, fleet, checker};
    run.run();
    const bool good = checker.faults().empty();
    if (!good)
        directory.setAutoRemove(false);
    std::cout << "seed " << options.seed << (options.only_planned ? " (planned work only)" : "") << ": "
              << (good ? "passed" : "FAILED, logs in " + deployment.directory) << "; ";
    if (!run.rolled_out().empty())
        std::cout << "version: " << run.rolled_out() << "; ";
    report(checker, run);
    std::cout.flush();
    return good;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"gateway_soak, real instances under faults from outside"};
    soak::scenario_options options;
    soak::fleet_options deployment;
    std::uint64_t first = 1;
    int seeds = 1;
    long length_s = 20;
    bool keep_logs = false;
    cli.add_option("--program", deployment.program, "The daemon")->required()->check(CLI::ExistingFile);
    cli.add_option("--seed", first, "The first seed");
    cli.add_option("--seeds", seeds, "How many, one after the other");
    cli.add_option("--seconds", length_s, "Time in which faults come, of each seed");
    cli.add_option("--instances", deployment.instances, "Instances")->check(CLI::Range(1, 60));
    cli.add_option("--engines", deployment.engines, "Endpoints of the model service")
        ->check(CLI::Range(1, 60));
    cli.add_flag("--planned", options.only_planned, "Only stops, reloads and changes that operators plan");
    cli.add_flag("--pauses", options.pauses,
                 "Streams of many seconds that pause, keys removed in series, instances far from the store");
    cli.add_flag("--rollouts", options.rolls_out, "Begin with a roll-out of a version, mostly a bad one");
    cli.add_flag("--quiet", options.is_quiet, "No faults but those of the version");
    cli.add_option("--harmful", options.harmful_callers,
                   "Callers of a request that ends each endpoint that runs it");
    cli.add_option(
        "--harmful-parts", options.harmful_part_callers,
        "Callers of requests with a part in their prompts that ends each endpoint that runs them; with "
        "odd seeds, streams end with their connections");
    cli.add_option("--suspend", deployment.shim,
                   "Also suspend instances; this library, loaded into them, stops their steady clock")
        ->check(CLI::ExistingFile);
    cli.add_flag("--statements", options.has_statements,
                 "Endpoints state limits, rest periods or their departure in responses");
    cli.add_option("--cut-off", deployment.redirect_shim,
                   "Cut instances off from all endpoints; this library, loaded into them, redirects their "
                   "connections to proxies of their own")
        ->check(CLI::ExistingFile);
    cli.add_flag(
        "--retries", options.checks_retries,
        "All endpoints of the model service lose their answers while most instances are killed in series");
    cli.add_flag("--copies", options.has_copies, "The store also returns from copies some seconds old");
    cli.add_flag("--keep-logs", keep_logs, "Keep the instances' logs even if all checks pass");
    CLI11_PARSE(cli, argc, argv);
    const QCoreApplication application{argc, argv};
    options.suspends = !deployment.shim.empty();
    options.cuts_off = !deployment.redirect_shim.empty();
    options.length = core::milliseconds{length_s * 1000};
    deployment.retry_slack = 2.5 * deployment.instances;
    if (options.checks_retries)
    {
        // With few requests most of the budget is its slack.
        options.callers_per_instance = 1;
        options.call_pause = core::milliseconds{240};
    }
    if (options.pauses)
        set_for_long_streams(options, deployment);
    int failed = 0;
    for (int n = 0; n < seeds; ++n)
    {
        options.seed = first + static_cast<std::uint64_t>(n);
        deployment.answers_end_with_connection = options.harmful_part_callers > 0 && options.seed % 2 == 1;
        failed += run_seed(options, deployment, keep_logs) ? 0 : 1;
    }
    std::cout << seeds - failed << " passed, " << failed << " failed\n";
    return failed == 0 ? 0 : 1;
}
