/// \file
/// Simulated relays on a manual clock, whose links to each other and to the store can be cut.
#pragma once

#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "runlink/control/relay.hpp"

namespace runlink::control
{

inline relay_options small_options()
{
    relay_options out;
    out.min_members = 3;
    return out;
}

/// A set of instances. The first letter of an instance's name is its failure domain.
struct relayed
{
    struct member
    {
        relay* logic = nullptr;
        store_view view{10, 3, core::milliseconds{100}};
        bool direct = false;
        bool silent = false; ///< receives no requests
        bool paused = false; ///< its timers don't run
        bool has_store = true;
        int probes = 0;
        std::vector<std::string> told; ///< applied keys, fetches and lists
        std::vector<std::string> forgotten;
        std::optional<core::time_point> proven;
    };

    core::time_point now{core::seconds{100}};
    std::map<std::string, member> members;
    std::vector<std::unique_ptr<relay>> all;
    std::vector<sync_reply> answers;

    explicit relayed(const std::vector<std::string>& names)
    {
        for (const auto& it : names)
            members[it];
        for (const auto& it : names)
        {
            all.push_back(std::make_unique<relay>(small_options(), instance_id{it}, domain_of(it),
                                                  link_of(it), hooks(it)));
            members[it].logic = all.back().get();
        }
        for (const auto& it : names)
        {
            for (const auto& other : names)
                members[it].logic->put_peer(instance_id{other}, domain_of(other), link_of(other));
            members[it].logic->start(now);
        }
    }

    static core::failure_domain_id domain_of(const std::string& name)
    {
        return core::failure_domain_id{name.substr(0, 1)};
    }

    /// Instances whose name ends in 9 have a fast link.
    static std::uint32_t link_of(const std::string& name) { return name.back() == '9' ? 1000 : 10; }

    relay_hooks hooks(const std::string& name)
    {
        auto& self = members.at(name);
        relay_hooks out;
        out.ask = [this](const instance_id& to, const sync_request& it)
        {
            if (!members.at(to.str()).silent)
                members.at(to.str()).logic->on_request(now, it);
        };
        out.reply = [this](const std::vector<instance_id>& to, const sync_reply& it)
        {
            answers.push_back(it);
            for (const auto& id : to)
                members.at(id.str()).logic->on_reply(now, it);
        };
        out.probe = [this, &self](core::time_point)
        {
            ++self.probes;
            if (self.has_store)
                self.logic->on_own_proof(now);
        };
        out.view = [&self](core::time_point) { return self.view; };
        out.set_direct = [&self](core::time_point, bool direct) { self.direct = direct; };
        out.apply = [&self](core::time_point, const std::vector<kv_event>& events,
                            const core::store_revision& revision)
        {
            self.view.store_revision = revision;
            for (const auto& e : events)
                self.told.push_back(e.item.key);
        };
        out.fetch = [&self](core::time_point) { self.told.emplace_back("fetch "); };
        out.fetch_from = [&self](core::time_point, const std::vector<omitted_value>& values,
                                 const std::vector<instance_id>& from)
        { self.told.push_back("fetch " + values.front().key + " from " + from.front().str()); };
        out.list_again = [&self] { self.told.push_back("list"); };
        out.proven = [&self](core::time_point at) { self.proven = at; };
        out.forget = [&self](core::time_point, const instance_id& id) { self.forgotten.push_back(id.str()); };
        return out;
    }

    /// Cuts these instances off from the store.
    void lose_store(const std::vector<std::string>& from)
    {
        for (const auto& it : from)
        {
            members.at(it).has_store = false;
            members.at(it).view.proof_age = core::milliseconds{5000};
        }
    }

    void advance(int ms)
    {
        for (int n = 0; n < ms; ++n)
        {
            now += core::milliseconds{1};
            for (auto& [name, it] : members)
                if (!it.paused)
                    it.logic->tick(now);
        }
    }

    void pause(const std::string& name) { members.at(name).paused = true; }

    std::vector<std::string> direct() const
    {
        std::vector<std::string> out;
        for (const auto& [name, it] : members)
            if (it.direct)
                out.push_back(name);
        return out;
    }
    member& follower()
    {
        for (auto& [name, it] : members)
            if (!it.direct)
                return it;
        throw std::logic_error{"no follower"};
    }
    void change(const std::string& key, std::uint64_t revision, const std::string& value = "v")
    {
        for (const auto& name : direct())
        {
            auto& it = members.at(name);
            it.view.store_revision = revision;
            it.logic->remember({{key, value, revision}, false});
            it.logic->publish(now, revision);
        }
    }
};

} // namespace runlink::control
