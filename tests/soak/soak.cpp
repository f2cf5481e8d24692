#include "gentianhill/core/boot_clock.h"
#include "gentianhill/core/event_loop.h"
#include "standins/line_platform/http_platform.h"
#include "standins/line_platform/line_instances.h"
#include "standins/replicated_service/service_model.h"
#include "tests/soak/child_process.h"
#include "tests/soak/transaction_client.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <sys/wait.h>
#include <vector>

using namespace gentianhill;
using namespace gentianhill::standins;
using namespace std::chrono_literals;

/// Plays seconds of failures against real processes of the daemon: kills, freezes, planned stops, crashes,
/// silence and cuts of instances, an unreachable store, a store restored from a copy and lost answers. The
/// store is restored once more when the faults have ended. Every answer to a client is checked. Usage:
/// gentianhill_soak PROGRAM SEED [SECONDS] [OPTION...]; exits with 1 when a promise was broken. Options:
/// members: single daemons are also cut from the store or from an instance, and entries of instances that
/// live lapse; each daemon is in a zone of its own, so that their lists differ.
/// owners: instances take few connections, so that daemons hand statements on; clients rest in transactions
/// while daemons are restarted one after the other.
namespace {

constexpr std::size_t daemon_count = 3;
constexpr std::size_t clients_per_daemon = 3;
constexpr duration fault_interval = 600ms;
constexpr duration signal_interval = 900ms;
constexpr duration staleness = 1500ms;
/// Time in which a statement and the end of its connection may cross (`LossSlackMs`).
constexpr duration loss_slack = 200ms;
/// Time without faults at the end, in which everything must be served again.
constexpr duration recovery = 9s;
/// Age of the copy that the store is restored from, and the outage before it is back.
constexpr duration copy_age = 2s;
constexpr duration restore_outage = 1s;
/// Time after which the operator and the instances have written again what a restore took away.
constexpr duration rewrite_delay = 500ms;
/// Time within which a written configuration must be in effect on every daemon (`ConfigApplyMs`).
constexpr duration config_limit = 3s;
/// Time after the last fault until every process runs again.
constexpr duration settle_time = 4s;
constexpr std::size_t compared_commits = 40;
/// Time after the faults in which the store is restored once more.
constexpr duration final_stage = 6s;
/// Time in which all daemons learn the configuration that the last restore takes away.
constexpr duration lost_configuration_time = 500ms;
/// Era of the store after both restores.
constexpr std::uint64_t last_era = 3;
/// Routes by which the configuration grows, and the time between the changes of single ones that follow.
constexpr std::size_t grown_routes = 1500;
constexpr duration route_change_interval = 700ms;
/// Interval of the faults of the option "members", and how long each lasts.
constexpr duration member_fault_interval = 800ms;
constexpr std::int64_t min_cut_ms = 1000;
constexpr std::int64_t max_cut_ms = 7000;
/// Time in which an instance that reaches the store again has written its entry.
constexpr duration entry_delay = 500ms;
constexpr std::size_t usual_connections = 40;
/// So few that daemons hand statements on.
constexpr std::size_t few_connections = 8;
constexpr std::size_t transaction_clients_per_daemon = 5;
/// Each daemon is restarted several times in a row, so that its processes give the same handles out again.
constexpr std::size_t restarts_in_series = 3;
constexpr duration restart_interval = 1900ms;
/// Rest of the other clients beside transactions.
constexpr duration rest_beside_transactions = 400ms;
const std::string group = "orders";

struct soak_options {
    bool has_member_faults = false;
    bool has_owners = false;
};

/// What was done to one run of a daemon.
struct daemon_run {
    time_point started_at;
    bool was_stopped = false;
    bool was_killed = false;
    /// A client's session was opened.
    bool has_served = false;
};

struct daemon_process {
    std::string name;
    std::uint16_t client_port = 0;
    std::uint16_t admin_port = 0;
    std::uint16_t peer_port = 0;
    /// Port on which the store serves this daemon.
    std::uint16_t store_port = 0;
    /// 0 while no process runs.
    pid_t pid = 0;
    bool frozen = false;
    std::shared_ptr<daemon_run> run;
};

/// A client with one connection and at most one statement under way.
struct soak_client {
    std::size_t daemon = 0;
    /// Run of the daemon that the connection was opened to.
    std::shared_ptr<daemon_run> run;
    std::string database;
    std::unique_ptr<platform::line_socket> socket;
    bool ready = false;
    std::string waiting;
    bool writes = false;
    time_point sent_at;
    std::string outcome;
    std::vector<std::string> own_writes;
};

class edge_soak {
public:
    edge_soak(std::string program, std::uint64_t seed, duration length, soak_options options)
        : program_(std::move(program)),
          options_(options),
          random_(seed),
          restore_random_(seed),
          signal_random_(seed),
          growth_random_(seed),
          member_random_(seed),
          length_(length),
          flusher_(loop_),
          model_(model_settings(options)),
          instances_(flusher_, model_, group),
          http_(loop_) {}

    int run() {
        for (std::size_t i = 0; i < daemon_count; ++i) {
            daemons_.push_back({"daemon-" + std::to_string(i), reserve_port(), reserve_port(), reserve_port(),
                                http_.listen(), 0, false, nullptr});
        }
        start_platform();
        start_ = boot_now();
        for (std::size_t i = 0; i < daemon_count; ++i) {
            launch(daemons_[i]);
            for (std::size_t c = 0; c < clients_per_daemon; ++c) {
                const std::vector<std::string> databases{"latest", "bounded", "own"};
                clients_.push_back(std::make_unique<soak_client>());
                clients_.back()->daemon = i;
                clients_.back()->database = databases[c % databases.size()];
            }
            add_transaction_clients(daemons_[i]);
        }
        step();
        strike_later();
        strike_members_later();
        restart_owners_later();
        restore_later();
        signal_later();
        grow_configuration_later();
        check_configuration_later();
        reuse_lost_revision_later();
        const duration whole = length_ + final_stage;
        loop_.run_until([this, whole] { return boot_now() - start_ > whole; }, whole + 10s);
        for (daemon_process& each : daemons_) {
            stop(each, SIGKILL);
        }
        return report();
    }

private:
    std::size_t pick(std::size_t count) {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(random_);
    }

    std::uint16_t reserve_port() {
        ports_of_daemons_.emplace_back();
        return ports_of_daemons_.back().number();
    }

    static service_model_settings model_settings(const soak_options& options) {
        service_model_settings settings;
        settings.max_connections = options.has_owners ? few_connections : usual_connections;
        return settings;
    }

    void add_transaction_clients(const daemon_process& target) {
        for (std::size_t i = 0; options_.has_owners && i < transaction_clients_per_daemon; ++i) {
            const std::string name = fmt::format("t{}", transactions_.size());
            transactions_.push_back(std::make_unique<soak::transaction_client>(
                loop_, flusher_, name, target.client_port, member_random_()));
            transactions_.back()->is_acknowledged = [this](const std::string& id) {
                return model_.acknowledged().count(id) > 0;
            };
            transactions_.back()->on_confirmed = [this](const std::string& id) { model_.confirm(id); };
        }
    }

    // Guards against a statement that runs in the transaction of another client, or outside of its own.
    void check_transaction(const std::string& id, const model_connection& connection) {
        if (id.find('-') == std::string::npos) {
            if (connection.state == transaction_state::open) {
                findings_.push_back(fmt::format("{} runs inside a transaction", id));
            }
            return;
        }
        const auto [found, added] =
            transaction_clients_.try_emplace(connection.transaction, soak::transaction_client::client_of(id));
        const bool ends = connection.state != transaction_state::open;
        if (connection.transaction == 0 || found->second != soak::transaction_client::client_of(id)) {
            findings_.push_back(fmt::format("{} runs in a transaction of {}", id, found->second));
        }
        if (ends) {
            findings_.push_back(fmt::format("{} runs outside of a transaction", id));
        }
    }

    void start_platform() {
        model_.call_after = [this](duration delay, std::function<void()> action) {
            loop_.run_after(delay, std::move(action));
        };
        model_.now = &boot_now;
        model_.on_run = [this](const model_command& command, const model_connection& connection) {
            check_transaction(command.id, connection);
        };
        model_.on_read = [this](const model_command& command, const model_connection&,
                                const std::vector<model_entry>& log) { check_read(command.id, log); };
        http_.adapt = [this](std::uint16_t port, nlohmann::json& body) { adapt(port, body); };
        http_.on_promote = [this](const std::string& id, std::uint64_t token) {
            if (token < newest_token_) {
                findings_.push_back(fmt::format("token {} after {}", token, newest_token_));
            }
            newest_token_ = std::max(newest_token_, token);
            return model_.promote(id) ? 200 : 409;
        };
        for (const char* id : {"i-1", "i-2", "i-3"}) {
            model_.add(id);
            for (const daemon_process& each : daemons_) {
                ports_[{each.store_port, id}] = instances_.listen(id, each.name);
            }
            list(id);
        }
        model_.start();
        write_configuration();
    }

    /// Gives a daemon that the store serves on `port` its own addresses of the instances.
    void adapt(std::uint16_t port, nlohmann::json& value) {
        if (value.is_object() && value.contains("spec") && value["spec"].contains("Address")) {
            const std::string id = value.at("meta").at("Name");
            value["spec"]["Address"] = fmt::format("127.0.0.1:{}", ports_.at({port, id}));
            return;
        }
        for (const char* list : {"items", "events"}) {
            if (value.contains(list)) {
                for (nlohmann::json& item : value[list]) {
                    adapt(port, item.contains("Object") ? item["Object"] : item);
                }
            }
        }
    }

    /// Writes the present version of the configuration. Each version has a route of its own besides the
    /// routes of the clients.
    void write_configuration() {
        nlohmann::json routes = nlohmann::json::array();
        for (const auto& [name, type] : {std::pair<std::string, const char*>{"latest", "primary"},
                                         {"bounded", "bounded_staleness"},
                                         {"own", "read_your_writes"},
                                         {version_route(), "primary"}}) {
            routes.push_back({{"Name", name},
                              {"Database", name},
                              {"Type", type},
                              {"Backend", group},
                              {"Priority", 1},
                              {"TimeoutMs", 1000},
                              {"TargetLatencyMs", 200},
                              {"MaxStalenessMs", 1500}});
        }
        for (std::size_t route = 0; route < further_routes_; ++route) {
            routes.push_back({{"Name", fmt::format("further_{}", route)},
                              {"Database", fmt::format("further_{}", route)},
                              {"Type", "read_your_writes"},
                              {"Backend", group},
                              {"Priority", 2},
                              {"TimeoutMs", route == config_version_ ? 900 : 1000},
                              {"TargetLatencyMs", 200},
                              {"MaxStalenessMs", 1500}});
        }
        http_.write("config", "main",
                    {{"Version", config_version_},
                     {"Routes", routes},
                     {"Limits", {{"TxIdleMs", 3000}}},
                     {"Backends",
                      {{{"Name", group},
                        {"MaxConns", options_.has_owners ? few_connections : usual_connections},
                        {"SyncReplicas", 1}}}}});
    }

    [[nodiscard]] std::string version_route() const { return fmt::format("version_{}", config_version_); }

    void list(const std::string& id) {
        if (cut_instances_.count(id) > 0) {
            return;
        }
        listed_primary_[id] = model_.is_primary(id);
        http_.write("servers", id,
                    {{"Backend", group},
                     {"Address", ""},
                     {"Zone", "a"},
                     {"Capacity", 4},
                     {"State", "ready"},
                     {"DbRole", listed_primary_[id] ? "primary" : "replica"}});
    }

    [[nodiscard]] std::string zone_of(const daemon_process& daemon) const {
        // Daemons of one zone pass their lists on to each other.
        return options_.has_owners ? "a" : options_.has_member_faults ? "zone-" + daemon.name : "a";
    }

    void launch(daemon_process& started) {
        std::string seeds;
        for (const daemon_process& each : daemons_) {
            seeds += fmt::format("{}127.0.0.1:{}", seeds.empty() ? "" : ",", each.peer_port);
        }
        const std::vector<std::string> flags{
            program_,
            "--name=" + started.name,
            "--zone=" + zone_of(started),
            fmt::format("--client-listen=127.0.0.1:{}", started.client_port),
            fmt::format("--admin-listen=127.0.0.1:{}", started.admin_port),
            fmt::format("--peer-listen=127.0.0.1:{}", started.peer_port),
            "--seeds=" + seeds,
            fmt::format("--store=127.0.0.1:{}", started.store_port),
            fmt::format("--promotion-service=127.0.0.1:{}", started.store_port),
            "--grace-s=3"};
        started.pid = soak::start_process(flags, soak::log_path(""), soak::captured_output::standard);
        started.frozen = false;
        started.run = std::make_shared<daemon_run>();
        started.run->started_at = boot_now();
        note("start", started.name);
    }

    /// Notes a fault in the log of the soak.
    void note(const std::string& fault, const std::string& target) {
        fault_log_ << fmt::format("{:6} {} {}", to_milliseconds(boot_now() - start_), fault, target)
                   << std::endl;
    }

    /// Sends a signal to a daemon that runs.
    void send_signal(const daemon_process& target, int signal_number) {
        if (target.pid > 0) {
            note(fmt::format("signal {}", signal_number), target.name);
            kill(target.pid, signal_number);
        }
    }

    // Guards against a process that ends although it was not asked to, or fails in a planned stop.
    void check_end(daemon_process& checked) {
        const std::optional<int> status = checked.pid > 0 ? soak::take_end_status(checked.pid) : std::nullopt;
        if (!status) {
            return;
        }
        checked.pid = 0;
        // SIGTERM that arrives before the process handles it ends it.
        const bool ended_before_service = WIFSIGNALED(*status) && WTERMSIG(*status) == SIGTERM &&
                                          checked.run->was_stopped && !checked.run->has_served;
        const bool has_stopped_in_order = checked.run->was_stopped && *status == 0;
        if (!has_stopped_in_order && !ended_before_service) {
            findings_.push_back(fmt::format("{} ended with {} after {} ms{}", checked.name,
                                            soak::describe_end(*status),
                                            to_milliseconds(boot_now() - checked.run->started_at),
                                            checked.run->was_stopped ? ", after SIGTERM" : ""));
        }
    }

    void stop(daemon_process& stopped, int signal_number) {
        check_end(stopped);
        if (stopped.pid > 0) {
            stopped.run->was_killed = true;
            note(fmt::format("end by signal {}", signal_number), stopped.name);
            soak::end_process(stopped.pid, signal_number);
            stopped.pid = 0;
        }
    }

    void strike_later() {
        loop_.run_after(fault_interval, [this] {
            if (boot_now() - start_ < length_ - recovery) {
                strike();
                strike_later();
            } else {
                heal();
            }
        });
    }

    /// Cuts single daemons and instances from the store. These faults have their own random numbers, so that
    /// the other faults of a seed do not depend on them.
    void strike_members_later() {
        if (!options_.has_member_faults) {
            return;
        }
        loop_.run_after(member_fault_interval, [this] {
            if (boot_now() - start_ >= length_ - recovery) {
                return;
            }
            std::uniform_int_distribution<std::int64_t> pick_length(min_cut_ms, max_cut_ms);
            const duration length = std::chrono::milliseconds(pick_length(member_random_));
            const std::size_t target = member_random_() % daemon_count;
            const std::string leader = model_.leader();
            switch (member_random_() % 3) {
            case 0:
                refuse_daemon(daemons_[target], length);
                break;
            case 1:
                cut_from_store(model_.ids()[target], length);
                break;
            default:
                cut_from_instance(daemons_[target], leader.empty() ? model_.ids()[target] : leader, length);
            }
            strike_members_later();
        });
    }

    void refuse_daemon(const daemon_process& target, duration length) {
        note("store refuses", target.name);
        http_.set_refusing(target.store_port, true);
        loop_.run_after(length, [this, port = target.store_port] { http_.set_refusing(port, false); });
    }

    void cut_from_instance(const daemon_process& target, const std::string& id, duration length) {
        note("cut", target.name + " " + id);
        instances_.set_cut(id, target.name, true);
        loop_.run_after(length, [this, id, name = target.name] { instances_.set_cut(id, name, false); });
    }

    void restart_owners_later() {
        if (!options_.has_owners) {
            return;
        }
        loop_.run_after(restart_interval, [this] {
            if (boot_now() - start_ >= length_ - recovery) {
                return;
            }
            daemon_process& target = daemons_[restarted_++ / restarts_in_series % daemons_.size()];
            stop(target, SIGKILL);
            launch(target);
            restart_owners_later();
        });
    }

    /// The entry of the instance lapses; the instance goes on.
    void cut_from_store(const std::string& id, duration length) {
        if (!cut_instances_.insert(id).second) {
            return;
        }
        note("entry lapses", id);
        http_.erase("servers", id);
        loop_.run_after(length + entry_delay, [this, id] {
            cut_instances_.erase(id);
            list(id);
        });
    }

    /// Sends SIGHUP, and a second SIGTERM to a daemon that is stopping. The signals have their own random
    /// numbers, so that the other faults of a seed do not depend on them.
    void signal_later() {
        loop_.run_after(signal_interval, [this] {
            if (boot_now() - start_ >= length_ - recovery) {
                return;
            }
            const std::size_t target =
                std::uniform_int_distribution<std::size_t>(0, daemons_.size() - 1)(signal_random_);
            send_signal(daemons_[target], SIGHUP);
            for (const daemon_process& each : daemons_) {
                if (each.run->was_stopped) {
                    send_signal(each, SIGTERM);
                }
            }
            signal_later();
        });
    }

    /// Restores the store once. Its moment has its own random numbers, so that the other faults of a seed do
    /// not depend on it.
    void restore_later() {
        const duration latest = length_ - recovery - copy_age - restore_outage - rewrite_delay;
        const std::int64_t range = std::max<std::int64_t>(to_milliseconds(latest), 1);
        const std::int64_t delay_ms = std::uniform_int_distribution<std::int64_t>(0, range)(restore_random_);
        loop_.run_after(std::chrono::milliseconds(delay_ms), [this] {
            note("copy", "store");
            http_.take_copy();
            ++config_version_;
            loop_.run_after(copy_age / 2, [this] { write_configuration(); });
            loop_.run_after(copy_age, [this] { http_.is_down = true; });
            loop_.run_after(copy_age + restore_outage, [this] {
                note("restore", "store");
                http_.restore();
                http_.is_down = false;
            });
            loop_.run_after(copy_age + restore_outage + rewrite_delay, [this] {
                write_configuration();
                for (const std::string& id : model_.ids()) {
                    list(id);
                }
            });
        });
    }

    /// Adds many routes once, and changes one of them from time to time while the faults go on. The moment
    /// has its own random numbers, so that the other faults of a seed do not depend on it.
    void grow_configuration_later() {
        const std::int64_t range = std::max<std::int64_t>(to_milliseconds(length_ - recovery), 1);
        const std::int64_t delay_ms = std::uniform_int_distribution<std::int64_t>(0, range)(growth_random_);
        loop_.run_after(std::chrono::milliseconds(delay_ms), [this] {
            note("growth", "configuration");
            further_routes_ = grown_routes;
            change_route();
        });
    }

    void change_route() {
        if (boot_now() - start_ >= length_ - recovery) {
            return;
        }
        ++config_version_;
        write_configuration();
        loop_.run_after(route_change_interval, [this] { change_route(); });
    }

    /// Writes a further version once the faults have ended, and tries its route at every daemon.
    void check_configuration_later() {
        loop_.run_after(length_ - recovery + settle_time, [this] {
            ++config_version_;
            write_configuration();
            try_configuration_later();
        });
    }

    /// Tries the route of the present version at every daemon once it must be in effect.
    void try_configuration_later() {
        loop_.run_after(config_limit, [this] {
            for (std::size_t i = 0; i < daemons_.size(); ++i) {
                probes_.push_back(std::make_unique<soak_client>());
                probes_.back()->daemon = i;
                probes_.back()->database = version_route();
                open(*probes_.back());
            }
        });
    }

    /// Restores the store at the end, and gives the revision of the configuration that it lost to the next
    /// one. Guards against a daemon that takes the revision for the one it has seen, and stays with what is
    /// lost.
    void reuse_lost_revision_later() {
        loop_.run_after(length_, [this] {
            http_.take_copy();
            ++config_version_;
            write_configuration();
        });
        loop_.run_after(length_ + lost_configuration_time, [this] { http_.is_down = true; });
        loop_.run_after(length_ + lost_configuration_time + restore_outage, [this] {
            http_.restore();
            ++config_version_;
            write_configuration();
            // Further writes bring the revision past all that daemons have seen before they call again.
            for (const std::string& id : model_.ids()) {
                list(id);
            }
            http_.is_down = false;
            try_configuration_later();
        });
    }

    void strike() {
        daemon_process& target = daemons_[pick(daemons_.size())];
        const std::string id = model_.ids()[pick(3)];
        const std::string other = model_.ids()[pick(3)];
        switch (pick(10)) {
        case 0:
            stop(target, SIGKILL);
            launch(target);
            break;
        case 1:
            if (!target.frozen) {
                send_signal(target, SIGSTOP);
                target.frozen = true;
                loop_.run_after(1500ms, [this, &target] {
                    send_signal(target, SIGCONT);
                    target.frozen = false;
                });
            }
            break;
        case 2:
            target.run->was_stopped = true;
            send_signal(target, SIGTERM);
            loop_.run_after(3s, [this, &target] {
                stop(target, SIGKILL);
                launch(target);
            });
            break;
        case 3:
            crash(pick(2) == 0 && !model_.leader().empty() ? model_.leader() : id);
            break;
        case 4:
            note("silence", id);
            instances_.set_silent(id, true);
            break;
        case 5:
            note("end of silence", id);
            instances_.set_silent(id, false);
            break;
        case 6:
            note("cut", id + " " + other);
            model_.set_cut(id, other, true);
            break;
        case 7:
            note("outage", "store");
            http_.is_down = true;
            loop_.run_after(1s, [this] { http_.is_down = false; });
            break;
        case 8:
            note("lost answers", "instances and store");
            instances_.lost_answers = 2;
            http_.lost_answers = 1;
            break;
        default:
            heal();
            break;
        }
    }

    void crash(const std::string& id) {
        note("crash", id);
        model_.set_up(id, false);
        instances_.reset(id);
        loop_.run_after(4s, [this, id] { model_.set_up(id, true); });
    }

    void heal() {
        note("heal", "all");
        http_.is_down = false;
        for (const std::string& a : model_.ids()) {
            instances_.set_silent(a, false);
            model_.set_up(a, true);
            for (const std::string& b : model_.ids()) {
                model_.set_cut(a, b, false);
            }
        }
    }

    void step() {
        for (const std::string& id : model_.ids()) {
            if (!http_.is_down && model_.is_up(id) && cut_instances_.count(id) == 0 &&
                listed_primary_[id] != model_.is_primary(id)) {
                list(id);
            }
        }
        for (daemon_process& each : daemons_) {
            check_end(each);
        }
        for (const std::unique_ptr<soak_client>& each : clients_) {
            speak(*each);
        }
        for (const std::unique_ptr<soak::transaction_client>& each : transactions_) {
            each->step();
        }
        loop_.run_after(10ms, [this] { step(); });
    }

    void speak(soak_client& client) {
        if (client.socket == nullptr) {
            open(client);
            return;
        }
        const bool rests = options_.has_owners && boot_now() - client.sent_at < rest_beside_transactions;
        if (!client.ready || !client.waiting.empty() || rests) {
            return;
        }
        client.waiting = fmt::format("s{}", ++last_id_);
        client.writes = pick(3) == 0;
        client.sent_at = boot_now();
        client.outcome.clear();
        reads_[client.waiting] = {client.sent_at, client.database, client.own_writes};
        client.socket->output() +=
            fmt::format("QUERY {} {}\r\n", client.waiting, client.writes ? "WRITE item data" : "READ item");
        client.socket->schedule_flush();
    }

    void open(soak_client& client) {
        const endpoint address{"127.0.0.1", daemons_[client.daemon].client_port};
        client.socket = std::make_unique<platform::line_socket>(flusher_, address);
        client.ready = false;
        client.waiting.clear();
        client.own_writes.clear();
        client.run = daemons_[client.daemon].run;
        client.socket->on_line = [this, &client](std::string_view line) { on_line(client, line); };
        client.socket->on_close = [this, &client](platform::socket_close_reason) {
            check_close(client);
            loop_.run_after(50ms, [&client] { client.socket.reset(); });
        };
        client.socket->output() += "STARTUP " + client.database + " soak\r\n";
        client.socket->schedule_flush();
    }

    // Guards against a statement that a stopping daemon takes and never answers.
    void check_close(const soak_client& client) {
        const bool is_cut_off =
            !client.waiting.empty() && !client.run->was_killed && boot_now() - client.sent_at > loss_slack;
        if (is_cut_off) {
            findings_.push_back(fmt::format("statement {} to {} has no answer {} ms after it was sent{}",
                                            client.waiting, daemons_[client.daemon].name,
                                            to_milliseconds(boot_now() - client.sent_at),
                                            client.run->was_stopped ? ", after SIGTERM" : ""));
        }
    }

    void on_line(soak_client& client, std::string_view line) {
        const platform::message received = platform::split_message(line);
        if (received.kind == platform::message_kind::ready) {
            if (client.ready && !client.waiting.empty()) {
                finish(client);
            }
            client.ready = true;
            client.run->has_served = true;
        } else if (received.kind == platform::message_kind::complete) {
            client.outcome = "done";
            if (received.rest != "signed-" + client.waiting) {
                findings_.push_back("foreign signature for " + client.waiting);
            }
        } else if (received.kind == platform::message_kind::error) {
            client.outcome = received.rest.substr(0, received.rest.find(' '));
        }
    }

    void finish(soak_client& client) {
        const std::string id = std::move(client.waiting);
        client.waiting.clear();
        const bool done = client.outcome == "done";
        const bool acknowledged = model_.acknowledged().count(id) > 0;
        const bool promises_nothing =
            client.outcome == "INDOUBT" || client.outcome == "TIMEOUT" || client.outcome == "FAILED";
        if (client.writes && done && !acknowledged) {
            findings_.push_back("write " + id + " is confirmed but not acknowledged");
        }
        if (client.writes && !done && acknowledged && !promises_nothing) {
            findings_.push_back("write " + id + " is answered " + client.outcome + " but acknowledged");
        }
        if (client.writes && done) {
            model_.confirm(id);
            client.own_writes.push_back(id);
        }
        if (!client.writes && done && stale_.count(id) > 0) {
            findings_.push_back("stale read " + id + " on " + client.database + ": " + stale_[id]);
        }
        served_ += done ? 1U : 0U;
        served_at_the_end_ += done && boot_now() - start_ > length_ + final_stage - 1s ? 1U : 0U;
        reads_.erase(id);
    }

    void check_read(const std::string& id, const std::vector<model_entry>& log) {
        const std::map<std::string, sent_statement>::iterator found = reads_.find(id);
        if (found == reads_.end()) {
            return;
        }
        const sent_statement& read = found->second;
        const duration allowed = read.database == "latest" ? duration(0) : staleness;
        std::size_t compared = 0;
        const std::vector<model_acknowledgement>& all = model_.acknowledgements();
        for (auto commit = all.rbegin(); commit != all.rend() && compared < compared_commits; ++commit) {
            const bool own = read.database == "own" &&
                             std::find(read.own_writes.begin(), read.own_writes.end(), commit->id) !=
                                 read.own_writes.end();
            if (own || commit->at < read.sent_at - allowed) {
                ++compared;
                if (log.size() <= commit->index || log[commit->index].id != commit->id) {
                    stale_[id] = "lacks " + commit->id;
                }
            }
        }
    }

    int report() {
        std::vector<std::string> all = findings_;
        all.insert(all.end(), model_.violations().begin(), model_.violations().end());
        std::size_t transaction_commits = 0;
        for (const std::unique_ptr<soak::transaction_client>& each : transactions_) {
            all.insert(all.end(), each->findings().begin(), each->findings().end());
            transaction_commits += each->commits();
        }
        if (options_.has_owners && transaction_commits == 0) {
            all.push_back("no transaction was committed");
        }
        if (served_at_the_end_ == 0) {
            all.push_back("nothing was served in the last second");
        }
        for (const std::unique_ptr<soak_client>& probe : probes_) {
            if (!probe->ready) {
                all.push_back(
                    fmt::format("{} is not in effect on {}", probe->database, daemons_[probe->daemon].name));
            }
        }
        if (probes_.size() != 2 * daemons_.size() || http_.era() != last_era) {
            all.push_back("the store was not restored or the configuration not tried");
        }
        for (const std::string& finding : all) {
            fmt::print("broken: {}\n", finding);
        }
        fmt::print("served {} statements, {} commits, {} promotions, {} promises broken\n", served_,
                   model_.acknowledged().size(), model_.promotions(), all.size());
        return all.empty() ? 0 : 1;
    }

    struct sent_statement {
        time_point sent_at;
        std::string database;
        std::vector<std::string> own_writes;
    };

    std::string program_;
    soak_options options_;
    std::mt19937_64 random_;
    std::mt19937_64 restore_random_;
    std::mt19937_64 signal_random_;
    std::mt19937_64 growth_random_;
    std::mt19937_64 member_random_;
    duration length_;
    event_loop loop_;
    platform::output_flusher flusher_;
    service_model model_;
    line_instances instances_;
    http_platform http_;
    /// Ports of the instances, by the daemon's port of the store and the instance.
    std::map<std::pair<std::uint16_t, std::string>, std::uint16_t> ports_;
    std::size_t restarted_ = 0;
    std::map<std::string, bool> listed_primary_;
    /// Instances that are cut from the store.
    std::set<std::string> cut_instances_;
    std::vector<std::unique_ptr<soak::transaction_client>> transactions_;
    /// Client of each transaction at an instance, by its number.
    std::map<std::uint64_t, std::string> transaction_clients_;
    std::vector<soak::reserved_port> ports_of_daemons_;
    std::vector<daemon_process> daemons_;
    std::vector<std::unique_ptr<soak_client>> clients_;
    /// Connections that ask for the route of the last configuration version.
    std::vector<std::unique_ptr<soak_client>> probes_;
    std::uint64_t config_version_ = 1;
    /// Routes that no client uses.
    std::size_t further_routes_ = 0;
    std::map<std::string, sent_statement> reads_;
    std::map<std::string, std::string> stale_;
    std::vector<std::string> findings_;
    std::uint64_t newest_token_ = 0;
    std::uint64_t last_id_ = 0;
    std::uint64_t served_ = 0;
    std::uint64_t served_at_the_end_ = 0;
    time_point start_;
    std::ofstream fault_log_{soak::log_path(".faults"), std::ios::app};
};

} // namespace

int main(int count, char** arguments) {
    if (count < 3) {
        fmt::print(stderr, "usage: gentianhill_soak PROGRAM SEED [SECONDS] [members] [owners]\n");
        return 2;
    }
    soak_options options;
    for (const std::string_view option :
         std::vector<std::string_view>(arguments + std::min(count, 4), arguments + count)) {
        options.has_member_faults = options.has_member_faults || option == "members";
        options.has_owners = options.has_owners || option == "owners";
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::uint64_t seed = std::strtoull(arguments[2], nullptr, 10);
    const duration length = std::chrono::seconds(count > 3 ? std::atoi(arguments[3]) : 20);
    return edge_soak(arguments[1], seed, length, options).run();
}
