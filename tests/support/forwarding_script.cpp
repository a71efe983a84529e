#include "support/forwarding_script.hpp"

#include <functional>
#include <map>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "runlink/routing/request_forwarder.hpp"

namespace runlink::tests
{
namespace
{

using namespace routing;
using words = std::vector<std::string>;

words split(const std::string& line)
{
    std::istringstream in{line};
    words out;
    for (std::string it; in >> it;)
        out.push_back(it);
    return out;
}

/// The lines of a script without comments and empty lines.
std::vector<std::string> commands_of(const std::string& text)
{
    std::istringstream in{text};
    std::vector<std::string> out;
    for (std::string it; std::getline(in, it);)
        if (!it.empty() && it.front() != '#')
            out.push_back(it);
    return out;
}

/// The value of the argument `name=value`, or the fallback.
std::string option(const words& from, const std::string& name, const std::string& fallback = {})
{
    for (const auto& it : from)
        if (it.starts_with(name + "="))
            return it.substr(name.size() + 1);
    return fallback;
}

bool has(const words& from, const std::string& word)
{
    return std::find(from.begin(), from.end(), word) != from.end();
}

route make_route(const std::string& prefix, route_kind kind, const std::string& service)
{
    route out;
    out.name = prefix.substr(1, prefix.size() - 2);
    out.host = "api.example";
    out.path_prefix = prefix;
    out.kind = kind;
    out.services = {{core::service_id{service}, 1}};
    out.timeout = milliseconds{2000};
    out.target_latency = milliseconds{200};
    return out;
}

class forwarder_session
{
public:
    explicit forwarder_session(const words& settings)
        : forwarder_{options(settings), core::failure_domain_id{"north"}, core::instance_id{"i"}, hooks()}
    {
        forwarder_.own_retry_share().on_listed(now_ - core::seconds{60});
    }

    void run(const std::string& line)
    {
        const auto all = split(line);
        const auto found = commands_.find(all.at(0));
        if (found == commands_.end())
            throw std::runtime_error{"unknown command: " + line};
        try
        {
            found->second(all);
        }
        catch (const std::logic_error&)
        {
            throw std::runtime_error{"bad arguments: " + line};
        }
    }

    std::ostringstream out;

private:
    /// `options [keys=last_known]`: optional first line of a script.
    static forwarder_options options(const words& all)
    {
        forwarder_options out;
        if (option(all, "keys") == "last_known")
            out.max_key_age.reset();
        out.regions = places::region_map{{{core::failure_domain_id{"north"}, core::region_id{"here"}},
                                          {core::failure_domain_id{"south"}, core::region_id{"there"}}}};
        out.retries = {core::seconds{10}, 0.88, 30.0 / 7}; // the one instance gets a share of 3
        out.rollouts.schedule.settle_time = milliseconds{500};
        out.rollouts.write_spread = milliseconds{1};
        out.rollouts.schedule.step_fraction = 0.125;
        out.rollouts.schedule.reserve = milliseconds{500};
        out.rollouts.schedule.first_share_percent = 50;
        out.rollouts.schedule.steps_percent = {100};
        out.rollouts.schedule.most_reserve_fraction = 1;
        out.rollouts.schedule.exposure_share = 1;
        out.rollouts.least_answers = 0;
        return out;
    }

    std::ostream& trace()
    {
        return out << std::chrono::floor<milliseconds>(now_.time_since_epoch()).count() << "ms ";
    }

    std::string name(flow_id id) const { return names_.at(id); }

    forwarder_hooks hooks()
    {
        forwarder_hooks to;
        to.start = [this](const attempt_order& it)
        {
            auto& os = trace();
            os << "start a" << it.id << " " << name(it.flow) << " -> " << it.endpoint.id;
            if (!it.via.empty())
                os << " via=" << it.via;
            if (!it.model.empty())
                os << " model=" << it.model;
            if (!it.account.empty())
                os << " account=" << it.account;
            if (it.last_event)
                os << " after=" << *it.last_event;
            if (it.needs_new_connection)
                os << " fresh";
            os << " left=" << it.time_left.count() << "\n";
        };
        to.cancel = [this](core::attempt_id it) { trace() << "cancel a" << it << "\n"; };
        to.ask = [this](const endpoint_entry& it) { trace() << "ask " << it.id << "\n"; };
        to.ask_via = [this](const endpoint_entry& it, const core::instance_id& via)
        { trace() << "ask " << it.id << " via " << via << "\n"; };
        to.probe_path = [this](const endpoint_entry& it) { trace() << "probe path " << it.id << "\n"; };
        to.query_reach = [this](const std::vector<core::instance_id>& asked, const paths::reach_query& it)
        {
            trace() << "query";
            for (const auto& id : asked)
                out << " " << id;
            out << (it.endpoint.empty() ? "" : " for ") << it.endpoint << "\n";
        };
        to.carrier_gone = [this](const core::instance_id& it) { trace() << "carrier gone " << it << "\n"; };
        to.forget_connections = [this](const endpoint_entry& it)
        { trace() << "restarted " << it.id << "\n"; };
        to.forward_answer = [this](flow_id it, core::attempt_id from)
        { trace() << "answer " << name(it) << " from a" << from << "\n"; };
        to.forward_head = [this](flow_id it, core::attempt_id from)
        { trace() << "head " << name(it) << " from a" << from << "\n"; };
        to.forward_bytes = [this](flow_id it, std::string_view bytes)
        { trace() << "bytes " << name(it) << " " << bytes << "\n"; };
        to.forward_end = [this](flow_id it) { trace() << "end " << name(it) << "\n"; };
        to.break_off = [this](flow_id it) { trace() << "break off " << name(it) << "\n"; };
        to.refuse = [this](flow_id it, const refusal& why)
        {
            trace() << "refuse " << name(it) << " " << why.status << " " << to_string(why.why.code)
                    << (why.not_run ? " not_run" : " unknown");
            if (why.not_run && why.why.retry_after &&
                (why.why.detail == "backlog" || why.why.code == core::errc::no_endpoint))
                out << " after=" << why.why.retry_after->count();
            out << "\n";
        };
        to.announce_session_run = [this](const session_run& it)
        { trace() << "tell peers: ran on " << it.version << "\n"; };
        to.announce_prompt_sent = [](const prompt_sent&) {};
        to.announce_prompt_answered = [](const prompt_answered&) {};
        to.log = [this](const decision& it)
        {
            if (it.event == "paths_lost" || it.event == "paths_regained")
                trace() << it.event << " " << it.failure_domain << "\n";
            if (it.event == "endpoint_ended" && it.reason == "refused")
                trace() << it.event << " " << it.endpoint << "\n";
        };
        to.ended = [](const decision&, core::duration) {};
        return to;
    }

    /// `table VERSION [without=ROUTE] [revoked=KEY] [given=KEY] [cold=RATE] [look_region=R] [acme_region=R]`
    void set_table(const words& all)
    {
        std::vector<route> routes{make_route("/look/", route_kind::safe, "app"),
                                  make_route("/pay/", route_kind::unsafe, "app"),
                                  make_route("/llm/", route_kind::streaming, "pool"),
                                  make_route("/open/", route_kind::safe, "app")};
        routes[0].max_attempts = 2;
        routes[2].max_attempts = 3;
        routes[2].resumable = true;
        routes[2].target_latency = milliseconds{1000};
        routes[2].target_gap = milliseconds{500};
        routes[2].timeout = milliseconds{8000};
        routes[2].model_sizes = {core::model_id{"small"}, core::model_id{"large"}};
        routes[3].is_public = true;
        std::erase_if(routes, [&](const auto& it) { return it.name == option(all, "without"); });
        std::vector<account> accounts{{core::account_id{"acme"}, {"k1"}, std::nullopt, {}},
                                      {core::account_id{"bank"}, {"k2"}, 0, {}}};
        for (auto& it : accounts)
            std::erase(it.keys, option(all, "revoked"));
        if (const auto key = option(all, "given"); !key.empty())
            accounts[1].keys.push_back(key);
        if (const auto region = option(all, "look_region"); !region.empty())
            routes[0].regions.emplace_back(region);
        if (const auto region = option(all, "acme_region"); !region.empty())
            accounts[0].regions.emplace_back(region);
        const places::cold_limit cold{std::stod(option(all, "cold", "0")), milliseconds{3000}};
        const std::vector<service> services{{core::service_id{"pool"}, 0, true, {}, {}},
                                            {core::service_id{"app"}, 0, false, {}, cold}};
        forwarder_.apply(std::make_shared<const routing_table>(std::stoull(all.at(1)), routes, services,
                                                               accounts, caller_limits{}));
    }

    /// `endpoint NAME SERVICE [version=V] [life=N] [domain=D] [cold=MS] [leaving]`
    void put_endpoint(const words& all)
    {
        endpoint_entry it;
        it.name = core::endpoint_name{all.at(1)};
        it.incarnation = core::endpoint_incarnation{std::stoull(option(all, "life", "0"))};
        it.id = endpoint_id_of(it.name, it.incarnation);
        it.service = core::service_id{all.at(2)};
        it.version = core::version_id{option(all, "version", "v1")};
        it.failure_domain = core::failure_domain_id{option(all, "domain", "north")};
        it.cold_for = milliseconds{std::stol(option(all, "cold", "0"))};
        it.leaving = has(all, "leaving");
        forwarder_.on_endpoint(now_, it);
    }

    /// `request NAME PATH [key=] [deadline=] [session=] [last=] [tokens=]`
    void request(const words& all)
    {
        inbound_request it;
        it.id = core::request_id{all.at(1)};
        it.host = "api.example";
        it.path = all.at(2);
        it.key = option(all, "key");
        it.time_left = milliseconds{std::stol(option(all, "deadline", "5000"))};
        it.session = core::session_id{option(all, "session")};
        it.prompt_tokens = static_cast<std::uint32_t>(std::stoul(option(all, "tokens", "100")));
        if (const auto last = option(all, "last"); !last.empty())
            it.last_event = std::stoull(last);
        const flow_id id{next_flow_++};
        names_[id] = all.at(1);
        flows_[all.at(1)] = id;
        forwarder_.on_request(now_, id, it);
    }

    static core::contact contact_of(const words& all)
    {
        return has(all, "answered")  ? core::contact::answered
               : has(all, "refused") ? core::contact::refused
                                     : core::contact::silent;
    }

    /// `reached INSTANCE [endpoint=E answered|refused|silent] [carries]`: the instance's reply to a query.
    void reply(const words& all)
    {
        paths::reach_reply it;
        it.sender = core::instance_id{all.at(1)};
        it.endpoint = core::endpoint_id{option(all, "endpoint")};
        if (!it.endpoint.empty())
            it.contact = contact_of(all);
        it.carries = has(all, "carries");
        forwarder_.paths().on_reply(now_, it);
    }

    static attempt_loss loss_of(const words& all)
    {
        return has(all, "not_sent")      ? attempt_loss::not_sent
               : has(all, "not_carried") ? attempt_loss::not_carried
                                         : attempt_loss::broken;
    }

    static core::attempt_id attempt(const words& all)
    {
        return core::attempt_id{std::stoull(all.at(1).substr(1))};
    }

    static attempt_head head_of(const words& all)
    {
        attempt_head out;
        out.status = 200;
        out.is_sealed = !has(all, "unsealed");
        out.not_run = has(all, "not_run");
        if (const auto n = option(all, "confidence"); !n.empty())
            out.confidence = std::stoi(n);
        return out;
    }

    /// `says ENDPOINT [limit=N] [leaving] [rest=MS] [asked=MS]`: the endpoint's statement in an answer to a
    /// request sent `asked` milliseconds ago.
    void deliver_statement(const words& all)
    {
        endpoint_statement it;
        if (const auto n = option(all, "limit"); !n.empty())
            it.requests_per_s = std::stod(n);
        it.is_leaving = has(all, "leaving");
        if (const auto n = option(all, "rest"); !n.empty())
            it.rest = milliseconds{std::stol(n)};
        const auto asked_at = now_ - milliseconds{std::stol(option(all, "asked", "0"))};
        forwarder_.on_statement(now_, core::endpoint_id{all.at(1)}, asked_at, it);
    }

    void answer(const words& all)
    {
        auto head = head_of(all);
        head.status = std::stoi(all.at(2));
        forwarder_.on_answer(now_, attempt(all), head);
    }

    void event(const words& all)
    {
        const auto id = std::stoull(all.at(2));
        forwarder_.on_stream_event(now_, attempt(all), "#" + all.at(2), id);
    }

    void advance(const words& all)
    {
        const auto end = now_ + milliseconds{std::stol(all.at(1))};
        while (now_ < end)
        {
            now_ += milliseconds{1};
            forwarder_.end_wake();
            forwarder_.tick(now_);
        }
    }

    rollout_record record_of(const words& all) const
    {
        rollout_record it;
        it.service = core::service_id{"pool"};
        it.target = core::version_id{"v2"};
        it.share_percent = static_cast<std::uint32_t>(std::stoul(all.at(1)));
        it.revision = std::stoull(option(all, "revision"));
        if (has(all, "succeeded"))
            it.state = rollout_state::succeeded;
        if (has(all, "rolled_back"))
            it.state = rollout_state::rolled_back;
        return it;
    }

    /// All requests of an account have the same content.
    static crashes::element_fingerprint content_of(const words& all)
    {
        return crashes::fingerprint_of({}, core::account_id{all.at(1)});
    }

    /// `suspected ACCOUNT`: other instances saw endpoints end while running its requests.
    void suspect(const words& all)
    {
        const crashes::interrupted_element run{content_of(all), milliseconds{100}};
        for (const std::uint64_t n : {1, 2})
            forwarder_.on_crash_news(now_, {{{crashes::endpoint_id_hash{n}, {run}}}, {}, {}});
    }

    /// `condemned ACCOUNT`: another instance found the account's requests harmful.
    void condemn(const words& all)
    {
        forwarder_.on_crash_news(now_, {{}, {}, {{content_of(all), crashes::element_effect::harmful}}});
    }

    /// `cleared ACCOUNT`: another instance got an answer to the account's requests.
    void clear(const words& all)
    {
        forwarder_.on_crash_news(now_, {{}, {}, {{content_of(all), crashes::element_effect::harmless}}});
    }

    time_point now_{core::seconds{100}};
    request_forwarder forwarder_;
    std::map<flow_id, std::string> names_;
    std::map<std::string, flow_id> flows_;
    std::uint64_t next_flow_ = 1;
    std::map<std::string, std::function<void(const words&)>> commands_{
        {"table", [this](const words& all) { set_table(all); }},
        {"starting", [this](const words&) { forwarder_.begin_start(now_); }},
        {"pause",
         [this](const words& all)
         {
             const auto since = now_;
             now_ += milliseconds{std::stol(all.at(1))};
             forwarder_.on_wake(now_, since);
         }},
        {"proven", [this](const words&) { forwarder_.proven_current(now_); }},
        {"endpoint", [this](const words& all) { put_endpoint(all); }},
        {"gone",
         [this](const words& all) { forwarder_.endpoints().remove(now_, core::endpoint_name{all.at(1)}); }},
        {"unreadable",
         [this](const words& all) { forwarder_.endpoints().drop(core::endpoint_name{all.at(1)}); }},
        {"peer_prompt",
         [this](const words& all)
         {
             forwarder_.on_peer_prompt(
                 now_, {hash_of(core::endpoint_id{all.at(1)}), {}, milliseconds{std::stol(all.at(2))}});
         }},
        {"peer_answer",
         [this](const words& all)
         {
             forwarder_.on_peer_answer(
                 now_, {hash_of(core::endpoint_id{all.at(1)}), milliseconds{std::stol(all.at(2))}});
         }},
        {"evacuate",
         [this](const words& all) { forwarder_.on_evacuated(core::failure_domain_id{all.at(1)}); }},
        {"readmit",
         [this](const words& all) { forwarder_.on_readmitted(now_, core::failure_domain_id{all.at(1)}); }},
        {"instance", [this](const words& all)
         { forwarder_.bounds().put_instance(now_, core::instance_id{all.at(1)}, {}); }},
        {"settled", [this](const words&) { forwarder_.bounds().settle(now_); }},
        {"store_returned", [this](const words&) { forwarder_.endpoints().store_returned(now_); }},
        {"request", [this](const words& all) { request(all); }},
        {"leave", [this](const words& all) { forwarder_.on_caller_left(now_, flows_.at(all.at(1))); }},
        {"sent", [this](const words& all) { forwarder_.on_sent(now_, attempt(all)); }},
        {"says", [this](const words& all) { deliver_statement(all); }},
        {"answer", [this](const words& all) { answer(all); }},
        {"head", [this](const words& all) { forwarder_.on_stream_head(now_, attempt(all), head_of(all)); }},
        {"event", [this](const words& all) { event(all); }},
        {"end", [this](const words& all) { forwarder_.on_stream_end(now_, attempt(all)); }},
        {"lose", [this](const words& all) { forwarder_.on_lost(now_, attempt(all), loss_of(all)); }},
        {"asked",
         [this](const words& all)
         {
             const core::endpoint_id endpoint{all.at(1)};
             if (const auto via = option(all, "via"); !via.empty())
                 forwarder_.on_carried_probe_result(now_, endpoint, core::instance_id{via}, contact_of(all));
             else
                 forwarder_.on_probe_result(now_, endpoint, contact_of(all));
         }},
        {"neighbour",
         [this](const words& all) { forwarder_.paths().put_instance(core::instance_id{all.at(1)}, {}); }},
        {"reached", [this](const words& all) { reply(all); }},
        {"path_probed", [this](const words& all)
         { forwarder_.on_path_probed(now_, core::endpoint_id{all.at(1)}, contact_of(all)); }},
        {"suspected", [this](const words& all) { suspect(all); }},
        {"condemned", [this](const words& all) { condemn(all); }},
        {"cleared", [this](const words& all) { clear(all); }},
        {"advance", [this](const words& all) { advance(all); }},
        {"stop",
         [this](const words& all)
         {
             forwarder_.begin_stop(now_ + milliseconds{std::stol(all.at(1))},
                                   now_ + milliseconds{std::stol(all.at(2))});
         }},
        {"order",
         [this](const words& all)
         {
             forwarder_.on_order(now_,
                                 {core::service_id{"pool"}, core::version_id{"v2"},
                                  milliseconds{std::stol(all.at(1))}, std::stoull(all.at(2))},
                                 now_);
         }},
        {"record", [this](const words& all) { forwarder_.rollouts().on_record(now_, record_of(all)); }},
        {"due",
         [this](const words&)
         {
             for (const auto& it : forwarder_.rollouts().due(now_))
                 trace() << "write " << to_string(it.state) << " " << it.share_percent << " %\n";
         }},
    };
};

} // namespace

std::string run_forwarding_script(const std::string& text)
{
    const auto lines = commands_of(text);
    words settings;
    if (!lines.empty() && lines.front().starts_with("options "))
        settings = split(lines.front());
    forwarder_session it{settings};
    for (const auto& line : lines)
    {
        if (!settings.empty() && line == lines.front())
            continue;
        it.out << "> " << line << "\n";
        it.run(line);
    }
    return it.out.str();
}

} // namespace runlink::tests
