/// \file
/// Starts instances and stand-ins for the platform and the endpoints as real processes on free ports.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <QProcess>
#include <QTemporaryDir>
#include <nlohmann/json.hpp>

#include "runlink/core/ledger_types.hpp"
#include "runlink/net/http_client.hpp"

namespace runlink::tests
{

/// The answer to an HTTP call of a test.
struct http_answer
{
    bool done = false;
    net::http_result result;
    std::string body;

    std::string outcome() const { return result.header("Runlink-Outcome"); }
    bool is_whole() const { return done && result.complete && result.status == 200; }
};

using answer_ptr = std::shared_ptr<http_answer>;

/// The platform, endpoints and instances of one deployment. The destructor kills all processes.
class process_group
{
public:
    explicit process_group(int instances, int engines = 2);
    ~process_group();

    void start_instance(int n);
    std::uint16_t port_of_instance(int n) const { return instances_.at(static_cast<std::size_t>(n)).port; }
    QProcess& instance(int n) { return *instances_.at(n).process; }
    void signal_instance(int n, int signal);
    void kill_instance(int n);
    bool is_ready(int n);
    void wait_until_ready();
    /// Changes the switches of a stand-in and returns its reply. Endpoint -1 is the platform, -2 the plain
    /// service.
    nlohmann::json control(int endpoint, const nlohmann::json& switches);
    nlohmann::json counts(int endpoint);
    void list_instances(const nlohmann::json& list);

    answer_ptr start_call(int instance, const std::string& path, const std::string& body,
                          net::header_list headers = {}, const std::string& key = "office-key");
    answer_ptr call(int instance, const std::string& path, const std::string& body,
                    net::header_list headers = {}, const std::string& key = "office-key");
    answer_ptr get(int instance, const std::string& path, const std::string& key = "operator-key");
    /// Plans and confirms an intent, and waits until every running instance has applied it.
    void apply(const nlohmann::json& intent);
    nlohmann::json status(int instance);

    /// Returns the settlement entries in the store, by bill.
    std::map<std::string, std::vector<core::ledger_entry>> bills();
    /// Returns how often the engines and the plain service ran requests whose body contains `text`.
    int runs_of(const std::string& text);

    static std::string completion(const std::string& content, bool stream = false, int tokens = 4,
                                  const std::string& model = "review");
    std::string settings_path(int n) const;

private:
    struct started
    {
        std::unique_ptr<QProcess> process;
        std::uint16_t port = 0;
        std::uint16_t peer_port = 0;
    };

    started start_standin(const char* program, const QStringList& arguments);
    answer_ptr send(const std::string& host, std::uint16_t port, const std::string& method,
                    const std::string& path, const std::string& body, net::header_list headers);
    answer_ptr await(answer_ptr it);
    std::uint16_t port_of(int endpoint) const;
    nlohmann::json first_configuration() const;
    void write_settings(int n);

    QTemporaryDir directory_;
    std::string address_; ///< where the instances listen
    net::http_client client_;
    started platform_;
    started service_;
    std::vector<started> engines_;
    std::vector<started> instances_;
};

} // namespace runlink::tests
