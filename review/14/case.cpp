// A replica and a daemon are partitioned from the store; another daemon, partitioned from the primary,
// replaces it without that replica, through which the primary goes on acknowledging.

#include "review/stand-ins-3/small_deployment.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace review;

namespace {

constexpr std::size_t max_connections = 28;
constexpr milliseconds write_pause{25};
constexpr milliseconds store_cut_length{5000};
/// "back within about two seconds", says the page of entries that had expired.
constexpr milliseconds entry_return_delay{1900};
constexpr milliseconds primary_cut_delay{2900};
constexpr milliseconds primary_cut_length{7000};
constexpr const char* old_primary = "i-1";
constexpr const char* lapsed_replica = "i-3";

/// A client that writes again and again, and notes what was acknowledged to it.
class steady_writer {
public:
    steady_writer(small_deployment& played, const std::string& name, std::uint16_t port,
                  std::vector<std::string>& acknowledged)
        : loop_(played.loop),
          session_(played.loop, played.record, name, port, "latest"),
          acknowledged_(acknowledged) {}

    /// Notes the answer to the last write, if there is one now, and sends the next.
    void step() {
        if (is_waiting_ && session_.has_answer()) {
            is_waiting_ = false;
            if (session_.answer().rfind("COMPLETE", 0) == 0) {
                acknowledged_.push_back(session_.last_id());
            }
            next_at_ = clock_type::now() + write_pause;
        }
        if (!is_waiting_ && session_.is_open() && clock_type::now() >= next_at_) {
            is_waiting_ = true;
            session_.send("WRITE order-1 data");
        }
    }

private:
    event_poll& loop_;
    client session_;
    std::vector<std::string>& acknowledged_;
    clock_type::time_point next_at_;
    bool is_waiting_ = false;
};

} // namespace

int main(int, char** arguments) {
    small_deployment played(std::string(arguments[1]) + "/record.txt", max_connections,
                            {"kingston-a", "kingston-b", "spanish-town", "may-pen"});
    std::vector<std::string> acknowledged;
    std::size_t lost = 0;
    played.service.on_promoted = [&](const std::string& id, std::uint64_t term) {
        for (const std::string& commit : acknowledged) {
            if (!played.service.holds(id, commit)) {
                ++lost;
                std::string found = "BROKEN LOST: " + commit;
                found += " was acknowledged, and " + id + " leads term " + std::to_string(term);
                played.record.line(found + " without it");
            }
        }
    };
    if (!played.start()) {
        return exit_not_run;
    }
    std::vector<std::unique_ptr<steady_writer>> writers;
    for (const std::unique_ptr<edge_process>& each : played.daemons) {
        writers.push_back(std::make_unique<steady_writer>(played, "writer-of-" + each->name(),
                                                          each->client_port(), acknowledged));
    }
    const auto play = [&](milliseconds length) {
        const clock_type::time_point end = clock_type::now() + length;
        while (clock_type::now() < end) {
            for (const std::unique_ptr<steady_writer>& each : writers) {
                each->step();
            }
            played.loop.run_for(milliseconds(2));
        }
    };
    play(milliseconds(3000));
    if (acknowledged.empty()) {
        return exit_not_run;
    }
    const pid_t first = played.daemons[0]->process();
    cut_link& store_of_third = *played.store_links[2];
    if (has_trouble()) {
        played.cut_from_store(lapsed_replica, store_cut_length, entry_return_delay, [&] {
            played.record.line("daemon " + played.daemons[2]->name() + " is partitioned from the store");
            store_of_third.cut();
            played.loop.call_after(store_cut_length, [&] {
                played.record.line("daemon " + played.daemons[2]->name() + " reaches the store again");
                store_of_third.heal();
            });
            played.loop.call_after(primary_cut_delay, [&] {
                played.record.line("daemon " + played.daemons[0]->name() + " is partitioned from " +
                                   old_primary);
                played.service.set_cut(old_primary, first, true);
            });
            played.loop.call_after(primary_cut_delay + primary_cut_length, [&] {
                played.record.line("daemon " + played.daemons[0]->name() + " reaches " + old_primary +
                                   " again");
                played.service.set_cut(old_primary, first, false);
            });
        });
    }
    play(milliseconds(13000));
    played.record.line(std::to_string(acknowledged.size()) + " commits were acknowledged, " +
                       std::to_string(lost) + " of them are lost");
    played.record.line(lost > 0 ? "the rule was broken" : "the rule held");
    return lost > 0 ? exit_broken : exit_held;
}
