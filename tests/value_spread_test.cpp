// A large value reaches the instances of a failure domain in time, by way of one that has it, or of the
// store.

#define CATCH_CONFIG_MAIN
#include <catch2/catch.hpp>

#include <cstdlib>
#include <memory>
#include <random>

#include "runlink/control/value_download.hpp"
#include "runlink/core/transfer_deadline.hpp"

using namespace runlink;
using namespace runlink::control;

namespace
{

/// Time within which a configuration is in force everywhere.
constexpr milliseconds apply_time{3000};
/// Delay of the announcement to the followers.
constexpr milliseconds news_delay{200};
constexpr std::uint32_t relay_link_mbps = 200;
/// Size of the store's largest value when it is compressed, and as it is read from the store.
constexpr std::size_t compressed_bytes = 210'000;
constexpr std::size_t stored_bytes = 1'400'000;

struct spread_case
{
    std::uint64_t seed = 1;
    int followers = 20;
    std::uint32_t link_mbps = 10;
    double lost = 0;            ///< share of datagrams
    double cut_share = 0;       ///< of the followers, that reach no other instance
    bool is_relay_gone = false; ///< it stops sending after a while
};

/// One relay that has the value, and followers that want it, on a manual clock.
class spread
{
public:
    explicit spread(const spread_case& of) : case_{of}, random_{of.seed}
    {
        part_source_options options;
        options.link_mbps = relay_link_mbps;
        for (int n = 0; n <= of.followers; ++n)
            add(n, n == 0 ? options : part_source_options{.link_mbps = of.link_mbps});
        instances_[0]->item = kv_item{"conf", std::string(compressed_bytes, 'x'), 7};
    }

    /// Returns the time after the change at which the last follower has the value.
    duration run()
    {
        for (std::size_t n = 1; n < instances_.size(); ++n)
            later(news_delay,
                  [this, n] {
                      instances_[n]->download->start(now_, {"conf", 7}, {name(0), name(1)});
                  });
        constexpr core::seconds longest{20};
        while (missing_ > 0 && now_ < start_ + longest)
            step();
        return now_ - start_;
    }

private:
    struct instance
    {
        std::optional<kv_item> item;
        std::unique_ptr<part_source> source;
        std::unique_ptr<value_download> download;
        time_point link_free{}; ///< when its link has delivered what is under way
        bool is_cut = false;
    };

    static instance_id name(std::size_t n) { return instance_id{std::to_string(n)}; }
    bool happens(double share) { return std::uniform_real_distribution<>{0, 1}(random_) < share; }
    void later(duration after, std::function<void()> what) { events_.emplace(now_ + after, std::move(what)); }

    void add(int n, const part_source_options& options)
    {
        auto it = std::make_unique<instance>();
        auto& self = *it;
        self.is_cut = n > 0 && happens(case_.cut_share);
        part_source_hooks source;
        source.find = [&self](const std::string&) { return self.item ? &*self.item : nullptr; };
        source.compress = [](const std::string& value) { return value; };
        source.send = [this, &self](const instance_id& to, const value_part& part)
        {
            constexpr std::size_t header_bytes = 100;
            deliver(self, to, part.bytes.size() + header_bytes,
                    [this, part](instance& at) { at.download->on_part(now_, part); });
        };
        self.source = std::make_unique<part_source>(options, name(n), source);
        download_hooks download;
        download.ask = [this, &self](const instance_id& to, const part_request& request)
        {
            constexpr std::size_t request_bytes = 100;
            deliver(self, to, request_bytes,
                    [this, request](instance& at) { at.source->on_request(now_, request); });
        };
        download.done = [this, &self](time_point, const received_value& value)
        { take(self, value.bytes.size() == compressed_bytes); };
        download.failed = [this, &self](time_point, const wanted_value&, std::string_view) { read(self); };
        self.download = std::make_unique<value_download>(download_options{}, name(n), download);
        missing_ += n > 0 ? 1 : 0;
        instances_.push_back(std::move(it));
    }

    void take(instance& it, bool is_whole)
    {
        REQUIRE(is_whole);
        if (!it.item)
            --missing_;
        it.item = instances_[0]->item;
    }

    /// Time at which the instance's link has delivered so many more bytes.
    time_point arrival(instance& at, std::size_t bytes)
    {
        const auto mbps = &at == instances_[0].get() ? relay_link_mbps : case_.link_mbps;
        at.link_free = std::max(at.link_free, now_) + duration{bytes * 8 / mbps};
        return at.link_free + milliseconds{1};
    }

    void deliver(instance& from, const instance_id& to, std::size_t bytes,
                 const std::function<void(instance&)>& what)
    {
        auto& at = *instances_[std::stoul(to.str())];
        constexpr milliseconds relay_lives{300};
        const bool is_gone =
            case_.is_relay_gone && (&from == instances_[0].get()) && now_ > start_ + relay_lives;
        constexpr milliseconds longest_queue{500};
        if (is_gone || from.is_cut || at.is_cut || happens(case_.lost) || at.link_free - now_ > longest_queue)
            return;
        events_.emplace(arrival(at, bytes), [&at, what] { what(at); });
    }

    /// Reads the value from the store, as a call with the limits of the instance's link.
    void read(instance& it)
    {
        constexpr std::size_t chunk_bytes = 16'000;
        core::transfer_deadline deadline{core::transfer_limits::for_link(case_.link_mbps), now_};
        deadline.on_head(now_, stored_bytes);
        time_point at{};
        for (std::size_t sent = 0; sent < stored_bytes; sent += chunk_bytes)
        {
            at = arrival(it, chunk_bytes);
            REQUIRE(at < deadline.due());
            deadline.on_bytes(at);
        }
        events_.emplace(at, [this, &it] { take(it, true); });
    }

    void step()
    {
        now_ += milliseconds{1};
        while (!events_.empty() && events_.begin()->first <= now_)
            events_.extract(events_.begin()).mapped()();
        for (auto& it : instances_)
        {
            it->source->tick(now_);
            it->download->tick(now_);
        }
    }

    spread_case case_;
    std::mt19937_64 random_;
    time_point start_{core::seconds{100}};
    time_point now_ = start_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<instance>> instances_;
    int missing_ = 0;
};

milliseconds time_of(const spread_case& it)
{
    return std::chrono::ceil<milliseconds>(spread{it}.run());
}

} // namespace

TEST_CASE("a large configuration is in force in time in a failure domain of any size")
{
    for (const int followers : {1, 6, 20, 44, 200})
    {
        INFO(followers << " followers");
        CHECK(time_of({.followers = followers}) < apply_time);
    }
}

TEST_CASE("a large configuration is in force in time on links of 2 Mbit/s")
{
    CHECK(time_of({.link_mbps = 2}) < apply_time);
}

TEST_CASE("followers that reach no other instance read a large configuration from the store in time")
{
    CHECK(time_of({.cut_share = 1}) < apply_time);
}

TEST_CASE("a relay that ends while it hands a large configuration on delays it, but not beyond its time")
{
    CHECK(time_of({.is_relay_gone = true}) < apply_time);
}

TEST_CASE("a large configuration is in force in time on random links, with lost datagrams and cuts")
{
    const auto* text = std::getenv("RUNLINK_SPREAD_SEEDS");
    const int seeds = text == nullptr ? 40 : std::atoi(text);
    for (int n = 1; n <= seeds; ++n)
    {
        std::mt19937_64 random{static_cast<std::uint64_t>(n)};
        spread_case it;
        it.seed = static_cast<std::uint64_t>(n);
        it.followers = std::uniform_int_distribution<>{1, 100}(random);
        it.link_mbps = std::uniform_int_distribution<std::uint32_t>{10, 200}(random);
        it.lost = std::uniform_real_distribution<>{0, 0.05}(random);
        it.cut_share = n % 3 == 0 ? 0.3 : 0;
        it.is_relay_gone = n % 4 == 0;
        INFO("seed " << n << ", " << it.followers << " followers, " << it.link_mbps << " Mbit/s, " << it.lost
                     << " lost, cut " << it.cut_share << ", relay gone " << it.is_relay_gone);
        CHECK(time_of(it) < apply_time);
    }
}
