/// \file
/// Code shared by the stand-in programs.
#pragma once

#include <iostream>

#include <CLI/CLI.hpp>
#include <QCoreApplication>

#include "runlink/core/failure.hpp"

namespace runlink::standins
{

/// Listens, prints the address and port, and serves until the process ends. Returns 1 if listening fails.
template <class Standin>
int serve(Standin& standin, const std::string& host, std::uint16_t port)
{
    const auto listening = standin.listen(host, port);
    if (!listening)
    {
        std::cerr << listening.error().detail << "\n";
        return 1;
    }
    std::cout << "listening on " << host << ":" << listening.value() << std::endl;
    return QCoreApplication::exec();
}

} // namespace runlink::standins
