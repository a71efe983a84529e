// The command line for operators.

#include <chrono>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <thread>

#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include "runlink/app/operator_client.hpp"
#include "runlink/app/tables.hpp"
#include "runlink/core/units.hpp"
#include "runlink/observe/log_report.hpp"

namespace
{

using nlohmann::json;
using runlink::app::operator_client;
using runlink::core::errc;
using runlink::core::failure;

constexpr int exit_ok = 0;
constexpr int exit_refused = 1;
constexpr int exit_usage = 2;
constexpr int exit_unreachable = 3;
constexpr int exit_conflict = 4;
constexpr int exit_incomplete = 5;
constexpr auto progress_interval = std::chrono::milliseconds{200};

struct options
{
    std::string address = "127.0.0.1:7080";
    bool as_json = false;
    std::string intent_file;
    std::string plan_file;
    std::string account;
    std::string model;
    int wait_s = 10; ///< longest time to wait until a confirmed plan is in force everywhere
    std::string revision;
    std::vector<std::string> log_files;
    std::string request;
    bool summary = true;
};

int report_failure(const failure& why)
{
    std::cerr << to_string(why.code) << ": " << why.detail << "\n";
    if (why.code == errc::endpoint_lost)
        return exit_unreachable;
    return why.code == errc::plan_conflict ? exit_conflict : exit_refused;
}

int print(const options& opt, const json& doc, const std::string& table)
{
    std::cout << (opt.as_json ? doc.dump(2) + "\n" : table);
    return exit_ok;
}

std::optional<std::string> read_file(const std::string& path)
{
    std::ostringstream buf;
    if (path == "-")
    {
        buf << std::cin.rdbuf();
        return buf.str();
    }
    std::ifstream in{path};
    if (!in)
        return std::nullopt;
    buf << in.rdbuf();
    return buf.str();
}

int show_status(const options& opt, operator_client& client, std::string (*table)(const json&))
{
    const auto it = client.get("/v1/status");
    return it ? print(opt, it.value(), table(it.value())) : report_failure(it.error());
}

/// Sends the intent to the instance and returns the plan that it makes.
runlink::core::result<json> request_plan(const options& opt, operator_client& client)
{
    const auto intent = read_file(opt.intent_file);
    if (!intent)
        return failure{errc::plan_invalid, opt.intent_file + ": cannot be read"};
    return client.post("/v1/intents", *intent);
}

int plan(const options& opt, operator_client& client)
{
    const auto it = request_plan(opt, client);
    if (!it)
        return report_failure(it.error());
    // The plan goes to the standard output, where it can be saved for `confirm`; the table for the operator
    // goes to the standard error stream.
    if (!opt.as_json)
        std::cerr << runlink::app::changes_table(it.value().at("changes"));
    std::cout << it.value().dump(2) << "\n";
    return exit_ok;
}

int diff(const options& opt, operator_client& client)
{
    const auto it = request_plan(opt, client);
    if (!it)
        return report_failure(it.error());
    const auto& changes = it.value().at("changes");
    return print(opt, changes, runlink::app::changes_table(changes));
}

/// Returns the number of instances that have at least this revision in force, and the number of all
/// instances.
std::pair<std::size_t, std::size_t> count_in_force(const json& status, std::uint64_t revision)
{
    std::size_t n = 0;
    for (const auto& it : status.at("members"))
        n += it.value("revision", std::uint64_t{0}) >= revision ? 1 : 0;
    return {n, status.at("members").size()};
}

/// Returns the names of the instances with an earlier revision, each after a space.
std::string instances_behind(const json& status, std::uint64_t revision)
{
    std::string out;
    for (const auto& it : status.at("members"))
        if (it.value("revision", std::uint64_t{0}) < revision)
            out += " " + it.value("instance", "");
    return out;
}

int wait_until_in_force(const options& opt, operator_client& client, std::uint64_t revision)
{
    const auto deadline = runlink::core::runtime_clock::now() + std::chrono::seconds{opt.wait_s};
    std::string behind;
    do
    {
        const auto status = client.get("/v1/status");
        if (!status)
            return report_failure(status.error());
        const auto [n, all] = count_in_force(status.value(), revision);
        if (!opt.as_json)
            std::cerr << "revision " << revision << " in force at " << n << " of " << all << " instances\n";
        if (n == all)
            return print(opt, {{"revision", revision}, {"in_force", n}}, "confirmed\n");
        behind = instances_behind(status.value(), revision);
        std::this_thread::sleep_for(progress_interval);
    } while (runlink::core::runtime_clock::now() < deadline);
    std::cerr << "the plan is accepted, but its revision is not yet in force at:" << behind << "\n";
    return exit_incomplete;
}

int confirm(const options& opt, operator_client& client)
{
    const auto text = read_file(opt.plan_file);
    if (!text)
        return report_failure({errc::plan_invalid, opt.plan_file + ": cannot be read"});
    const auto it = client.post("/v1/plans", *text);
    if (!it)
        return report_failure(it.error());
    return wait_until_in_force(opt, client, it.value().at("revision").get<std::uint64_t>());
}

int show_configuration(const options& opt, operator_client& client)
{
    const auto it =
        client.get("/v1/configuration" + (opt.revision.empty() ? "" : "?revision=" + opt.revision));
    return it ? print(opt, it.value(), it.value().dump(2) + "\n") : report_failure(it.error());
}

int list_revisions(const options& opt, operator_client& client)
{
    const auto current = client.get("/v1/configuration");
    if (!current)
        return report_failure(current.error());
    std::vector<std::vector<std::string>> rows{{"REVISION", "OPERATION"}};
    json list = json::array();
    for (auto n = current.value().at("revision").get<std::uint64_t>(); n > 0; --n)
    {
        const auto it = client.get("/v1/configuration?revision=" + std::to_string(n));
        const auto operation = it ? it.value().value("operation_id", "") : "not kept";
        rows.push_back({std::to_string(n), operation});
        list.push_back({{"revision", n}, {"operation", operation}});
    }
    return print(opt, list, runlink::app::format_table(rows));
}

int explain(const options& opt, operator_client& client)
{
    const auto it = client.get("/v1/explain?account=" + opt.account + "&model=" + opt.model);
    if (!it)
        return report_failure(it.error());
    const auto& e = it.value();
    const auto endpoint =
        e.at("endpoint").is_null() ? "none with free capacity" : e.at("endpoint").get<std::string>();
    return print(opt, e,
                 "version " + e.at("version").get<std::string>() + "\nendpoint " + endpoint + "\ncapacity " +
                     e.at("capacity").dump() + "\n");
}

using runlink::observe::log_records;
using log_report_maker = std::function<std::string(const options&, const log_records&)>;

int read_logs(const options& opt, const log_report_maker& make_report)
{
    log_records logs;
    for (const auto& path : opt.log_files)
    {
        if (path == "-")
        {
            runlink::observe::read_log(std::cin, logs);
            continue;
        }
        std::ifstream in{path};
        if (!in)
            return report_failure({errc::malformed_request, path + ": cannot be read"});
        runlink::observe::read_log(in, logs);
    }
    std::cout << make_report(opt, logs);
    return exit_ok;
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"runlink, the command line for operators of the model-aware router"};
    options opt;
    cli.add_option("--address", opt.address, "Instance to ask, ip:port");
    cli.add_flag("--json", opt.as_json, "Print JSON");
    cli.footer("The operator's key is read from RUNLINK_OPERATOR_KEY.\n"
               "Exit codes: 0 done, 1 refused, 2 usage error, 3 instance unreachable, 4 plan conflict, "
               "5 accepted but not yet in force at every instance.");
    cli.require_subcommand(1);
    std::function<int(operator_client&)> run;
    const auto add = [&](CLI::App& to, const char* name, const char* help, auto action)
    {
        auto* it = to.add_subcommand(name, help);
        it->callback([&run, &opt, action]
                     { run = [&opt, action](operator_client& c) { return action(opt, c); }; });
        return it;
    };
    add(cli, "status", "Show the instances and the revision in force at each",
        [](const options& o, operator_client& c) { return show_status(o, c, runlink::app::status_table); });
    add(cli, "versions", "Show the versions, their states and the ratings of their answers",
        [](const options& o, operator_client& c) { return show_status(o, c, runlink::app::versions_table); });
    add(cli, "plan", "Turn an intent into a plan without applying it", plan)
        ->add_option("-f,--file", opt.intent_file, "Intent, JSON; - reads the standard input")
        ->required();
    add(cli, "diff", "Show what an intent would change", diff)
        ->add_option("-f,--file", opt.intent_file, "Intent, JSON; - reads the standard input")
        ->required();
    auto* confirm_command =
        add(cli, "confirm", "Apply a plan and wait until it is in force at every instance", confirm);
    confirm_command->add_option("plan", opt.plan_file, "Plan, JSON; - reads the standard input")->required();
    confirm_command->add_option("--wait", opt.wait_s, "Seconds to wait");
    auto* config = cli.add_subcommand("config", "Show the configuration");
    config->require_subcommand(1);
    add(*config, "show", "Show the configuration in force", show_configuration)
        ->add_option("--revision", opt.revision, "Show this earlier revision instead");
    add(*config, "history", "List the revisions", list_revisions);
    auto* explain_command =
        add(cli, "explain", "Show the version and the endpoint that a request would get", explain);
    explain_command->add_option("--account", opt.account, "Client account")->required();
    explain_command->add_option("--model", opt.model, "Model, or model/version")->required();
    std::function<int()> run_on_logs;
    const auto add_log_command = [&](const char* name, const char* help, auto make_report)
    {
        auto* it = cli.add_subcommand(name, help);
        it->add_option("files", opt.log_files, "Log files; - reads the standard input")->required();
        it->callback([&run_on_logs, &opt, make_report]
                     { run_on_logs = [&opt, make_report] { return read_logs(opt, make_report); }; });
        return it;
    };
    add_log_command("trace", "Show the events of one request, from the logs of one or more instances",
                    [](const options& o, const log_records& it) { return trace_request(it, o.request); })
        ->add_option("--request", opt.request, "Id of the request")
        ->required();
    add_log_command("logs", "Count the events in logs, by reason",
                    [](const options&, const log_records& it) { return summarize(it); })
        ->add_flag("--summary", opt.summary, "Counts by event and reason; the only report available");
    try
    {
        cli.parse(argc, argv);
    }
    catch (const CLI::ParseError& e)
    {
        return cli.exit(e) == 0 ? exit_ok : exit_usage;
    }
    if (run_on_logs)
        return run_on_logs();
    const auto address = runlink::app::parse_host_port(opt.address);
    if (!address)
    {
        std::cerr << "--address must be an IP address and a port\n";
        return exit_usage;
    }
    QCoreApplication application{argc, argv};
    const char* key = std::getenv("RUNLINK_OPERATOR_KEY");
    operator_client client{*address, key == nullptr ? "" : key};
    return run(client);
}
