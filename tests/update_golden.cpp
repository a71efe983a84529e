// Writes the golden files anew, for review. CI never runs this.

#include <iostream>

#include "golden_files.hpp"
#include "support/session_script.hpp"

int main()
{
    using namespace runlink::tests;
    for (const auto& it : session_scripts())
    {
        std::ofstream{golden_of(it)} << run_script(read_text(it));
        std::cout << "wrote " << golden_of(it).filename().string() << "\n";
    }
}
