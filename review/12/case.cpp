// A daemon that owns a group is stopped and started again while a client of another daemon pauses in a
// transaction.

#include "review/stand-ins-3/small_deployment.h"

#include <csignal>
#include <cstdlib>

using namespace review;

namespace {

constexpr milliseconds answer_limit{3000};
constexpr std::size_t max_connections = 10;
constexpr std::size_t later_clients = 2;

std::string client_of(const std::string& id) {
    return id.substr(0, id.rfind('-'));
}

/// True if the daemon is to be stopped by plan; with STOP=kill it is killed.
bool is_planned() {
    const char* stop = std::getenv("STOP");
    return stop == nullptr || std::string(stop) != "kill";
}

/// The daemon of the zone that hands the statements of its clients on to the other; null if none does in
/// time.
edge_process* find_guest(small_deployment& played, edge_process& first, edge_process& second) {
    constexpr int rounds = 10;
    for (int round = 0; round < rounds; ++round) {
        for (edge_process* asked : {&first, &second}) {
            client probe(played.loop, played.record, "probe", asked->client_port(), "latest");
            probe.ask("READ probe", answer_limit);
            const std::string text = fetch(played.loop, asked->admin_port(), "/metrics");
            if (metric(text, "gentianhill_statements_handed_on_total") > 0) {
                return asked;
            }
        }
        played.loop.run_for(milliseconds(500));
    }
    return nullptr;
}

bool play(small_deployment& played) {
    edge_process& first = *played.daemons[0];
    edge_process& second = *played.daemons[1];
    // The list of daemons counts once it has been steady for a second.
    played.loop.run_for(milliseconds(2500));
    edge_process* guest = find_guest(played, first, second);
    if (guest == nullptr) {
        played.record.line("no daemon hands statements on");
        return false;
    }
    edge_process& owner = guest == &first ? second : first;
    played.record.line("daemon " + guest->name() + " hands statements on to " + owner.name());

    client early(played.loop, played.record, "early", guest->client_port(), "latest");
    early.ask("BEGIN", answer_limit);
    if (early.ask("WRITE order-1 early-data", answer_limit).rfind("COMPLETE", 0) != 0) {
        return false;
    }
    clock_type::time_point paused_at = clock_type::now();
    if (has_trouble()) {
        if (is_planned()) {
            played.record.line("daemon " + owner.name() + " gets SIGTERM");
            owner.signal(SIGTERM);
            // The owner lets open transactions go on for half of its grace time.
            played.loop.run_for(milliseconds(2500));
            early.ask("READ order-1", answer_limit);
            paused_at = clock_type::now();
            if (!played.loop.run_until([&owner] { return !owner.is_running(); }, milliseconds(6000))) {
                return false;
            }
        } else {
            played.record.line("daemon " + owner.name() + " is killed");
            owner.kill_now();
        }
        played.loop.run_for(milliseconds(200));
        played.record.line("daemon " + owner.name() + " starts again");
        owner.start();
        played.loop.run_for(milliseconds(is_planned() ? 1650 : 900));
    }
    std::vector<std::unique_ptr<client>> later;
    for (std::size_t i = 0; i < later_clients; ++i) {
        later.push_back(std::make_unique<client>(played.loop, played.record, "later" + std::to_string(i + 1),
                                                 guest->client_port(), "latest"));
        later.back()->ask("BEGIN", answer_limit);
        later.back()->ask("WRITE order-" + std::to_string(i + 2) + " later-data", answer_limit);
    }
    played.record.line(
        "client early has paused for " +
        std::to_string(std::chrono::duration_cast<milliseconds>(clock_type::now() - paused_at).count()) +
        " ms of the 3000 that TxIdleMs allows");
    early.ask("WRITE order-1 more-early-data", answer_limit);
    early.ask("COMMIT", answer_limit);
    for (const std::unique_ptr<client>& each : later) {
        each->ask("ROLLBACK", answer_limit);
    }
    return true;
}

} // namespace

int main(int, char** arguments) {
    small_deployment played(std::string(arguments[1]) + "/record.txt", max_connections,
                            {"kyushu-a", "kyushu-a", "kyushu-b", "kyushu-c"});
    bool broken = false;
    played.service.on_run = [&](const std::string& instance, std::uint64_t connection,
                                const std::vector<std::string>& transaction, const std::string& id,
                                const std::string&) {
        for (const std::string& earlier : transaction) {
            if (client_of(earlier) != client_of(id)) {
                broken = true;
                std::string found = "BROKEN PINNED: " + id;
                found += " runs inside the transaction of " + earlier;
                found += ", at " + instance + " on connection " + std::to_string(connection);
                played.record.line(found);
            }
        }
    };
    if (!played.start() || !play(played)) {
        return exit_not_run;
    }
    played.record.line(broken ? "the rule was broken" : "the rule held");
    return broken ? exit_broken : exit_held;
}
