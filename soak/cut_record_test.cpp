#include <catch2/catch.hpp>

#include "soak/cut_record.hpp"

using namespace runlink;
using namespace runlink::soak;

namespace
{

constexpr milliseconds length{8000};

/// The first half of the time is beside a change.
struct cut_fixture
{
    const time_point begin{milliseconds{100000}};
    cut_record record;

    cut_fixture()
    {
        record.watch(begin, 2);
        record.changed(begin);
    }
    void cut(int times, milliseconds after)
    {
        for (int n = 0; n < times; ++n)
            record.cut(begin + after, 0, "r");
    }
    std::size_t faults() const { return record.judge(begin + length).size(); }
};

constexpr milliseconds beside{1000};
constexpr milliseconds later{6000};

} // namespace

TEST_CASE("a cut beside a change counts where there are hardly any at other times")
{
    cut_fixture it;
    CHECK(it.faults() == 0);
    it.cut(1, beside);
    CHECK(it.faults() == 1);
}

TEST_CASE("an instance may cut three times as often beside changes, and not more")
{
    cut_fixture it;
    it.cut(1, later);
    it.cut(2, beside);
    CHECK(it.faults() == 0);
    it.cut(2, beside);
    CHECK(it.faults() == 1);
    CHECK(it.record.beside_changes(it.begin + length, 0).cuts.size() == 4);
    CHECK(it.record.beside_changes(it.begin + length, 1).cuts.empty());
}

TEST_CASE("trouble explains what its instance cuts until four seconds after it, and takes no time")
{
    cut_fixture it;
    const bool is_own = GENERATE(true, false);
    it.record.troubled(it.begin - milliseconds{3500}, it.begin - milliseconds{2500}, is_own ? 0 : 1);
    it.cut(1, beside);
    CHECK(it.faults() == (is_own ? 0 : 1));
    it.cut(1, beside + milliseconds{1000});
    CHECK(it.faults() == 1);
    const auto untroubled = it.record.beside_changes(it.begin + length, 1).time;
    const auto own = it.record.beside_changes(it.begin + length, 0).time;
    CHECK((own < untroubled) == is_own);
}
