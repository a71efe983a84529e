// Runs the endpoint stand-in as a separate process.

#include "endpoint_standin.hpp"
#include "standin_program.hpp"

int main(int argc, char** argv)
{
    CLI::App cli{"Stand-in for a model engine or a plain service"};
    std::string host = "127.0.0.1";
    std::uint16_t port = 0;
    cli.add_option("--host", host, "IP address to listen on");
    cli.add_option("--port", port, "Port to listen on; 0 selects a free port");
    std::uint64_t incarnation = 1;
    cli.add_option("--incarnation", incarnation, "Start number of this process");
    CLI11_PARSE(cli, argc, argv);
    QCoreApplication application{argc, argv};
    runlink::standins::endpoint_standin standin{incarnation};
    return runlink::standins::serve(standin, host, port);
}
