#include "performance_test/control_plane/fleet_run.h"

#include <fmt/format.h>

#include <algorithm>
#include <ctime>
#include <fstream>
#include <unistd.h>

namespace gentianhill::control_bench {

namespace {

/// CPU time of this process, in seconds.
double cpu_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

/// Resident memory of this process, in KiB.
double resident_kib() {
    std::ifstream file{"/proc/self/statm"};
    double total = 0;
    double resident = 0;
    file >> total >> resident;
    constexpr double bytes_per_kib = 1024;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / bytes_per_kib;
}

double seconds_of(duration length) {
    constexpr double microseconds_per_second = 1e6;
    return static_cast<double>(length.count()) / microseconds_per_second;
}

} // namespace

fleet_run::fleet_run(const bench_settings& settings, std::size_t daemons)
    : settings_(settings), daemons_(daemons), padding_(settings.ticket_bytes, 'x') {}

bool fleet_run::start(error& reason) {
    std::vector<peer_address> addresses;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        peer_network_settings network;
        network.daemon = fmt::format("entry-host-{:04}", i);
        network.zone = fmt::format("zone-{:02}", i % settings_.zones);
        network.incarnation = 1700000000000;
        network.endpoint.listen = endpoint{"127.0.0.1", 0};
        if (settings_.full_mesh) {
            network.neighbours.full_mesh_limit = daemons_.size();
        }
        daemons_[i].network =
            std::make_unique<peer_network>(loop_, network, handlers_of(daemons_[i]), [this] {
                return std::uniform_real_distribution<double>{0, 1}(engine_);
            });
        if (!daemons_[i].network->start(reason)) {
            return false;
        }
        addresses.push_back(
            peer_address{network.daemon, network.zone, endpoint{"127.0.0.1", daemons_[i].network->port()}});
    }
    for (daemon& each : daemons_) {
        each.network->set_peers(addresses);
    }
    return true;
}

peer_handlers fleet_run::handlers_of(daemon& owner) {
    peer_handlers handlers;
    handlers.clock = [] { return fmt::format("{}.0", event_loop::wall_clock_ms()); };
    handlers.summary = [&owner] {
        return nlohmann::json{{"tickets", owner.highest_ticket}, {"groups", owner.groups_digest}};
    };
    handlers.is_known = [](const std::string&) { return true; };
    handlers.on_sender = [](const peer_envelope&, error&) { return true; };
    handlers.on_summary = [this, &owner](const peer_envelope& sender, const nlohmann::json& summary) {
        if (summary["tickets"].get<std::uint64_t>() > owner.highest_ticket) {
            catch_up(owner, sender.daemon);
        }
    };
    handlers.on_group_views = [&owner](const peer_envelope&, const group_view_push& push, error&) {
        const std::uint64_t digest = push.views.front()["term"].get<std::uint64_t>();
        const bool is_new = digest > owner.groups_digest;
        owner.groups_digest = std::max(owner.groups_digest, digest);
        return is_new ? peer_news::applied : peer_news::known;
    };
    handlers.on_tickets = [this, &owner](const peer_envelope&, const ticket_batch& batch, error&) {
        const std::size_t before = owner.tickets.size();
        for (const nlohmann::json& ticket : batch.tickets) {
            take(owner, ticket);
        }
        return owner.tickets.size() > before ? peer_news::applied : peer_news::known;
    };
    handlers.opinion = [](const peer_envelope&, const opinion_request&) { return opinion_answer{}; };
    handlers.tickets_after = [this, &owner](const peer_envelope&, const tickets_pull& pull) {
        ticket_batch batch;
        for (const std::uint64_t number : owner.tickets) {
            if (number > pull.after) {
                batch.tickets.push_back({{"number", number}, {"padding", padding_}});
            }
        }
        return batch;
    };
    handlers.timeline = [](const peer_envelope&, const timeline_request&) { return timeline_answer{}; };
    return handlers;
}

void fleet_run::take(daemon& owner, const nlohmann::json& ticket) {
    const std::uint64_t number = ticket["number"].get<std::uint64_t>();
    if (!owner.tickets.insert(number).second) {
        return;
    }
    owner.highest_ticket = std::max(owner.highest_ticket, number);
    const duration age = event_loop::now() - created_at_[number - 1];
    ticket_ms_max_ = std::max(ticket_ms_max_, seconds_of(age) * 1e3);
}

void fleet_run::catch_up(daemon& owner, const std::string& source) {
    if (owner.pulling) {
        return;
    }
    owner.pulling = true;
    owner.network->pull_tickets(
        source, tickets_pull{owner.highest_ticket},
        [this, &owner](const std::optional<ticket_batch>& batch, const error&) {
            owner.pulling = false;
            if (batch) {
                std::for_each(batch->tickets.begin(), batch->tickets.end(),
                              [this, &owner](const nlohmann::json& ticket) { take(owner, ticket); });
            }
        });
}

void fleet_run::create_ticket() {
    created_at_.push_back(event_loop::now());
    const nlohmann::json ticket{{"number", created_at_.size()}, {"padding", padding_}};
    // The watchers learn of it from the platform, which this program does not contain.
    for (daemon& each : daemons_) {
        if (each.network->is_ticket_watcher()) {
            take(each, ticket);
            each.network->push_tickets(ticket_batch{{ticket}, false});
        }
    }
}

void fleet_run::change_primary() {
    const std::uint64_t term = next_change_++;
    daemon& origin = daemons_[engine_() % daemons_.size()];
    origin.groups_digest = std::max(origin.groups_digest, term);
    const nlohmann::json view{
        {"group", fmt::format("group-{}", term % std::max<std::size_t>(settings_.groups, 1))},
        {"term", term},
        {"primary", "instance-1"},
        {"primary_address", "127.0.0.1:7000"}};
    origin.network->push_group_views(group_view_push{{view}});
}

void fleet_run::repeat(double per_second, const std::function<void()>& action) {
    if (per_second <= 0) {
        return;
    }
    loop_.run_after(duration{static_cast<std::int64_t>(1e6 / per_second)}, [this, per_second, action] {
        if (creating_) {
            action();
            repeat(per_second, action);
        }
    });
}

std::optional<run_result> fleet_run::measure(error& reason) {
    const double memory_before = resident_kib();
    if (!start(reason)) {
        return std::nullopt;
    }
    repeat(settings_.tickets_per_second, [this] { create_ticket(); });
    repeat(settings_.changes_per_second, [this] { change_primary(); });
    const auto never = [] { return false; };
    loop_.run_until(never, settings_.warm_up);
    std::vector<peer_network_counters> before;
    for (const daemon& each : daemons_) {
        before.push_back(each.network->counters());
    }
    const double cpu_before = cpu_seconds();
    const time_point begin = event_loop::now();
    loop_.run_until(never, settings_.length);
    const double seconds = seconds_of(event_loop::now() - begin);
    const double count = static_cast<double>(daemons_.size());

    run_result result;
    result.daemons = daemons_.size();
    result.cpu_percent = (cpu_seconds() - cpu_before) / seconds / count * 100;
    result.memory_kib = (resident_kib() - memory_before) / count;
    for (std::size_t i = 0; i < daemons_.size(); ++i) {
        const peer_network& network = *daemons_[i].network;
        const peer_network_counters after = network.counters();
        const double bytes = static_cast<double>(after.bytes_sent + after.bytes_received -
                                                 before[i].bytes_sent - before[i].bytes_received) /
                             seconds;
        result.bytes_per_second += bytes / count;
        result.max_bytes_per_second = std::max(result.max_bytes_per_second, bytes);
        result.messages_per_second +=
            static_cast<double>(after.messages_sent - before[i].messages_sent) / seconds / count;
        result.neighbours += static_cast<double>(network.neighbours().size()) / count;
        result.watchers += network.is_ticket_watcher() ? 1 : 0;
    }
    // Tickets that are still on their way get the time that section 1.4 allows.
    creating_ = false;
    const auto all_arrived = [this] {
        return std::all_of(daemons_.begin(), daemons_.end(),
                           [this](const daemon& each) { return each.tickets.size() == created_at_.size(); });
    };
    loop_.run_until(all_arrived, std::chrono::seconds{5});
    for (const daemon& each : daemons_) {
        result.tickets_missing += created_at_.size() - each.tickets.size();
    }
    result.ticket_ms_max = ticket_ms_max_;
    return result;
}

} // namespace gentianhill::control_bench
