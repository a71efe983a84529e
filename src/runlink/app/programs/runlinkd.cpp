// The daemon: runs one instance.

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include "runlink/app/daemon.hpp"
#include "runlink/app/logging.hpp"
#include "runlink/gateway/signal_watcher.hpp"

namespace
{

constexpr int exit_settings_invalid = 2;

std::vector<std::string> split_secrets(const char* text)
{
    std::vector<std::string> out;
    std::string remaining = text == nullptr ? "" : text;
    while (!remaining.empty())
    {
        const auto comma = remaining.find(',');
        if (comma != 0)
            out.push_back(remaining.substr(0, comma));
        remaining = comma == std::string::npos ? "" : remaining.substr(comma + 1);
    }
    return out;
}

int report_failure(const runlink::core::failure& why)
{
    std::cerr << to_string(why.code) << ":\n" << why.detail << "\n";
    return exit_settings_invalid;
}

int run(int argc, char** argv, const runlink::app::settings& settings)
{
    using namespace runlink;
    const auto secrets = split_secrets(std::getenv(settings.secrets_environment.c_str()));
    if (secrets.empty())
        return report_failure(
            {core::errc::settings_invalid,
             "$.secrets_environment: " + settings.secrets_environment + " is unset or holds no secret"});
    QCoreApplication application{argc, argv};
    app::start_logging(settings.log_level);
    app::daemon daemon{settings, secrets};
    daemon.on_stopped = [] { QCoreApplication::quit(); };
    const auto stop = [&] { daemon.begin_stop(); };
    const gateway::signal_watcher signals{{{SIGTERM, stop}, {SIGINT, stop}}};
    if (const auto started = daemon.start(); !started)
        return report_failure(started.error());
    return QCoreApplication::exec();
}

} // namespace

int main(int argc, char** argv)
{
    CLI::App cli{"runlinkd, an instance of the model-aware router"};
    std::string path;
    std::string check_path;
    auto* settings = cli.add_option("--settings", path, "Settings file of this instance, JSON");
    auto* check =
        cli.add_option("--check-settings", check_path, "Check a settings file, print its faults, and exit");
    settings->excludes(check);
    CLI11_PARSE(cli, argc, argv);
    if (path.empty() && check_path.empty())
    {
        std::cerr << "--settings or --check-settings is required\n";
        return exit_settings_invalid;
    }
    const auto it = runlink::app::load_settings(check_path.empty() ? path : check_path);
    if (!it)
        return report_failure(it.error());
    if (!check_path.empty())
    {
        std::cout << check_path << ": no faults\n";
        return 0;
    }
    return run(argc, argv, it.value());
}
