#include "gentianhill/core/event_loop.h"
#include "standins/line_platform/http_platform.h"
#include "standins/strict_lines/strict_client.h"
#include "standins/strict_lines/strict_service.h"
#include "tests/soak/child_process.h"

#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

using namespace gentianhill;
using namespace gentianhill::standins;
using namespace std::chrono_literals;

/// Runs processes of the proxy between clients and instances that share none of its code for the line
/// protocol, and compares what was sent, run and answered. Usage: gentianhill_exchange_soak PROGRAM SEED
/// SECONDS FAULT...; exits with 1 when a promise was broken.
namespace {

constexpr std::size_t daemon_count = 2;
constexpr std::size_t clients_per_daemon = 10;
constexpr duration start_limit = 5s;
/// Time for the last answers once no further operations are sent.
constexpr duration rest_time = 1500ms;
constexpr duration staleness = 1500ms;
const std::string group = "orders";

using fault_setter = void (*)(answer_faults&, client_mix&);
const std::map<std::string_view, fault_setter> fault_names{
    {"odd-data", [](answer_faults& faults, client_mix& mix) { mix.odd_data = 0.3, faults.odd_rows = 0.3; }},
    {"repeat",
     [](answer_faults& faults, client_mix&) { faults.repeat_signed = faults.repeat_unsigned = 0.1; }},
    {"repeat-unsigned", [](answer_faults& faults, client_mix&) { faults.repeat_unsigned = 0.1; }},
    {"repeat-signed", [](answer_faults& faults, client_mix&) { faults.repeat_signed = 0.1; }},
    {"cut", [](answer_faults& faults, client_mix&) { faults.cut = 0.01; }},
    {"busy", [](answer_faults& faults, client_mix&) { faults.busy = 0.05; }},
    {"slow", [](answer_faults& faults, client_mix&) { faults.slow = 0.02; }},
    {"lag", [](answer_faults& faults, client_mix&) { faults.apply_lag = 400ms; }},
};

class exchange_soak {
public:
    exchange_soak(std::string program, std::uint64_t seed)
        : program_(std::move(program)), seed_(seed), service_(loop_, ledger_, group, seed), store_(loop_) {}

    /// Adds a fault; false if there is none of that name.
    [[nodiscard]] bool add_fault(std::string_view name) {
        const std::map<std::string_view, fault_setter>::const_iterator found = fault_names.find(name);
        if (found == fault_names.end()) {
            return false;
        }
        found->second(service_.faults, mix_);
        return true;
    }

    int run(duration length) {
        start_platform();
        for (std::size_t i = 0; i < daemon_count; ++i) {
            start_daemon(i);
        }
        const time_point limit = event_loop::now() + start_limit;
        loop_.run_until([limit] { return event_loop::now() >= limit; }, start_limit);
        for (const std::unique_ptr<strict_client>& client : clients_) {
            client->start();
        }
        loop_.run_until([] { return false; }, length);
        for (const std::unique_ptr<strict_client>& client : clients_) {
            client->stop();
        }
        loop_.run_until([] { return false; }, rest_time);
        std::string ended;
        for (const pid_t process : processes_) {
            if (const std::optional<int> status = soak::take_end_status(process)) {
                ended += " " + soak::describe_end(*status);
            } else {
                soak::end_process(process, SIGKILL);
            }
        }
        return report(ended);
    }

private:
    void start_platform() {
        const std::uint16_t port = store_.listen();
        store_port_ = port;
        store_.on_promote = [this](const std::string& id, std::uint64_t) {
            return service_.promote(id) ? 200 : 409;
        };
        for (const char* id : {"i-1", "i-2", "i-3"}) {
            const std::uint16_t listens = service_.add(id);
            store_.write("servers", id,
                         {{"Backend", group},
                          {"Address", fmt::format("127.0.0.1:{}", listens)},
                          {"Zone", "a"},
                          {"Capacity", 5},
                          {"State", "ready"},
                          {"DbRole", id == service_.leader() ? "primary" : "replica"}});
        }
        nlohmann::json routes = nlohmann::json::array();
        for (const char* type : {"primary", "bounded_staleness", "read_your_writes"}) {
            routes.push_back({{"Name", type},
                              {"Database", type},
                              {"Type", type},
                              {"Backend", group},
                              {"Priority", 1},
                              {"TimeoutMs", 1000},
                              {"TargetLatencyMs", 200},
                              {"MaxStalenessMs", to_milliseconds(staleness)}});
        }
        store_.write("config", "main",
                     {{"Version", 1},
                      {"Routes", routes},
                      {"Limits", {{"TxIdleMs", 3000}}},
                      {"Backends", {{{"Name", group}, {"MaxConns", 60}, {"SyncReplicas", 1}}}}});
    }

    void start_daemon(std::size_t number) {
        for (std::size_t i = 0; i < 3; ++i) {
            ports_.emplace_back();
        }
        const std::uint16_t client_port = ports_[3 * number].number();
        const std::vector<std::string> flags{
            program_,
            fmt::format("--name=daemon-{}", number),
            "--zone=a",
            fmt::format("--client-listen=127.0.0.1:{}", client_port),
            fmt::format("--admin-listen=127.0.0.1:{}", ports_[3 * number + 1].number()),
            fmt::format("--peer-listen=127.0.0.1:{}", ports_[3 * number + 2].number()),
            fmt::format("--store=127.0.0.1:{}", store_port_),
            fmt::format("--promotion-service=127.0.0.1:{}", store_port_),
            "--grace-s=3"};
        processes_.push_back(
            soak::start_process(flags, soak::log_path(""), soak::captured_output::standard_and_errors));
        const std::vector<std::string> databases{"primary", "bounded_staleness", "read_your_writes"};
        for (std::size_t i = 0; i < clients_per_daemon; ++i) {
            const std::string& database = databases[i % databases.size()];
            clients_.push_back(std::make_unique<strict_client>(
                loop_, ledger_, client_port, database, database == "primary" ? duration(0) : staleness,
                seed_ + clients_.size() + 1));
            clients_.back()->mix = mix_;
        }
    }

    int report(const std::string& ended) {
        ledger_.finish();
        for (const std::string& example : ledger_.examples()) {
            fmt::print("broken: {}\n", example);
        }
        std::size_t lost = 0;
        for (const std::unique_ptr<strict_client>& client : clients_) {
            lost += client->lost_connections();
        }
        std::string codes;
        for (const std::map<std::string, std::size_t>::value_type& code : ledger_.codes()) {
            codes += fmt::format(" {} {}", code.first, code.second);
        }
        for (const exchange_rule rule :
             {exchange_rule::changed_statement, exchange_rule::foreign_answer,
              exchange_rule::wrong_connection, exchange_rule::stale_read, exchange_rule::repeated_write,
              exchange_rule::false_refusal, exchange_rule::refused_statement}) {
            fmt::print("{} {}, ", to_string(rule), ledger_.count(rule));
        }
        fmt::print("term {}\n", service_.term());
        fmt::print(
            "answered {} statements, {} with success, errors:{}; {} answers repeated, {} client connections "
            "lost, {} instance connections accepted; {} promises broken{}\n",
            ledger_.answered(), ledger_.succeeded(), codes, service_.repeated_answers(), lost,
            service_.accepted_connections(), ledger_.total(),
            ended.empty() ? "" : "; processes ended:" + ended);
        return ledger_.total() == 0 && ended.empty() && ledger_.succeeded() > 0 ? 0 : 1;
    }

    std::string program_;
    std::uint64_t seed_;
    event_loop loop_;
    exchange_ledger ledger_;
    strict_service service_;
    http_platform store_;
    std::uint16_t store_port_ = 0;
    client_mix mix_;
    std::vector<soak::reserved_port> ports_;
    std::vector<pid_t> processes_;
    std::vector<std::unique_ptr<strict_client>> clients_;
};

} // namespace

int main(int count, char** arguments) {
    if (count < 4) {
        fmt::print(stderr, "usage: gentianhill_exchange_soak PROGRAM SEED SECONDS FAULT...\n");
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    exchange_soak soak(arguments[1], std::strtoull(arguments[2], nullptr, 10));
    for (int i = 4; i < count; ++i) {
        if (!soak.add_fault(arguments[i])) {
            fmt::print(stderr, "unknown fault {}\n", arguments[i]);
            return 2;
        }
    }
    return soak.run(std::chrono::seconds(std::atoi(arguments[3])));
}
