#include "support/session_script.hpp"

#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <stdexcept>
#include <vector>

#include "support/fake_world.hpp"

namespace runlink::tests
{
namespace
{

using core::request_id;

constexpr std::string_view state_mark = " state: ";

/// The words of one line, and access to the rest of the line as free text.
struct script_line
{
    std::vector<std::string> words;
    std::string text;

    const std::string& word(std::size_t n) const
    {
        if (n >= words.size())
            throw std::runtime_error{"too few words: " + text};
        return words[n];
    }
    std::string rest_from(std::size_t n) const
    {
        std::string out;
        for (std::size_t it = n; it < words.size(); ++it)
            out += (it == n ? "" : " ") + words[it];
        return out;
    }
    std::string option(const std::string& name) const
    {
        for (const auto& it : words)
            if (it.starts_with(name + "="))
                return it.substr(name.size() + 1);
        return {};
    }
    bool flag(const std::string& name) const
    {
        for (const auto& it : words)
            if (it == name)
                return true;
        return false;
    }
};

script_line parse_line(const std::string& text)
{
    script_line out;
    out.text = text;
    std::istringstream in{text};
    for (std::string it; in >> it;)
        out.words.push_back(it);
    return out;
}

class interpreter
{
public:
    std::string run(const std::string& text)
    {
        std::istringstream in{text};
        for (std::string line; std::getline(in, line);)
            if (!line.empty() && line.front() != '#')
                execute(parse_line(line));
        return out_.str();
    }

private:
    using command = std::function<void(const script_line&)>;

    void execute(const script_line& it)
    {
        const auto& name = it.word(0);
        if (name == "instances")
            return start_world({it.words.begin() + 1, it.words.end()});
        if (name == "state")
            return void(show_states_ = it.word(1) != "off");
        if (!world_)
            start_world({"a"});
        const auto found = commands_.find(name);
        if (found == commands_.end())
            throw std::runtime_error{"unknown command: " + it.text};
        if (name != "advance")
            out_ << "> " << it.text << "\n";
        found->second(it);
    }

    void start_world(std::vector<std::string> names)
    {
        world_ = std::make_unique<fake_world>(std::move(names));
        world_->trace = [this](const std::string& line)
        {
            if (show_states_ || line.find(state_mark) == std::string::npos)
                out_ << line << "\n";
        };
        world_->configure(base_configuration());
        show_states_ = false;
        world_->advance(core::seconds{3});
        show_states_ = true;
    }

    void request(const script_line& it)
    {
        core::caller_request r;
        r.id = request_id{it.word(2)};
        r.account = core::account_id{it.option("account").empty() ? "office" : it.option("account")};
        if (!it.option("key").empty())
            r.key = core::idempotency_key{it.option("key")};
        if (!it.option("service").empty())
            r.service = core::service_id{it.option("service")};
        else
            r.model = core::model_id{it.option("model").empty() ? "review" : it.option("model")};
        if (!it.option("version").empty())
            r.version = core::version_id{it.option("version")};
        if (!it.option("deadline").empty())
            r.deadline = core::milliseconds{std::stoi(it.option("deadline"))};
        r.repeatable = !it.flag("once");
        r.quick = it.flag("quick");
        r.stream = it.flag("stream");
        r.fingerprint = it.option("body").empty() ? "body" : it.option("body");
        r.session = it.option("session");
        if (r.session.starts_with("of:"))
            r.session = world_->caller(request_id{r.session.substr(3)}).head.session_token;
        world_->request(it.word(1), r);
    }

    void endpoint(const script_line& it)
    {
        const request_id id{it.word(2)};
        const bool late = it.word(1).starts_with("late-");
        auto* call = late ? world_->first_call_of(id) : world_->open_call_of(id);
        if (call == nullptr)
            return void(out_ << "no attempt is open\n");
        const auto what = late ? it.word(1).substr(5) : it.word(1);
        if (what == "head")
            return world_->endpoint_head(*call);
        if (what == "bytes")
            return world_->endpoint_bytes(*call, it.rest_from(3));
        if (what == "answer")
            return world_->endpoint_answers(*call, it.rest_from(3));
        if (what == "fail")
            return world_->endpoint_answers(*call, it.rest_from(3), 500);
        if (what == "refuse")
            return world_->endpoint_refuses(*call);
        if (what == "lose" || what == "lose-unsent")
            return world_->endpoint_loses(*call, what == "lose");
        throw std::runtime_error{"unknown event: " + it.text};
    }

    void store(const script_line& it)
    {
        const auto& what = it.word(1);
        if (what == "up" || what == "down")
            world_->store.down = what == "down";
        else if (what == "drop-watches")
            world_->store.drop_watches = true;
        else
            world_->store.lose_write_replies = std::stoi(it.option("lose-replies"));
    }

    void plan(const script_line& it)
    {
        const auto made = world_->at(it.word(1)).plan_intent(it.rest_from(3), "op-" + it.word(2));
        if (!made)
            return void(out_ << "no plan: " << to_string(made.error().code) << " " << made.error().detail
                             << "\n");
        plans_[it.word(2)] = made.value();
    }

    void confirm(const script_line& it)
    {
        const auto on_done = [this, name = it.word(2)](const core::result<core::config_revision>& r)
        {
            if (r)
                out_ << name << " confirmed as revision " << r.value() << "\n";
            else
                out_ << name << " not confirmed: " << to_string(r.error().code) << "\n";
        };
        world_->at(it.word(1)).confirm_plan(world_->now(), plans_.at(it.word(2)), on_done);
    }

    void endpoint_state(const script_line& it, bool leaving)
    {
        world_->at(it.word(1))
            .on_endpoint_state(world_->now(), core::endpoint_id{it.word(2)},
                               core::endpoint_incarnation{std::stoull(it.word(3))}, leaving);
    }

    void rate(const script_line& it)
    {
        const auto& name = it.word(2);
        const auto slash = name.find('/');
        const core::version_ref version{core::model_id{name.substr(0, slash)},
                                        core::version_id{name.substr(slash + 1)}};
        for (int n = std::stoi(it.word(4)); n > 0; --n)
            world_->at(it.word(1)).on_rating(version, it.word(3) == "good");
    }

    void show(const script_line& it)
    {
        const auto& what = it.word(1);
        if (what == "runs")
            for (const auto& [work, n] : world_->runs())
                out_ << "  " << work << " ran " << n << "\n";
        if (what == "bills")
            for (const auto& [bill, entries] : world_->bills())
                out_ << "  " << bill << " billed " << entries.size() << ", cost " << entries.front().cost
                     << ", " << to_string(entries.front().outcome) << "\n";
        if (what == "configuration")
            for (const auto& name : world_->names())
                if (world_->is_up(name))
                    out_ << "  " << name << " has revision " << world_->at(name).keeper().revision() << "\n";
        if (what == "versions")
            for (const auto& model : world_->at(it.word(2)).keeper().current()->models)
                for (const auto& version : model.versions)
                    out_ << "  " << model.id << "/" << version.id << " " << to_string(version.state) << "\n";
    }

    std::unique_ptr<fake_world> world_;
    std::ostringstream out_;
    bool show_states_ = true;
    std::map<std::string, std::string> plans_;
    std::map<std::string, command> commands_{
        {"advance", [this](const auto& it) { world_->advance(core::milliseconds{std::stoi(it.word(1))}); }},
        {"request", [this](const auto& it) { request(it); }},
        {"leave", [this](const auto& it) { world_->caller_leaves(it.word(1), request_id{it.word(2)}); }},
        {"endpoint", [this](const auto& it) { endpoint(it); }},
        {"store", [this](const auto& it) { store(it); }},
        {"kill", [this](const auto& it) { world_->kill(it.word(1)); }},
        {"start", [this](const auto& it) { world_->start(it.word(1)); }},
        {"freeze", [this](const auto& it) { world_->freeze(it.word(1)); }},
        {"thaw", [this](const auto& it) { world_->thaw(it.word(1)); }},
        {"stop", [this](const auto& it)
         { world_->at(it.word(1)).begin_stop(world_->now(), core::milliseconds{500}); }},
        {"cut", [this](const auto& it) { world_->cut(it.word(1), it.word(2)); }},
        {"heal", [this](const auto& it) { world_->heal(it.word(1), it.word(2)); }},
        {"plan", [this](const auto& it) { plan(it); }},
        {"confirm", [this](const auto& it) { confirm(it); }},
        {"endpoint-leaving", [this](const auto& it) { endpoint_state(it, true); }},
        {"endpoint-live", [this](const auto& it) { endpoint_state(it, false); }},
        {"rate", [this](const auto& it) { rate(it); }},
        {"show", [this](const auto& it) { show(it); }},
    };
};

} // namespace

std::string run_script(const std::string& text)
{
    return interpreter{}.run(text);
}

} // namespace runlink::tests
