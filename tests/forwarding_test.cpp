// Runs the forwarder session scripts and compares their traces with the golden files.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "golden_files.hpp"
#include "support/forwarding_script.hpp"

using namespace runlink::tests;

TEST_CASE("every forwarding session gives its golden trace")
{
    const auto scripts = session_scripts(RUNLINK_FORWARDING_DIR);
    REQUIRE_FALSE(scripts.empty());
    for (const auto& it : scripts)
    {
        DYNAMIC_SECTION(it.stem().string())
        {
            REQUIRE(std::filesystem::exists(golden_of(it)));
            CHECK(run_forwarding_script(read_text(it)) == read_text(golden_of(it)));
        }
    }
}

TEST_CASE("a forwarding script that cannot be read is an error")
{
    CHECK_THROWS(run_forwarding_script("fly\n"));
    CHECK_THROWS(run_forwarding_script("request r1\n"));
}
