/// \file
/// Shared parts of the scripts for streams that must not be cut.
#pragma once

#include <catch2/catch.hpp>

#include <string>

#include "support/forwarding_script.hpp"

namespace runlink::tests
{

inline bool has(const std::string& trace, const std::string& what)
{
    return trace.find(what) != std::string::npos;
}

/// A script with two endpoints, of which the first has begun to stream its answer.
inline const std::string began = R"(table 1
proven
endpoint e1 pool
request r1 /llm/x key=k1 deadline=8000
sent a1
head a1 confidence=90
event a1 1
endpoint e2 pool
)";

/// Checks that the first attempt delivers the complete answer.
inline void check_whole(const std::string& trace)
{
    INFO(trace);
    CHECK_FALSE(has(trace, "cancel a1"));
    CHECK_FALSE(has(trace, "break off r1"));
    CHECK(has(trace, "end r1"));
}

} // namespace runlink::tests
