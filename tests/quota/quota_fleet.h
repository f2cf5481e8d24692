#pragma once

#include "gentianhill/metadata/collection_replica.h"
#include "gentianhill/quota/team_quota.h"
#include "tests/simulation/simulated_store.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Daemons of several zones that keep the limits of teams, on one simulated clock, with clients that send
/// operations at random times.
class quota_fleet {
public:
    /// Starts `daemons_per_zone` daemons in each of the zones z0, z1, ...
    quota_fleet(std::size_t zones, std::size_t daemons_per_zone, std::uint64_t seed = 1);
    ~quota_fleet();

    void run_for(duration length) { clock.run_for(length); }
    void kill(const std::string& name);
    void start(const std::string& name);
    void freeze(const std::string& name) { clock.freeze(name); }
    void wake(const std::string& name) { clock.wake(name); }
    /// Puts a limit in force at all daemons.
    void limit(const std::string& team, const team_rate& rate) { limits[team] = rate; }
    /// Makes the clients of a daemon send operations of a team at a rate.
    void load(const std::string& daemon, const std::string& team, double per_second);
    /// Spreads operations of a team evenly over daemons.
    void spread(const std::vector<std::string>& daemons, const std::string& team, double per_second);

    [[nodiscard]] std::vector<std::string> names() const;
    [[nodiscard]] std::vector<std::string> zone(std::size_t number) const;
    [[nodiscard]] team_quota& quota_of(const std::string& name) { return *daemons_.at(name).quota; }
    [[nodiscard]] bool runs(const std::string& name) const { return daemons_.at(name).quota != nullptr; }
    /// Daemon that allocates; empty when there is none.
    [[nodiscard]] std::string allocator() const;

    /// Starts to count refusals and waits anew.
    void reset_counts();
    /// Part of the operations of a team that were refused since then.
    [[nodiscard]] double refused_part(const std::string& team) const;
    /// Part of the operations that were admitted at once or within `limit`.
    [[nodiscard]] double prompt_part(const std::string& team, duration limit) const;
    [[nodiscard]] std::size_t admitted_count(const std::string& team, time_point from, time_point to) const;
    /// The most operations of a team in any window that begins at or after `from`.
    [[nodiscard]] std::size_t most_in_window(const std::string& team, time_point from = {}) const;
    /// The most that the rule allows under a limit.
    [[nodiscard]] std::size_t allowed(const team_rate& rate) const;

    simulated_clock clock;
    simulated_store store{clock};
    quota_settings settings;
    std::map<std::string, team_rate> limits;
    /// Hosts that reach no other daemon; the store is cut by its own set.
    std::set<std::string> cut_hosts;
    /// True for a message that is lost; may be empty.
    std::function<bool(const std::string& from, const std::string& to)> loses;
    /// Messages between daemons so far, and those between zones with their bytes.
    std::uint64_t messages = 0;
    std::uint64_t zone_messages = 0;
    std::uint64_t zone_bytes = 0;

private:
    struct fleet_daemon {
        std::string zone;
        std::unique_ptr<logger> log;
        std::unique_ptr<metrics> registry;
        std::unique_ptr<metadata_store> store;
        std::unique_ptr<relay_port> port;
        std::unique_ptr<collection_replica> replica;
        std::unique_ptr<daemon_directory> directory;
        std::unique_ptr<team_quota> quota;
        quota_port admission;
        std::uint64_t incarnation = 0;
    };
    struct team_counts {
        std::vector<time_point> admitted;
        std::uint64_t total = 0;
        std::uint64_t refused = 0;
        std::vector<duration> waits;
    };

    [[nodiscard]] static endpoint address_of(const std::string& name);
    void ask(const std::string& from, const endpoint& server, relay_request_kind kind,
             const nlohmann::json& message, duration timeout, const relay_answer_handler& done);
    [[nodiscard]] bool is_lost(const std::string& from, const std::string& to) const;
    [[nodiscard]] duration delay(const std::string& from, const std::string& to) const;
    void count_message(const std::string& from, const std::string& to, const nlohmann::json& message);
    void tick(const std::string& name, std::uint64_t incarnation);
    void schedule_operation(const std::string& daemon, const std::string& team);
    void send_operation(const std::string& daemon, const std::string& team);

    std::map<std::string, fleet_daemon> daemons_;
    std::map<std::string, std::string> names_by_address_;
    std::map<std::pair<std::string, std::string>, double> loads_;
    std::set<std::pair<std::string, std::string>> scheduled_;
    std::map<std::string, team_counts> counts_;
    std::mt19937_64 random_;
};

} // namespace gentianhill
