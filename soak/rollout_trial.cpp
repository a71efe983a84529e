#include "soak/rollout_trial.hpp"

#include "operator_documents.hpp"

namespace runlink::soak
{
namespace
{

using mode = standins::served_endpoint::mode;

constexpr milliseconds allowed{16000};
constexpr double ms_per_s = 1000;
constexpr milliseconds poll_interval{20};
constexpr milliseconds drain_delay{3000}; ///< from a roll-back until the new endpoints stop
const char* const old_version = "v1";
const char* const new_version = "v2";

std::vector<version_kind> all_kinds()
{
    return {{"good"},
            {"half fail", mode::fail, 0.5},
            {"every sixth fails", mode::fail, 0.16},
            {"a part fails later", mode::fail, 0.3, 1, milliseconds{9000}},
            {"a part is lost", mode::lose, 0.4},
            {"a part never comes", mode::hang, 0.3},
            {"a part is eight times slower", mode::slow, 0.3, 8},
            {"a part is four times slower", mode::slow, 0.6, 4},
            {"fails, as a part of the old one does", mode::fail, 0.65, 1, milliseconds{}, 0.3}};
}

} // namespace

rollout_trial::rollout_trial(fleet& on, promise_checker& checker, std::uint64_t seed)
    : fleet_{on}, checker_{checker}, random_{seed}, began_{now()}
{
    const auto all = all_kinds();
    kind_ = all[random_() % all.size()];
    for (const auto& it : fleet_.endpoints())
        if (it->server.service() == "pool" && kind_.old_share > 0)
            misbehave(*it, kind_.old_share);
    add_new_endpoints();
    if (kind_.is_bad())
        checker_.bad_version(began_, began_ + allowed, new_version);
    fleet_.store().put(standins::rollout_key,
                       standins::make_rollout(new_version, static_cast<double>(allowed.count()) / ms_per_s));
    QObject::connect(&poll_timer_, &QTimer::timeout, &context_, [this] { poll_status(); });
    poll_timer_.start(poll_interval);
}

void rollout_trial::add_new_endpoints()
{
    for (int n = 0; n < fleet_.options().engines; ++n)
    {
        fleet_.add_endpoint("pool", new_version);
        auto& it = *fleet_.endpoints().back();
        if (!kind_.is_bad())
            continue;
        misbehave(it, kind_.share);
        it.server.on_bad_answer = [this](const auto&) { checker_.bad_answer(now()); };
    }
}

void rollout_trial::misbehave(proxied_endpoint& it, double share)
{
    it.server.slow_times = kind_.times;
    it.server.choose_mode = [this, &it, share]
    { return now() >= began_ + kind_.from && happens(share) ? kind_.answers : it.server.answers; };
}

void rollout_trial::poll_status()
{
    const auto record = fleet_.store().value(standins::rollout_status_key);
    if (!record.is_object() || record.value("state", "") == state_)
        return;
    state_ = record.value("state", "");
    if (state_ == "succeeded")
        stop(old_version);
    if (state_ == "rolled_back")
        QTimer::singleShot(drain_delay, &context_, [this] { stop(new_version); });
}

void rollout_trial::stop(const std::string& version)
{
    for (const auto& it : fleet_.endpoints())
    {
        if (it->server.service() != "pool" || it->server.version() != version)
            continue;
        fleet_.store().remove(standins::endpoint_key(it->server.id()));
        it->proxy.set_fault(link_fault::refuse);
        it->proxy.reset_all();
    }
}

void rollout_trial::finish()
{
    const bool is_over = now() > began_ + allowed;
    if (!is_over || !checker_.is_undisturbed_since(began_))
        return;
    const std::string expected = kind_.is_bad() ? "rolled_back" : "succeeded";
    if (state_ != expected)
        checker_.fail("roll-out: \"" + kind_.name + "\" ended as " + state_);
}

} // namespace runlink::soak
