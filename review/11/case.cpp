// A primary is released by plan while a daemon is partitioned from the store; the new primary then loses the
// store.

#include "review/stand-ins-3/small_deployment.h"
#include "review/stand-ins-3/steady_writer.h"

#include <string>

using namespace review;

namespace {

constexpr std::size_t max_connections = 34;
constexpr const char* old_primary = "i-1";
/// Sorts before the other ids, so that of equal logs its own is chosen.
constexpr const char* newcomer = "i-0";
constexpr milliseconds blind_length{7000};
constexpr milliseconds new_primary_cut_length{7000};
constexpr milliseconds drain_delay{1000};

} // namespace

int main(int, char** arguments) {
    small_deployment played(std::string(arguments[1]) + "/record.txt", max_connections,
                            {"kyushu-b", "kyushu-a", "kyushu-c", "kyushu-a"});
    acknowledged_commits acknowledged(played);
    if (!played.start()) {
        return exit_not_run;
    }
    acknowledged.add_writers();
    acknowledged.play(milliseconds(3000));
    if (acknowledged.count() == 0) {
        return exit_not_run;
    }
    cut_link& store_of_first = *played.store_links[0];
    if (has_trouble()) {
        played.record.line("daemon " + played.daemons[0]->name() + " is partitioned from the store");
        store_of_first.cut();
        played.loop.call_after(blind_length, [&] {
            played.record.line("daemon " + played.daemons[0]->name() + " reaches the store again");
            store_of_first.heal();
        });
    }
    acknowledged.play(milliseconds(50));
    played.record.line("instance " + std::string(newcomer) + " starts, to replace " + old_primary);
    played.add_instance(newcomer, "kyushu-a");
    acknowledged.play(drain_delay);
    played.drain(old_primary);
    bool is_cut = false;
    for (int step = 0; step < 500; ++step) {
        acknowledged.play(milliseconds(20));
        if (has_trouble() && !is_cut && played.service.leads(newcomer)) {
            is_cut = true;
            played.cut_from_store(newcomer, new_primary_cut_length, milliseconds(1200), [] {});
        }
    }
    if (has_trouble() && !is_cut) {
        played.record.line("the newcomer was not promoted");
        return exit_not_run;
    }
    return acknowledged.report();
}
