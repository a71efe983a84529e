#include <catch2/catch.hpp>

#include "soak/cut_record.hpp"

using namespace runlink;
using namespace runlink::soak;

namespace
{

constexpr milliseconds length{8000};

/// The first half of the recorded time is near a configuration change.
struct cut_fixture
{
    const time_point begin{milliseconds{100000}};
    cut_record record;

    cut_fixture()
    {
        record.watch(begin, 2);
        record.add_change(begin);
    }
    void cut(int times, milliseconds after)
    {
        for (int n = 0; n < times; ++n)
            record.cut(begin + after, 0, "r");
    }
    std::size_t faults() const { return record.find_violations(begin + length).size(); }
};

constexpr milliseconds near_change{1000};
constexpr milliseconds far_from_change{6000};

} // namespace

TEST_CASE("a single cut near a change is reported if there are none at other times")
{
    cut_fixture it;
    CHECK(it.faults() == 0);
    it.cut(1, near_change);
    CHECK(it.faults() == 1);
}

TEST_CASE("an instance may cut up to three times as often near changes as at other times")
{
    cut_fixture it;
    it.cut(1, far_from_change);
    it.cut(2, near_change);
    CHECK(it.faults() == 0);
    it.cut(2, near_change);
    CHECK(it.faults() == 1);
    CHECK(it.record.near_changes(it.begin + length, 0).cuts.size() == 4);
    CHECK(it.record.near_changes(it.begin + length, 1).cuts.empty());
}

TEST_CASE("cuts and time of an instance do not count during a disturbance and for four seconds after it")
{
    cut_fixture it;
    const bool is_own = GENERATE(true, false);
    it.record.add_disturbance(it.begin - milliseconds{3500}, it.begin - milliseconds{2500}, is_own ? 0 : 1);
    it.cut(1, near_change);
    CHECK(it.faults() == (is_own ? 0 : 1));
    it.cut(1, near_change + milliseconds{1000});
    CHECK(it.faults() == 1);
    const auto untroubled = it.record.near_changes(it.begin + length, 1).time;
    const auto own = it.record.near_changes(it.begin + length, 0).time;
    CHECK((own < untroubled) == is_own);
}
