#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <array>

#include <nlohmann/json.hpp>
#include <unistd.h>

#include "runlink/observe/decision_log.hpp"
#include "runlink/observe/log_report.hpp"

using namespace runlink;
using namespace runlink::observe;

namespace
{

constexpr core::time_point start{core::seconds{50}};

struct pipe_ends
{
    std::array<int, 2> fds{};
    pipe_ends() { REQUIRE(pipe(fds.data()) == 0); }
    ~pipe_ends()
    {
        close(fds[0]);
        close(fds[1]);
    }
    std::vector<nlohmann::json> lines() const
    {
        std::string text;
        std::array<char, 65536> buf{};
        for (ssize_t n = 0; (n = read(fds[0], buf.data(), buf.size())) > 0;)
        {
            text.append(buf.data(), static_cast<std::size_t>(n));
            if (n < static_cast<ssize_t>(buf.size()))
                break;
        }
        std::vector<nlohmann::json> out;
        std::istringstream in{text};
        for (std::string line; std::getline(in, line);)
            out.push_back(nlohmann::json::parse(line));
        return out;
    }
};

std::int64_t no_wall_clock()
{
    return 0;
}

} // namespace

TEST_CASE("each line is one JSON object, also with quotes and control characters in its values")
{
    pipe_ends ends;
    decision_log it{ends.fds[1], {}, "a-1", no_wall_clock};
    it.write(start, log_line{"refused"}.text("reason", "a \"quoted\"\nline\x01").number("status", 503));
    it.flush();
    const auto lines = ends.lines();
    REQUIRE(lines.size() == 1);
    CHECK(lines[0].at("event") == "refused");
    CHECK(lines[0].at("reason") == "a \"quoted\"\nline\x01");
    CHECK(lines[0].at("status") == 503);
    CHECK(lines[0].at("instance") == "a-1");
}

TEST_CASE("routine lines are dropped first, and a line reports how many were dropped")
{
    pipe_ends ends;
    decision_log it{ends.fds[1], {10, 65536, 1U << 20U}, "a", no_wall_clock};
    for (int n = 0; n < 20; ++n)
        it.write(start, log_line{"dispatched"});
    for (int n = 0; n < 5; ++n)
        it.write(start, log_line{"failed"}, log_rank::notable);
    CHECK(it.dropped_lines() == 10);
    it.write(start + core::seconds{1}, log_line{"dispatched"});
    it.flush();
    const auto lines = ends.lines();
    REQUIRE(lines.size() == 17);
    CHECK(lines[14].at("event") == "failed");
    CHECK(lines[15].at("event") == "lines_left_out");
    CHECK(lines[15].at("dispatched") == 10);
}

TEST_CASE("decisions that affect all requests are logged even if failures exhaust the line rate")
{
    pipe_ends ends;
    decision_log it{ends.fds[1], {10, 65536, 1U << 20U}, "a", no_wall_clock};
    for (int n = 0; n < 100; ++n)
        it.write(start, log_line{"failed"}, log_rank::notable);
    it.write(start, log_line{"version_found_bad"}, log_rank::vital);
    it.flush();
    const auto lines = ends.lines();
    REQUIRE(lines.size() == 21);
    CHECK(lines.back().at("event") == "version_found_bad");
}

TEST_CASE("a stalled reader causes dropped lines, but no blocking or unbounded memory")
{
    pipe_ends ends;
    decision_log it{ends.fds[1], {1U << 20U, 32768, 1024}, "a", no_wall_clock};
    const auto line = log_line{"dispatched"}.text("pad", std::string(200, 'x'));
    for (int n = 0; n < 5000; ++n)
        it.write(start, line);
    CHECK(it.dropped_lines() > 3000);
    CHECK(it.written() + it.dropped_lines() == 5000);
}

TEST_CASE("the trace of a request merges several instances and includes their state changes")
{
    std::istringstream in{
        R"(  1.0 b {"t_ms":2000,"instance":"b","event":"ended","request":"r1","reason":"answered","status":200}
noise
{"t_ms":1500,"instance":"a","event":"dispatched","request":"r1","endpoint":"e1","attempt":1}
{"t_ms":1600,"instance":"a","event":"store_lost","reason":"unavailable"}
{"t_ms":1600,"instance":"c","event":"store_lost","reason":"unavailable"}
{"t_ms":1700,"instance":"a","event":"dispatched","request":"r2","endpoint":"e1"}
)"};
    log_records logs;
    read_log(in, logs);
    CHECK(logs.unreadable == 1);
    CHECK(trace_request(logs, "r1") == "  0 ms a dispatched attempt=1 endpoint=e1\n"
                                       "~ 100 ms a store_lost reason=unavailable\n"
                                       "  500 ms b ended reason=answered status=200\n");
    CHECK(trace_request(logs, "r9") == "no log line for request r9\n");
}

TEST_CASE("a summary counts events by reason and dropped lines")
{
    std::istringstream in{R"({"t_ms":1,"instance":"a","event":"refused","request":"r1","reason":"cut_off"}
{"t_ms":2,"instance":"a","event":"refused","request":"r2","reason":"cut_off"}
{"t_ms":3,"instance":"a","event":"listed","reason":"5 endpoints"}
{"t_ms":4,"instance":"a","event":"lines_left_out","dispatched":7}
)"};
    log_records logs;
    read_log(in, logs);
    CHECK(summarize(logs) == "1\tlines_left_out\n1\tlisted\n2\trefused cut_off\n"
                             "4\tlines; left out by the instances: 7; not readable: 0\n");
}
