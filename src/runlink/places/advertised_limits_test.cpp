// The total request rate of all instances to endpoints that advertise a limit.

#include <catch2/catch.hpp>

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <random>
#include <vector>

#include "runlink/places/advertised_limits.hpp"

using namespace runlink;
using namespace runlink::places;

namespace
{

constexpr time_point start{core::seconds{1000}};
constexpr core::seconds window{4};

core::instance_id instance(int n)
{
    return core::instance_id{"i" + std::to_string(n)};
}

endpoint_id endpoint(int n = 1)
{
    return endpoint_id{"e" + std::to_string(n)};
}

/// Number of requests that an endpoint with this limit can handle in four seconds.
std::size_t max_accepted(double limit)
{
    return static_cast<std::size_t>(std::floor(1.5 * 4 * limit)) + 5;
}

/// Parameters of the instances' requests and of the network between the instances.
struct limit_case
{
    int instances = 7;
    double limit = 2.2;
    double requests_per_s = 60;      ///< from all instances together
    double first_instance_share = 0; ///< fraction of the requests that only the first instance gets
    int first_with_requests = 0;     ///< instances before this one have no requests
    double datagrams_lost = 0;
    milliseconds datagram_delay{5};
    milliseconds connect_time{0};   ///< maximum time between a send and its arrival
    bool delivers_datagrams = true; ///< whether datagrams arrive at all
    int unknown_one_in = 0; ///< one in this many entries is missing in the lists of instances; 0: none
};

/// Instances with random requests for one endpoint, which advertises its limit from the start.
class limit_fleet
{
public:
    explicit limit_fleet(const limit_case& of, advertised_limit_options options = {}) : case_{of}
    {
        for (int n = 0; n < of.instances; ++n)
        {
            auto& views = views_.emplace_back(instance(n));
            for (int other = 0; other < of.instances; ++other)
                if (other == n || of.unknown_one_in == 0 || (n * 31 + other * 17) % of.unknown_one_in != 0)
                    views.put(instance(other), {});
            auto& it = all_.emplace_back(options, instance(n), views);
            it.settle(start);
            it.on_answer(start, endpoint(), of.limit, start);
        }
    }

    void run(core::seconds length)
    {
        const auto end = now_ + length;
        while (now_ < end)
        {
            now_ += milliseconds{1};
            deliver();
            arrive();
            for (int n = 0; n < case_.instances; ++n)
                report(n);
        }
    }

    void set_requests(double per_s) { case_.requests_per_s = per_s; }
    advertised_limits& at(int n) { return all_[static_cast<std::size_t>(n)]; }
    time_point now() const { return now_; }
    std::size_t arrived() const { return arrivals_.size(); }
    std::size_t most_in_window() const
    {
        auto all = arrivals_;
        std::sort(all.begin(), all.end());
        std::size_t most = 0;
        for (std::size_t first = 0, n = 0; n < all.size(); ++n)
        {
            while (all[first] + window < all[n])
                ++first;
            most = std::max(most, n - first + 1);
        }
        return most;
    }

private:
    struct datagram
    {
        time_point at{};
        int from = 0;
        int to = 0;
        limit_report what;
    };

    bool happens(double part) { return std::uniform_real_distribution<>{0, 1}(random_) < part; }

    void arrive()
    {
        constexpr double ms_per_s = 1000;
        if (!happens(case_.requests_per_s / ms_per_s))
            return;
        const int n = happens(case_.first_instance_share)
                          ? 0
                          : static_cast<int>(random_() % static_cast<unsigned>(case_.instances));
        if (n < case_.first_with_requests)
            return;
        if (!at(n).may_send(now_, endpoint()))
            return;
        at(n).sent(now_, endpoint());
        const auto late = case_.connect_time.count() == 0
                              ? 0
                              : static_cast<milliseconds::rep>(
                                    random_() % static_cast<unsigned>(case_.connect_time.count()));
        arrivals_.push_back(now_ + milliseconds{late});
    }

    void send(int from, const core::instance_id& to, const limit_report& what)
    {
        if (!case_.delivers_datagrams || happens(case_.datagrams_lost))
            return;
        for (int n = 0; n < case_.instances; ++n)
            if (instance(n) == to)
                queue_.push_back({now_ + case_.datagram_delay, from, n, what});
    }

    void report(int n)
    {
        if (at(n).next_due().value_or(time_point::max()) > now_)
            return;
        const auto due = at(n).take_due(now_);
        for (const auto& id : due.to_all)
            for (int other = 0; other < case_.instances; ++other)
                if (other != n)
                    send(n, instance(other), at(n).report(now_, id));
        for (const auto& id : due.to_senders)
            for (const auto& to : at(n).other_senders(id))
                send(n, to, at(n).report(now_, id));
    }

    void deliver()
    {
        while (!queue_.empty() && queue_.front().at <= now_)
        {
            const auto it = queue_.front();
            queue_.pop_front();
            at(it.to).on_report(now_, instance(it.from), it.what);
        }
    }

    limit_case case_;
    std::mt19937_64 random_{11};
    time_point now_ = start;
    std::deque<sender_set> views_;
    std::deque<advertised_limits> all_;
    std::vector<time_point> arrivals_;
    std::deque<datagram> queue_;
};

/// Fraction of the limit that was used.
double used_fraction(const limit_fleet& it, double limit, core::seconds length)
{
    return static_cast<double>(it.arrived()) / (limit * static_cast<double>(length.count()));
}

constexpr core::seconds minute{60};

} // namespace

TEST_CASE("an endpoint that names a limit gets no more than it bears from all instances together")
{
    for (const double limit : {0.0, 0.2, 0.5, 1.0, 2.2, 10.0, 40.0})
        for (const int instances : {1, 3, 7, 65})
        {
            limit_case of;
            of.instances = instances;
            of.limit = limit;
            of.requests_per_s = std::max(200, 10 * instances);
            limit_fleet it{of};
            it.run(minute);
            INFO(instances << " instances, limit " << limit << ", " << it.most_in_window() << " in 4 s");
            CHECK(it.most_in_window() <= max_accepted(limit));
            CHECK(it.arrived() > 0);
            if (limit >= 1.0)
                CHECK(used_fraction(it, limit, minute) > 0.6);
        }
}

TEST_CASE("the limit holds with late and lost datagrams, slow connections, and views that differ")
{
    for (const double limit : {0.0, 0.5, 2.2, 10.0})
        for (const int instances : {7, 65})
        {
            limit_case of;
            of.instances = instances;
            of.limit = limit;
            of.requests_per_s = 400;
            of.datagrams_lost = 0.3;
            of.datagram_delay = milliseconds{60};
            of.connect_time = milliseconds{250};
            of.unknown_one_in = 29;
            limit_fleet it{of};
            it.run(minute);
            INFO(instances << " instances, limit " << limit << ", " << it.most_in_window() << " in 4 s");
            CHECK(it.most_in_window() <= max_accepted(limit));
        }
}

TEST_CASE("the limit holds in a large fleet")
{
    for (const double limit : {0.5, 10.0})
    {
        limit_case of;
        of.instances = 295;
        of.limit = limit;
        of.requests_per_s = 2950;
        of.datagrams_lost = 0.1;
        of.unknown_one_in = 29;
        limit_fleet it{of};
        it.run(core::seconds{20});
        INFO("limit " << limit << ", " << it.most_in_window() << " in 4 s");
        CHECK(it.most_in_window() <= max_accepted(limit));
        CHECK(it.arrived() > 0);
    }
}

TEST_CASE("the limit holds for instances that hear nothing of each other")
{
    for (const double limit : {0.0, 0.5, 2.2, 10.0})
        for (const int instances : {7, 65})
        {
            limit_case of;
            of.instances = instances;
            of.limit = limit;
            of.requests_per_s = 400;
            of.delivers_datagrams = false;
            limit_fleet it{of};
            it.run(minute);
            INFO(instances << " instances, limit " << limit);
            CHECK(it.most_in_window() <= max_accepted(limit));
        }
}

TEST_CASE("senders with many requests use the unused parts of the others")
{
    limit_case of;
    of.limit = 4;
    of.requests_per_s = 30;
    of.first_instance_share = 0.9;
    limit_fleet it{of};
    it.run(minute);
    CHECK(used_fraction(it, of.limit, minute) > 0.7);
    CHECK(it.most_in_window() <= max_accepted(of.limit));
    // With fixed parts for each sender, most of the limit is unused.
    advertised_limit_options fixed;
    fixed.peer_timeout = milliseconds{0};
    limit_fleet other{of, fixed};
    other.run(minute);
    CHECK(used_fraction(other, of.limit, minute) < 0.5);
}

TEST_CASE("missed sends are not made up for after a time without requests or a pause")
{
    limit_case of;
    of.requests_per_s = 0;
    limit_fleet it{of};
    it.run(minute);
    it.set_requests(400);
    it.run(core::seconds{4});
    CHECK(it.arrived() <= max_accepted(of.limit));
    for (int n = 0; n < of.instances; ++n)
        it.at(n).restart_pace(it.now());
    it.run(minute);
    CHECK(it.most_in_window() <= max_accepted(of.limit));
}

TEST_CASE("a limit ends by the answer to a request that was sent after it was named, and others are told")
{
    sender_set view{instance(0)};
    advertised_limits it{{}, instance(0), view};
    it.settle(start);
    CHECK(it.on_answer(start, endpoint(), 2.0, start - milliseconds{50}) == limit_change::named);
    const auto later = start + milliseconds{100};
    CHECK(it.on_answer(later, endpoint(), std::nullopt, start - milliseconds{10}) == limit_change::none);
    CHECK(it.on_answer(later, endpoint(), 3.0, start - milliseconds{10}) == limit_change::none);
    CHECK(it.limit_of(endpoint()) == 2.0);
    CHECK(it.on_answer(later, endpoint(), 0.5, start - milliseconds{10}) == limit_change::lowered);
    CHECK(it.on_answer(later + milliseconds{50}, endpoint(), std::nullopt, later) == limit_change::ended);
    CHECK_FALSE(it.limit_of(endpoint()));
    CHECK(it.may_send(later + milliseconds{50}, endpoint()));
    const auto due = it.take_due(later + milliseconds{50});
    REQUIRE(due.to_all.size() == 1);
    CHECK_FALSE(it.report(later + milliseconds{60}, endpoint()).requests_per_s);
    CHECK(it.report(later + milliseconds{60}, endpoint()).age == milliseconds{10});
}

TEST_CASE("the newest statement holds, whoever tells it; one that has ended is forgotten")
{
    sender_set view{instance(0)};
    view.put(instance(1), {});
    advertised_limits it{{}, instance(0), view};
    it.settle(start);
    CHECK(it.on_report(start, instance(1), {endpoint(), 2.0, milliseconds{500}, 0}).change ==
          limit_change::named);
    CHECK(it.on_report(start, instance(1), {endpoint(), std::nullopt, milliseconds{800}, 0}).change ==
          limit_change::none);
    CHECK(it.limit_of(endpoint()) == 2.0);
    CHECK(it.on_report(start, instance(1), {endpoint(), std::nullopt, milliseconds{100}, 0}).change ==
          limit_change::ended);
    CHECK(it.on_report(start, instance(1), {endpoint(2), std::nullopt, milliseconds{0}, 0}).change ==
          limit_change::none);
    CHECK(it.size() == 1);
    it.forget_if(start + core::seconds{11}, [](const endpoint_id&) { return false; });
    CHECK(it.size() == 0);
    // The store entry of an endpoint may come back after an outage of the store.
    it.on_answer(start, endpoint(), 2.0, start);
    it.forget_if(start + core::seconds{599}, [](const endpoint_id&) { return true; });
    CHECK(it.limit_of(endpoint()) == 2.0);
    it.forget_if(start + core::seconds{600}, [](const endpoint_id&) { return true; });
    CHECK(it.size() == 0);
}

TEST_CASE("only who has heard a limit in an answer tells all others")
{
    sender_set view{instance(0)};
    view.put(instance(1), {});
    advertised_limits it{{}, instance(0), view};
    it.on_report(start, instance(1), {endpoint(), 2.0, milliseconds{0}, 0});
    CHECK(it.take_due(start).to_all.empty());
    it.on_answer(start + milliseconds{1}, endpoint(2), 1e300, start);
    CHECK(it.take_due(start + milliseconds{1}).to_all == std::vector{endpoint(2)});
    CHECK(it.sender_count(endpoint(2)) == 2);
}

TEST_CASE("a caller that is refused by an instance that is no sender comes back when another one may send")
{
    sender_set view{instance(0)};
    for (int n = 1; n < 65; ++n)
        view.put(instance(n), {});
    advertised_limits it{{}, instance(0), view};
    it.settle(start);
    for (int n = 0; n < 65; ++n)
    {
        it.on_answer(start, endpoint(n), 2, start);
        if (it.is_sender(endpoint(n)))
            CHECK(it.next_send_of_any(start, endpoint(n)) == it.next_send(start, endpoint(n)));
        else
            CHECK(it.next_send_of_any(start, endpoint(n)) <= start + milliseconds{600});
    }
}

TEST_CASE("a send that is not written yet loses its place to a lower limit")
{
    sender_set view{instance(0)};
    advertised_limits it{{}, instance(0), view};
    it.settle(start);
    CHECK(it.is_counted(endpoint(), start));
    it.on_answer(start, endpoint(), 10.0, start);
    CHECK_FALSE(it.is_counted(endpoint(), start - milliseconds{1}));
    CHECK(it.is_counted(endpoint(), start + milliseconds{1}));
    it.on_answer(start + milliseconds{5}, endpoint(), 4.0, start);
    CHECK_FALSE(it.is_counted(endpoint(), start + milliseconds{1}));
    it.on_answer(start + milliseconds{9}, endpoint(), 8.0, start + milliseconds{6});
    CHECK(it.is_counted(endpoint(), start + milliseconds{6}));
}

TEST_CASE("the end of a limit is heard where no sender has anything to send")
{
    for (const auto& [instances, first_with_requests] :
         {std::pair{7, 6}, {65, 64}, {295, 294}, {7, 3}, {65, 8}, {295, 30}})
    {
        limit_case of;
        of.instances = instances;
        of.limit = 0;
        of.requests_per_s = 20 * instances;
        of.first_with_requests = first_with_requests;
        of.datagrams_lost = 0.1;
        of.unknown_one_in = 29;
        limit_fleet it{of};
        it.run(core::seconds{60});
        INFO(instances << " instances, " << instances - first_with_requests << " of them have requests");
        CHECK(it.arrived() > 0);
        CHECK(it.most_in_window() <= max_accepted(0));
    }
}

TEST_CASE("senders are drawn from the endpoint's failure domain first")
{
    const core::failure_domain_id near{"near"};
    sender_set view{instance(0)};
    for (int n = 0; n < 30; ++n)
        view.put(instance(n), n % 10 == 3 ? near : core::failure_domain_id{"far"});
    const auto& others = view.other_senders(endpoint(), 4, near);
    for (const int n : {3, 13, 23})
        CHECK(std::find(others.begin(), others.begin() + 3, instance(n)) != others.begin() + 3);
    CHECK_FALSE(view.is_sender(endpoint(), 3, near));
}

TEST_CASE("an instance that is no sender sends where no sender has anything to send")
{
    sender_set view{instance(0)};
    for (int n = 1; n < 65; ++n)
        view.put(instance(n), {});
    int others = 0;
    for (int n = 0; n < 65; ++n)
    {
        advertised_limits it{{}, instance(0), view};
        it.settle(start);
        it.on_answer(start, endpoint(n), 0, start);
        if (it.is_sender(endpoint(n)))
            continue;
        ++others;
        CHECK_FALSE(it.may_send(start + core::seconds{60}, endpoint(n)));
        CHECK(it.may_send(start + core::seconds{500}, endpoint(n)));
    }
    CHECK(others > 50);
}
