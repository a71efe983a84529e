// Runs the platform stand-in as a separate process.

#include "platform_standin.hpp"
#include "standin_program.hpp"

int main(int argc, char** argv)
{
    CLI::App cli{"Stand-in for the platform"};
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    cli.add_option("--host", host, "IP address to listen on");
    cli.add_option("--port", port, "Port to listen on; 0 selects a free port");
    CLI11_PARSE(cli, argc, argv);
    QCoreApplication application{argc, argv};
    runlink::standins::platform_standin standin;
    return runlink::standins::serve(standin, host, port);
}
