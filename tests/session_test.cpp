// Runs the session scripts and compares their traces with the golden files.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include "golden_files.hpp"
#include "support/session_script.hpp"

using namespace runlink::tests;

TEST_CASE("every session gives its golden trace")
{
    const auto scripts = session_scripts();
    REQUIRE_FALSE(scripts.empty());
    for (const auto& it : scripts)
    {
        DYNAMIC_SECTION(it.stem().string())
        {
            REQUIRE(std::filesystem::exists(golden_of(it)));
            CHECK(run_script(read_text(it)) == read_text(golden_of(it)));
        }
    }
}

TEST_CASE("a script that cannot be read is an error")
{
    CHECK_THROWS(run_script("request a r1\nfly\n"));
    CHECK_THROWS(run_script("request a\n"));
}
