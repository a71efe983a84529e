#include "support/store_fleet.hpp"

#include <algorithm>
#include <utility>

namespace runlink::tests
{
namespace
{

constexpr const char* configuration_key = "conf";
/// Time within which each change has to be known everywhere.
constexpr core::milliseconds apply_time{2000};

control::relay_options options_of_fleet()
{
    auto out = control::relay_options::within(apply_time);
    out.min_members = 3;
    return out;
}

} // namespace

fleet_instance::fleet_instance(store_model& store, core::instance_id id, core::failure_domain_id domain,
                               std::uint32_t link_mbps, control::relay_options options,
                               std::function<core::time_point()> clock)
    : clock_{std::move(clock)}, follower_{{configuration_key},
                                          store.port(id.str(),
                                                     [this](core::store_era it) { follower_.on_era(it); }),
                                          follower_hooks()},
      relay_{options, std::move(id), std::move(domain), link_mbps, relay_hooks()}
{
    follower_.clock = clock_;
    follower_.set_proof_interval(options.proof_interval());
    follower_.set_gather_delay(options.gather_delay);
}

void fleet_instance::start()
{
    follower_.set_direct(clock_(), false);
    follower_.start();
    relay_.start(clock_());
}

void fleet_instance::tick()
{
    follower_.tick(clock_());
    relay_.tick(clock_());
}

std::optional<std::string> fleet_instance::value(const std::string& key) const
{
    const auto found = values_.find(key);
    return found == values_.end() ? std::nullopt : std::optional{found->second};
}

void fleet_instance::apply(const control::kv_event& it)
{
    if (it.is_from_copy)
        return;
    if (it.is_deleted)
        values_.erase(it.item.key);
    else
        take(it.item.key, it.item.value);
}

void fleet_instance::take(const std::string& key, const std::string& value)
{
    if (key == configuration_key)
        version_ = std::max<std::uint64_t>(version_, std::stoull(value));
    auto& known = values_[key];
    if (known != "draining")
        known = value;
}

control::follower_hooks fleet_instance::follower_hooks()
{
    control::follower_hooks out;
    out.listed = [this](core::time_point now, const std::vector<control::kv_item>& items)
    {
        std::set<std::string> listed;
        for (const auto& it : items)
        {
            listed.insert(it.key);
            take(it.key, it.value);
        }
        std::erase_if(values_, [&](const auto& it) { return !listed.contains(it.first); });
        relay_.remember_all(now, items, follower_.revision());
    };
    out.known = [this]() -> const control::change_history& { return relay_.history(); };
    out.changed = [this](core::time_point, const control::kv_event& it)
    {
        relay_.remember(it);
        apply(it);
    };
    out.caught_up = [this](core::time_point now, core::store_revision it) { relay_.publish(now, it); };
    out.proven = [this](core::time_point sent_at)
    {
        proven_ = std::max(proven_.value_or(sent_at), sent_at);
        relay_.on_own_proof(clock_());
    };
    out.lost = [](auto, auto) {};
    out.regained = [](auto, auto) {};
    return out;
}

control::relay_hooks fleet_instance::relay_hooks()
{
    control::relay_hooks out;
    out.ask = [this](const core::instance_id& to, const control::sync_request& it) { ask(to, it); };
    out.reply = [this](const std::vector<core::instance_id>& to, const control::sync_reply& it)
    { reply(to, it); };
    out.view = [this](core::time_point now)
    {
        control::store_view it;
        it.store_revision = follower_.revision();
        it.configuration_version = version_;
        it.is_recovering = follower_.is_recovering(now);
        if (proven_)
            it.proof_age = now - *proven_;
        return it;
    };
    out.set_direct = [this](core::time_point now, bool direct) { follower_.set_direct(now, direct); };
    out.apply = [this](core::time_point now, const std::vector<control::kv_event>& events,
                       const core::store_revision& revision) { follower_.apply(now, events, revision); };
    out.fetch = [this](core::time_point now) { follower_.prove_soon(now, core::milliseconds{0}); };
    out.fetch_from = [this](core::time_point now, const std::vector<control::omitted_value>&,
                            const std::vector<core::instance_id>&)
    { follower_.prove_soon(now, core::milliseconds{0}); };
    out.list_again = [this] { follower_.list_again(); };
    out.probe = [this](core::time_point now) { follower_.prove_soon(now, core::milliseconds{0}); };
    out.proven = [this](core::time_point sent_at)
    {
        proven_ = std::max(proven_.value_or(sent_at), sent_at);
        follower_.on_proven(clock_(), sent_at);
    };
    return out;
}

store_fleet::store_fleet(const std::vector<std::string>& names)
{
    constexpr std::uint32_t fast_link_mbps = 1000;
    constexpr std::uint32_t slow_link_mbps = 10;
    const auto domain_of = [](const std::string& it) { return core::failure_domain_id{it.substr(0, 1)}; };
    const auto link_of = [](const std::string& it)
    { return it.back() == '9' ? fast_link_mbps : slow_link_mbps; };
    for (const auto& name : names)
    {
        auto& it = instances_[name];
        it = std::make_unique<fleet_instance>(store, core::instance_id{name}, domain_of(name), link_of(name),
                                              options_of_fleet(), [this] { return now_; });
        it->ask = [this, name](const core::instance_id& to, const control::sync_request& request)
        {
            if (!cut_off.contains(name) && !cut_off.contains(to.str()))
                instances_.at(to.str())->relay().on_request(now_, request);
        };
        it->reply = [this, name](const std::vector<core::instance_id>& to, const control::sync_reply& reply)
        {
            for (const auto& id : to)
                if (!cut_off.contains(name) && !cut_off.contains(id.str()))
                    instances_.at(id.str())->relay().on_reply(now_, reply);
        };
    }
    for (const auto& name : names)
        for (const auto& other : names)
            at(name).relay().put_peer(core::instance_id{other}, domain_of(other), link_of(other));
    for (const auto& name : names)
        at(name).start();
}

void store_fleet::advance(core::milliseconds by)
{
    for (core::milliseconds::rep n = 0; n < by.count(); ++n)
    {
        now_ += core::milliseconds{1};
        store.tick();
        for (auto& [name, it] : instances_)
            it->tick();
    }
}

} // namespace runlink::tests
