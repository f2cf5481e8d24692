// A replica and a daemon are partitioned from the store; another daemon, partitioned from the primary,
// replaces it without that replica, through which the primary goes on acknowledging.

#include "review/stand-ins-3/small_deployment.h"
#include "review/stand-ins-3/steady_writer.h"

#include <string>

using namespace review;

namespace {

constexpr std::size_t max_connections = 34;
constexpr milliseconds store_cut_length{5000};
/// "back within about two seconds", says the page of entries that had expired.
constexpr milliseconds entry_return_delay{1900};
constexpr milliseconds primary_cut_delay{2900};
constexpr milliseconds primary_cut_length{7000};
constexpr const char* old_primary = "i-1";
constexpr const char* lapsed_replica = "i-3";

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
    acknowledged.play(milliseconds(13000));
    return acknowledged.report();
}
