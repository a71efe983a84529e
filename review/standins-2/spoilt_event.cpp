// A worker spoils one byte of some of its streams, a digit of the id of an event. Checked is whether streams
// that end as complete have all pieces.

#include <atomic>

#include "lab.hpp"

namespace
{

using namespace lab;

constexpr int worker_count = 3;
constexpr int worker_slots = 64;
constexpr double requests_per_s = 30; // less than half of the streams of tct-hanoi
constexpr double run_s = 32;
constexpr int client_count = 28;
/// `garble` of the site file: share 0.35 (one worker of three), x 0.02, for_s 5.0 at most.
constexpr windows garbled{3, 10, 5.0};
constexpr int answers_per_spoilt = 50;
constexpr int events = 12;
constexpr int spoilt_event = 7;

std::string event_of(const std::string& id, const std::string& request, int n)
{
    return "id: " + id + "\ndata: " + request + "/" + std::to_string(n) + "\n\n";
}

std::string chunk_of(const std::string& bytes)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", bytes.size());
    return size + bytes + "\r\n";
}

class trial
{
public:
    explicit trial(bool has_trouble) : has_trouble_{has_trouble} {}

    int run()
    {
        auto& all =
            *new deployment{75, "trace", worker_count, worker_slots,
                            [this](connection& it, const std::string& id, int n) { serve(it, id, n); }};
        const bool can_run = all.start();
        if (can_run)
        {
            std::vector<std::unique_ptr<client>> clients;
            for (int n = 0; n < client_count; ++n)
                clients.push_back(std::make_unique<client>(all.at(n)));
            run_clients(
                client_count, requests_per_s, run_s,
                [&](int number, int) { call(*clients[static_cast<std::size_t>(number)]); },
                [&](double at) { is_garbling_ = garbled.contains(at); });
        }
        all.end();
        log_.line("streams of the worker while it garbled: " + std::to_string(garbling_) +
                  ", spoilt: " + std::to_string(spoilt_) + "; whole: " + std::to_string(whole_) +
                  "; broken: " + std::to_string(broken_));
        const bool is_idle = whole_ == 0 || (has_trouble_ && spoilt_ == 0);
        const int out = !can_run || is_idle ? 2 : broken_ > 0 ? 1 : 0;
        log_.line("exit " + std::to_string(out));
        return out;
    }

private:
    void serve(connection& from, const std::string& id, int number)
    {
        message_head head;
        std::string body;
        while (from.read_head(head, milliseconds{15'000}) && from.read_body(head, body, milliseconds{5000}))
        {
            if (const auto other = misdirected(head, id); !other.empty())
            {
                from.write(other);
                continue;
            }
            const auto request = head.field("x-runlink-attempt-id");
            const auto last = head.field("last-event-id");
            const int first = last.empty() ? 1 : std::stoi(last) + 1;
            log_.line("run " + request + " at " + id + " from event " + std::to_string(first));
            const bool spoils = has_trouble_ && number == 0 && is_garbling_ && first == 1 &&
                                ++garbling_ % answers_per_spoilt == 0;
            if (spoils)
            {
                ++spoilt_;
                log_.line("spoilt stream to " + request + ": id 1 for " + std::to_string(spoilt_event));
            }
            from.write("HTTP/1.1 200 OK\r\nX-Runlink-Attempt-Id: " + request +
                       "\r\nX-Runlink-Server-Seal: seal." + request +
                       "\r\nX-Runlink-Confidence: 100\r\nContent-Type: text/event-stream\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n");
            for (int n = first; n <= events; ++n)
            {
                sleep_ms(15);
                const auto number_of_event =
                    spoils && n == spoilt_event ? std::string{"1"} : std::to_string(n);
                if (!from.write(chunk_of(event_of(number_of_event, request, n))))
                    return;
            }
            from.write("0\r\n\r\n");
        }
    }

    void call(client& from)
    {
        const auto id = new_id();
        log_.line("sent " + id);
        const auto it = from.call(make_request("/notes/", id), milliseconds{5000});
        if (!it.is_whole || !it.head.start.starts_with("HTTP/1.1 200"))
            return log_.line("not served whole: " + id + " \"" + it.head.start + "\"");
        std::string missing;
        for (int n = 1; n <= events; ++n)
            if (it.body.find("data: " + id + "/" + std::to_string(n) + "\n") == std::string::npos)
                missing += " " + std::to_string(n);
        log_.line((missing.empty() ? "whole stream to " + id
                                   : "BROKEN: ORDER, complete without piece" + missing + ", " + id));
        ++(missing.empty() ? whole_ : broken_);
    }

    bool has_trouble_;
    record log_{environment("RECORD", "record.txt")};
    std::atomic<bool> is_garbling_{false};
    std::atomic<int> garbling_{0};
    std::atomic<int> spoilt_{0};
    std::atomic<int> whole_{0};
    std::atomic<int> broken_{0};
};

} // namespace

int main()
{
    auto* it = new trial{environment("TROUBLE", "1") != "0"}; // threads may use it until the end
    std::_Exit(it->run());
}
