// A worker spoils some of its answers. Checked is what clients read.
//
// MODE=surplus: one byte of a surplus answer is wrong, the first digit of its status. It comes late, in the
// place where the next answer is due.
// MODE=status: the same byte of an answer without a length is wrong.

#include <atomic>
#include <cctype>

#include "lab.hpp"

namespace
{

using namespace lab;

enum class mode
{
    surplus,
    status,
};

constexpr int worker_count = 3; // as coil-api of tct-hanoi has
constexpr int worker_slots = 6;
constexpr double requests_per_s = 24.4; // gate-release and tag-lookup of its sheet
constexpr double run_s = 40;
constexpr int client_count = 14;
/// `garble` of the site file: share 0.35 (one worker of three), x 0.02, for_s 5.0 at most.
constexpr windows garbled{3, 10, 5.0};
constexpr int answers_per_spoilt = 50;

/// The answer to a request. An answer without a length ends with its channel.
std::string answer_to(const std::string& request, const std::string& status, bool has_length)
{
    const auto body = "answer to " + request;
    return "HTTP/1.1 " + status + " OK\r\nX-Runlink-Attempt-Id: " + request +
           "\r\nX-Runlink-Server-Seal: seal." + request + "\r\n" +
           (has_length ? "Content-Length: " + std::to_string(body.size()) + "\r\n" : "") + "\r\n" + body;
}

class trial
{
public:
    trial(mode what, bool has_trouble) : mode_{what}, has_trouble_{has_trouble} {}

    int run()
    {
        auto& all =
            *new deployment{mode_ == mode::surplus ? 74 : 76, "coil", worker_count, worker_slots,
                            [this](connection& it, const std::string& id, int n) { serve(it, id, n); }};
        const bool can_run = all.start();
        if (can_run)
        {
            std::vector<std::unique_ptr<client>> clients;
            for (int n = 0; n < client_count; ++n)
                clients.push_back(std::make_unique<client>(all.at(n)));
            run_clients(
                client_count, requests_per_s, run_s,
                [&](int number, int n) { call(*clients[static_cast<std::size_t>(number)], n % 7 < 2); },
                [&](double at) { is_garbling_ = garbled.contains(at); });
        }
        all.end();
        log_.line("answers of the worker while it garbled: " + std::to_string(garbling_) +
                  ", spoilt: " + std::to_string(spoilt_) + "; answered: " + std::to_string(answered_) +
                  "; broken: " + std::to_string(broken_));
        const bool is_idle = answered_ == 0 || (has_trouble_ && spoilt_ == 0);
        const int out = !can_run || is_idle ? 2 : broken_ > 0 ? 1 : 0;
        log_.line("exit " + std::to_string(out));
        return out;
    }

private:
    /// Answers as a worker does, and spoils every fiftieth answer while it is to garble.
    void serve(connection& from, const std::string& id, int number)
    {
        message_head head;
        std::string body;
        std::string previous;
        while (from.read_head(head, milliseconds{15'000}) && from.read_body(head, body, milliseconds{5000}))
        {
            const auto request = head.field("x-runlink-attempt-id");
            if (const auto other = misdirected(head, id); !other.empty())
            {
                from.write(other);
                continue;
            }
            log_.line("run " + request + " at " + id);
            sleep_ms(15);
            const bool may_spoil = has_trouble_ && number == 0;
            const bool is_due = may_spoil && is_garbling_ && ++garbling_ % answers_per_spoilt == 0;
            if (is_due)
                owed_ = true;
            const bool fits = mode_ != mode::surplus || !previous.empty();
            if (may_spoil && is_garbling_ && fits && owed_.exchange(false))
            {
                ++spoilt_;
                if (!spoil(from, request, previous))
                    return;
            }
            else
                from.write(answer_to(request, "200", true));
            previous = request;
        }
    }

    /// Writes the spoilt answer. False if it ends with its channel.
    bool spoil(connection& to, const std::string& request, const std::string& previous)
    {
        if (mode_ == mode::surplus)
        {
            log_.line("spoilt surplus answer to " + previous + ", where that to " + request + " is due");
            to.write(answer_to(previous, "000", true) + answer_to(request, "200", true));
            return true;
        }
        log_.line("spoilt answer to " + request);
        to.write(answer_to(request, "000", false));
        return false;
    }

    void call(client& from, bool is_safe)
    {
        const auto id = new_id();
        log_.line("sent " + id + (is_safe ? " (safe)" : " (unsafe)"));
        const auto it = from.call(make_request(is_safe ? "/lookup/" : "/release/", id), milliseconds{1500});
        if (!it.has_head)
            return log_.line("no answer to " + id);
        const auto why = fault_of(it, id);
        log_.line((why.empty() ? "answered " : "BROKEN: " + why + ", ") + id + ": \"" + it.head.start +
                  "\", body \"" + it.body.substr(0, 80) + "\"");
        ++(why.empty() ? answered_ : broken_);
    }

    /// Why the answer breaks a rule; empty if it does not.
    std::string fault_of(const reply& it, const std::string& id)
    {
        const auto& line = it.head.start;
        const auto is_digit = [&](std::size_t n)
        { return std::isdigit(static_cast<unsigned char>(line[n])) != 0; };
        if (line.size() < 12 || !line.starts_with("HTTP/1.1 ") || line[9] < '1' || line[9] > '5' ||
            !is_digit(10) || !is_digit(11) || (line.size() > 12 && line[12] != ' '))
            return "MIXED, no answer in the protocol";
        const bool is_own =
            it.body == "answer to " + id && it.head.field("x-runlink-server-seal") == "seal." + id;
        if (line[9] == '2' && it.is_whole && !is_own)
            return "MIXED, a success with other bytes than the worker's answer";
        return {};
    }

    mode mode_;
    bool has_trouble_;
    record log_{environment("RECORD", "record.txt")};
    std::atomic<bool> is_garbling_{false};
    std::atomic<bool> owed_{false}; ///< an answer is to be spoilt
    std::atomic<int> garbling_{0};
    std::atomic<int> spoilt_{0};
    std::atomic<int> answered_{0};
    std::atomic<int> broken_{0};
};

} // namespace

int main()
{
    const auto name = environment("MODE", "surplus");
    const auto what = name == "status" ? mode::status : mode::surplus;
    auto* it = new trial{what, environment("TROUBLE", "1") != "0"}; // threads may use it until the end
    std::_Exit(it->run());
}
