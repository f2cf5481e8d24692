#include "simulated_deployment.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

using namespace std::chrono_literals;

namespace {

constexpr duration network_delay = 1ms;
constexpr duration proxy_delay = 200us;
constexpr std::uint16_t first_peer_port = 7440;
constexpr duration store_delay = 4ms;
constexpr duration call_timeout = 1200ms;
const std::string group_name = "orders";
const std::string no_host;

/// Length of the message of a command.
std::size_t message_bytes(const instance_command& command) {
    std::string message = "QUERY " + std::string(command.id.empty() ? "-" : command.id) + " ";
    if (command.min_position) {
        message += "SINCE " + std::to_string(command.min_position->term) + "." +
                   std::to_string(command.min_position->position) + " ";
    }
    switch (command.kind) {
    case command_kind::read:
    case command_kind::write:
    case command_kind::commit:
        return message.size() + command.text.size();
    case command_kind::execute:
        message += "EXECUTE  ";
        break;
    case command_kind::set_value:
        message += "SET  ";
        break;
    case command_kind::prepare:
        message += command.writes ? "PREPARE  WRITE " : "PREPARE  READ ";
        break;
    default:
        break;
    }
    return message.size() + command.name.size() + command.argument.size();
}

} // namespace

simulated_client::simulated_client(std::unique_ptr<client_session> session, simulated_clock& clock)
    : session_(std::move(session)), clock_(clock) {
    session_->on_answer = [this](const statement_result& result) {
        REQUIRE(!order_.empty());
        if (result.outcome == statement_outcome::done && on_done) {
            on_done(order_.front());
        }
        results_.emplace(order_.front(), result);
        order_.erase(order_.begin());
    };
}

std::string simulated_client::next_id() {
    return "s" + std::to_string(sent_by_all_ + 1);
}

std::string simulated_client::submit(statement next) {
    next.id = next_id();
    ++sent_by_all_;
    sent_.push_back(next.id);
    order_.push_back(next.id);
    std::string id = next.id;
    session_->submit(std::move(next));
    return id;
}

std::string simulated_client::send(const std::string& text) {
    statement next;
    next.text = text;
    next.kind = text == "BEGIN"                ? statement_kind::begin
                : text == "BEGIN READ"         ? statement_kind::begin_read
                : text == "COMMIT"             ? statement_kind::commit
                : text == "ROLLBACK"           ? statement_kind::rollback
                : text.rfind("WRITE ", 0) == 0 ? statement_kind::write
                : text.rfind("READ ", 0) == 0  ? statement_kind::read
                                               : statement_kind::malformed;
    return submit(std::move(next));
}

std::string simulated_client::execute(const std::string& name, const std::string& argument) {
    statement next;
    next.kind = statement_kind::execute;
    next.name = name;
    next.argument = argument;
    return submit(std::move(next));
}

std::string simulated_client::prepare(const std::string& name, const std::string& shape, bool writes) {
    statement next;
    next.kind = statement_kind::prepare;
    next.name = name;
    next.argument = shape;
    next.writes = writes;
    return submit(std::move(next));
}

void simulated_client::set(const std::string& name, const std::string& value) {
    statement next;
    next.kind = statement_kind::set_value;
    next.name = name;
    next.argument = value;
    submit(std::move(next));
}

const statement_result* simulated_client::result(const std::string& id) const {
    const std::map<std::string, statement_result>::const_iterator found = results_.find(id);
    return found == results_.end() ? nullptr : &found->second;
}

statement_outcome simulated_client::outcome(const std::string& id) const {
    REQUIRE(result(id) != nullptr);
    return result(id)->outcome;
}

/// Connection of a proxy to an instance of the service model, with network delay and partitions.
class simulated_link : public instance_link {
public:
    simulated_link(simulated_deployment& deployment, std::size_t proxy, std::string team, std::string id)
        : deployment_(deployment), proxy_(proxy), team_(std::move(team)), id_(std::move(id)) {
        ++deployment_.told_teams[team_];
        send = [this](const instance_command& command) {
            if (message_bytes(command) > message_limit) {
                ++deployment_.oversized_commands;
                call_later(2 * network_delay, [this] { on_disconnect(disconnect_reason::lost); });
                return;
            }
            deliver(standins::model_command(command));
        };
        call_later(2 * network_delay, [this] { connect(); });
        call_later(poll, [this] { watch_instance(); });
    }
    ~simulated_link() override {
        if (connection_ != nullptr) {
            // The close takes effect even across a partition; the instance rolls back.
            deployment_.service.close(connection_);
        }
    }

private:
    static constexpr duration poll = std::chrono::milliseconds(20);

    void call_later(duration delay, std::function<void()> action) {
        deployment_.clock.call_after(delay, simulated_deployment::host_name(proxy_),
                                     [alive = std::weak_ptr<bool>(alive_), action = std::move(action)] {
                                         if (!alive.expired()) {
                                             action();
                                         }
                                     });
    }

    void connect() {
        if (deployment_.is_cut(proxy_, id_)) {
            return;
        }
        connection_ = deployment_.service.open(id_);
        if (connection_ == nullptr) {
            if (deployment_.service.is_up(id_)) {
                on_open(make_refusal(statement_outcome::connection_limit, "full", transaction_state::idle));
            } else {
                on_disconnect(disconnect_reason::refused);
            }
            return;
        }
        on_open({});
    }

    // A crash resets the connections of an instance, unless a partition hides it.
    void watch_instance() {
        const bool dead = connection_ != nullptr && !deployment_.service.is_up(id_);
        if (dead && !deployment_.is_cut(proxy_, id_)) {
            on_disconnect(disconnect_reason::lost);
            return;
        }
        call_later(poll, [this] { watch_instance(); });
    }

    void deliver(const standins::model_command& command) {
        ++unanswered_;
        if (deployment_.is_cut(proxy_, id_)) {
            return;
        }
        deployment_.clock.call_after(
            network_delay, no_host,
            [this, deployment = &deployment_, team = team_, alive = std::weak_ptr<bool>(alive_), command,
             held = connection_] {
                // A command that was sent arrives even if the sender has been destroyed meanwhile.
                if (!command.id.empty()) {
                    deployment->run_for_team[command.id] = team;
                }
                deployment->service.handle(held, command, [this, alive](const instance_answer& answer) {
                    if (alive.expired() || deployment_.is_cut(proxy_, id_)) {
                        return;
                    }
                    call_later(network_delay, [this, answer] { receive(answer); });
                    if (draw_repeat()) {
                        call_later(network_delay + draw_delay(), [this, answer] { receive(answer); });
                    }
                });
            });
    }

    void receive(const instance_answer& received) {
        instance_answer answer = received;
        answer.is_unsolicited = unanswered_ == 0;
        if (on_answer(answer)) {
            --unanswered_;
        }
    }

    bool draw_repeat() {
        return std::uniform_real_distribution<double>(0, 1)(deployment_.repeat_random_) <
               deployment_.repeated_answers;
    }

    duration draw_delay() {
        return duration(std::uniform_int_distribution<duration::rep>(1, deployment_.repeat_delay.count())(
            deployment_.repeat_random_));
    }

    simulated_deployment& deployment_;
    std::size_t proxy_;
    std::string team_;
    std::string id_;
    std::shared_ptr<standins::model_connection> connection_;
    /// Commands that were sent and not answered yet.
    std::size_t unanswered_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

simulated_deployment::simulated_deployment(std::size_t proxies, std::size_t zones, bool has_owners)
    : store(clock), service({}), zones_(zones), has_owners_(has_owners) {
    service.call_after = [this](duration delay, std::function<void()> action) {
        clock.call_after(delay, no_host, std::move(action));
    };
    service.now = [this] { return clock.now(); };
    for (const char* id : {"i-1", "i-2", "i-3"}) {
        service.add(id);
        list(id, false);
    }
    service.start();
    configure(1);
    hosts_.resize(proxies);
    for (std::size_t proxy = 0; proxy < proxies; ++proxy) {
        start(proxy);
    }
    // Long enough for the group's membership to settle.
    run_for(6s);
}

simulated_deployment::~simulated_deployment() {
    for (std::size_t proxy = 0; proxy < hosts_.size(); ++proxy) {
        kill(proxy);
    }
}

void simulated_deployment::list(const std::string& id, bool draining) {
    store.write(store_collection::instances, id,
                {{"primary", service.is_primary(id)},
                 {"draining", draining},
                 {"started_at_ms", started_at_ms_[id]},
                 {"number", ++entry_numbers_[id]}});
}

void simulated_deployment::restart_without_log(const std::string& id) {
    service.rebirth(id);
    started_at_ms_[id] = to_milliseconds(clock.now().time_since_epoch());
    entry_numbers_[id] = 0;
    list(id, false);
}

void simulated_deployment::configure(std::uint64_t version, bool with_bounded, duration timeout) {
    nlohmann::json needs_no_key = nlohmann::json::object();
    for (const std::string& database : public_databases) {
        needs_no_key[database] = true;
    }
    nlohmann::json content{{"version", version},
                           {"bounded", with_bounded},
                           {"timeout_ms", to_milliseconds(timeout)},
                           {"public", std::move(needs_no_key)}};
    if (teams) {
        content["teams"] = *teams;
    }
    store.write(store_collection::configuration, "main", content);
}

void simulated_deployment::cut_from_proxies(std::size_t proxy, bool is_cut) {
    if (is_cut) {
        cut_proxies_.insert(proxy);
    } else {
        cut_proxies_.erase(proxy);
    }
}

template <typename answer_type>
void simulated_deployment::exchange(
    std::size_t from, const endpoint& server, duration timeout,
    const std::function<void(const std::optional<answer_type>& answer, const error& reason)>& done,
    const std::function<void(std::size_t to, const peer_responder<answer_type>& respond)>& deliver) {
    const std::shared_ptr<bool> answered = std::make_shared<bool>(false);
    const auto finish = [this, from, answered, done](duration delay, std::optional<answer_type> answer,
                                                     error reason) {
        clock.call_after(delay, host_name(from),
                         [answered, done, answer = std::move(answer), reason = std::move(reason)] {
                             if (!*answered) {
                                 *answered = true;
                                 done(answer, reason);
                             }
                         });
    };
    finish(timeout, std::nullopt, error{error_code::timed_out, "server", server.to_string(), ""});
    const std::size_t to = server.port - first_peer_port;
    clock.call_after(proxy_delay, host_name(to), [this, from, to, deliver, finish] {
        if (cut_proxies_.count(from) > 0 || cut_proxies_.count(to) > 0) {
            return;
        }
        if (hosts_[to].served == nullptr) {
            finish(proxy_delay, std::nullopt, error{error_code::connect_failed, "server", host_name(to), ""});
            return;
        }
        open_exchanges_.push_back(
            {to, [finish] {
                 finish(proxy_delay, std::nullopt, error{error_code::connection_lost, "server", "", ""});
             }});
        deliver(to, [finish](const std::optional<answer_type>& answer, const error& reason) {
            finish(proxy_delay, answer, reason);
        });
    });
}

void simulated_deployment::ask_proxy(std::size_t from, const endpoint& server, relay_request_kind kind,
                                     const nlohmann::json& message, duration timeout,
                                     const relay_answer_handler& done) {
    exchange<nlohmann::json>(
        from, server, timeout, done,
        [this, kind, message](std::size_t to, const peer_responder<nlohmann::json>& respond) {
            at(to).on_relay_request(
                kind, message,
                [this, kind, respond](const std::optional<nlohmann::json>& answer, const error& reason) {
                    ++relayed[kind];
                    respond(answer, reason);
                });
        });
}

void simulated_deployment::hand_on(std::size_t from, const endpoint& server, const std::string& message,
                                   duration timeout, const hand_on_handler& done) {
    exchange<std::string>(from, server, timeout, done,
                          [this, from, message](std::size_t to, const peer_responder<std::string>& respond) {
                              std::string received = message;
                              if (on_hand_on_message && !on_hand_on_message(from, to, received)) {
                                  return;
                              }
                              ++messages_handed_on[to];
                              at(to).on_hand_on(received,
                                                [this, to, respond](const std::optional<std::string>& answer,
                                                                    const error& reason) {
                                                    if (mute_proxies.count(to) > 0) {
                                                        return;
                                                    }
                                                    std::optional<std::string> sent = answer;
                                                    if (sent && on_hand_on_answer) {
                                                        on_hand_on_answer(*sent);
                                                    }
                                                    respond(sent, reason);
                                                });
                          });
}

proxy_ports simulated_deployment::make_ports(std::size_t index) {
    const std::string own_name = host_name(index);
    proxy_ports ports;
    ports.network.open = [this, index](const endpoint&, const std::string&, const std::string& team,
                                       const std::string& id) {
        ++opened_connections;
        return std::make_unique<simulated_link>(*this, index, team, id);
    };
    ports.network.fits = [](const instance_command& command) {
        return message_bytes(command) <= message_limit;
    };
    ports.store = store.make_port(own_name);
    ports.promote = [this, own_name](const std::string&, const std::string& id, const std::string& holder,
                                     std::uint64_t token,
                                     const std::function<void(promotion_call_result)>& done) {
        promote_calls.emplace_back(holder, token);
        const bool accepted = service.promote(id);
        const bool lost = lost_promote_answers > 0;
        lost_promote_answers -= lost ? 1 : 0;
        clock.call_after(lost ? call_timeout : store_delay, own_name, [done, accepted, lost] {
            done(lost       ? promotion_call_result::unknown
                 : accepted ? promotion_call_result::accepted
                            : promotion_call_result::rejected);
        });
    };
    ports.relay.ask = [this, index](const endpoint& server, relay_request_kind kind,
                                    const nlohmann::json& message, duration timeout,
                                    const relay_answer_handler& done) {
        ask_proxy(index, server, kind, message, timeout, done);
    };
    ports.relay.hand_on = [this, index](const endpoint& server, const std::string& message, duration timeout,
                                        const hand_on_handler& done) {
        hand_on(index, server, message, timeout, done);
    };
    ports.call_after = [this, own_name](duration delay, std::function<void()> action) {
        clock.call_after(delay, own_name, std::move(action));
    };
    ports.read_configuration = [](const stored_object& object) -> std::optional<proxy_configuration> {
        proxy_configuration configuration;
        configuration.version = object.content.at("version").get<std::uint64_t>();
        for (const auto& [database, consistency] :
             {std::pair{"latest", consistency_level::latest},
              std::pair{"bounded", consistency_level::bounded_staleness},
              std::pair{"own", consistency_level::read_your_writes}}) {
            if (consistency == consistency_level::bounded_staleness &&
                !object.content.at("bounded").get<bool>()) {
                continue;
            }
            std::shared_ptr<route> added = std::make_shared<route>();
            added->name = database;
            added->database = database;
            added->group = group_name;
            added->consistency = consistency;
            added->timeout = std::chrono::milliseconds(object.content.at("timeout_ms").get<std::int64_t>());
            added->target_latency = 200ms;
            added->priority = consistency == consistency_level::latest ? 1 : 2;
            added->max_staleness = consistency == consistency_level::latest ? duration(0) : duration(1500ms);
            added->is_public = object.content.at("public").contains(database);
            configuration.routes.emplace(database, added);
        }
        if (object.content.contains("teams")) {
            std::shared_ptr<team_directory> directory = std::make_shared<team_directory>();
            for (const auto& [name, keys] : object.content.at("teams").items()) {
                std::shared_ptr<team> added = std::make_shared<team>();
                added->name = name;
                REQUIRE(directory->add(added));
                for (const nlohmann::json& key : keys) {
                    REQUIRE(directory->add_key(key_digest(key.get_ref<const std::string&>()), added));
                }
            }
            configuration.teams = directory;
        }
        configuration.groups[group_name] = {40, 1};
        configuration.transaction_idle_limit = 3000ms;
        return configuration;
    };
    ports.read_instance = [this](const stored_object& object) -> std::optional<listed_instance> {
        listed_instance listed;
        listed.id = object.name;
        listed.group = group_name;
        listed.address = {"10.0.0.1", 1};
        listed.zone = object.name == "i-1" ? "a" : "b";
        listed.slots = 4;
        listed.claims_primary = object.content.at("primary").get<bool>();
        listed.draining = object.content.at("draining").get<bool>();
        listed.started_at_ms = object.content.at("started_at_ms").get<std::int64_t>();
        listed.update_number = object.content.at("number").get<std::int64_t>();
        listed.era = object.era;
        return listed;
    };
    ports.now = [this] { return clock.now(); };
    ports.random = [this] { return std::uniform_real_distribution<double>(0.0, 1.0)(random); };
    return ports;
}

void simulated_deployment::start(std::size_t index) {
    host& started = hosts_[index];
    started.log = std::make_unique<logger>(log_settings{log_level::info, 1000, 1000});
    started.log->now = [this] { return clock.now(); };
    started.log->wall_clock_ms = [this] { return to_milliseconds(clock.now().time_since_epoch()); };
    started.log->sink = [this, index](std::string_view line) {
        log_lines.push_back(host_name(index) + " " + std::string(line));
    };
    started.registry = std::make_unique<metrics>();
    proxy_settings settings;
    settings.name = host_name(index);
    settings.zone = index % zones_ == 0 ? "a" : "b";
    settings.key_lease = key_lease;
    if (has_seed) {
        settings.relay.seeds = {endpoint{"10.0.1.1", first_peer_port + 1}};
    }
    settings.incarnation = std::to_string(++started.incarnation);
    settings.peer_address = endpoint{"10.0.1.1", static_cast<std::uint16_t>(first_peer_port + index)};
    if (has_owners_) {
        // More connections than any daemon has, so that statements are handed on.
        settings.owners.min_direct_connections = 1000;
    }
    started.served = std::make_unique<proxy>(settings, make_ports(index), *started.log, *started.registry);
    started.served->start();
}

void simulated_deployment::kill(std::size_t index) {
    hosts_[index].served.reset();
    for (const open_exchange& open : open_exchanges_) {
        if (open.to == index) {
            open.fail();
        }
    }
    std::erase_if(open_exchanges_, [index](const open_exchange& open) { return open.to == index; });
}

bool simulated_deployment::is_cut(std::size_t proxy, const std::string& instance) const {
    return cuts_.count({proxy, instance}) > 0;
}

void simulated_deployment::cut(std::size_t proxy, const std::string& instance, bool is_cut) {
    if (is_cut) {
        cuts_.insert({proxy, instance});
    } else {
        cuts_.erase({proxy, instance});
    }
}

std::unique_ptr<simulated_client>
simulated_deployment::connect(std::size_t proxy, const std::string& database, const std::string& key) {
    std::unique_ptr<simulated_client> client = try_connect(proxy, database, key);
    REQUIRE(client != nullptr);
    return client;
}

std::unique_ptr<simulated_client>
simulated_deployment::try_connect(std::size_t proxy, const std::string& database, const std::string& key) {
    statement_outcome refusal = statement_outcome::done;
    std::unique_ptr<client_session> session = at(proxy).open_session(database, key, refusal);
    if (session == nullptr) {
        last_refusal = refusal;
        return nullptr;
    }
    std::unique_ptr<simulated_client> client = std::make_unique<simulated_client>(std::move(session), clock);
    client->on_done = [this](const std::string& id) { service.confirm(id); };
    return client;
}

void simulated_deployment::run_for(duration length) {
    constexpr duration step = 25ms;
    for (duration passed(0); passed < length; passed += step) {
        clock.run_for(std::min(step, length - passed));
    }
}

} // namespace gentianhill
