// Regenerates the golden files for review. CI never runs this program.

#include <iostream>

#include "golden_files.hpp"
#include "support/forwarding_script.hpp"
#include "support/session_script.hpp"

int main()
{
    using namespace runlink::tests;
    for (const auto& it : session_scripts())
    {
        std::ofstream{golden_of(it)} << run_script(read_text(it));
        std::cout << "wrote " << golden_of(it).filename().string() << "\n";
    }
    for (const auto& it : session_scripts(RUNLINK_FORWARDING_DIR))
    {
        std::ofstream{golden_of(it)} << run_forwarding_script(read_text(it));
        std::cout << "wrote forwarding/" << golden_of(it).filename().string() << "\n";
    }
}
