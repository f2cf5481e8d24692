#pragma once

#include "gentianhill/core/time.h"
#include "gentianhill/membership/listed_host.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace gentianhill {

/// Times after which evidence about hosts expires.
struct host_directory_settings {
    /// A daemon that is expected to send heartbeats is silent when none has arrived for longer than this.
    duration silence_limit = std::chrono::seconds{3};
    /// Time for which a message or refusal received directly takes precedence over a list that contradicts
    /// it.
    duration direct_evidence_lifetime = std::chrono::seconds{60};
    /// Age beyond which the platform's list is reported as stale; its entries stay in use.
    duration list_age_limit = std::chrono::seconds{30};
};

/// Identity and state that a daemon announces in each of its messages.
struct daemon_announcement {
    /// Name of the daemon, equal to the name of its entry host.
    std::string daemon;
    /// Availability zone.
    std::string zone;
    /// Number that increases with each start of the process.
    std::uint64_t incarnation = 0;
    /// True once the daemon accepts no new work.
    bool draining = false;
};

/// State of a daemon, combined from the platform's list and from messages received directly.
enum class daemon_state : std::uint8_t { live, draining, leaving, silent };

/// Returns the name of a state for operators.
[[nodiscard]] std::string_view to_string(daemon_state state);

/// State of one daemon as known to the directory.
struct daemon_view {
    /// Name and availability zone.
    std::string name;
    std::string zone;
    /// Peer endpoint as "address:port"; empty when the daemon is not in the platform's list.
    std::string address;
    /// Highest incarnation received directly; 0 when none was received.
    std::uint64_t incarnation = 0;
    /// Time since the last message received directly; nullopt when none was received.
    std::optional<duration> last_heard_age;
    /// State, combined from all evidence.
    daemon_state state = daemon_state::live;
};

/// State of one backend server as known to the directory.
struct server_view {
    /// Name, availability zone and address.
    std::string name;
    std::string zone;
    std::string address;
    /// True when the server must not be given new work.
    bool leaving = false;
};

/// Membership change caused by the announcement of a daemon.
enum class membership_event : std::uint8_t { none, joined, restarted, draining, returned };

/// Merges the platform's list of hosts, which lags behind, with the messages and refusals received directly.
/// Performs no I/O. Evidence that a host is leaving takes effect at once, and a list that is old or
/// unavailable never removes a host.
class host_directory {
public:
    explicit host_directory(const host_directory_settings& settings);

    /// Applies a list from the platform. Returns false and ignores the list if it is of an earlier era of the
    /// platform's store than the list applied last, or of the same era with a lower revision.
    bool apply_list(const std::vector<listed_host>& hosts, std::uint64_t revision, time_point now,
                    std::uint64_t era = 0);
    /// Records a message received directly from a daemon. Messages from earlier incarnations are ignored.
    membership_event record_message(const daemon_announcement& announcement, time_point now);
    /// Records that a daemon refused work because it is draining.
    void record_daemon_refusal(const std::string& daemon, time_point now);
    /// Records that an instance on this backend server answered `leaving`.
    void record_server_refusal(const std::string& server, time_point now);
    /// Clears an earlier refusal after an instance on this backend server reported that it is not leaving.
    /// The state in the platform's list still applies.
    void clear_server_refusal(const std::string& server);
    /// Sets the daemons that are expected to send heartbeats; no other daemon is ever reported as silent.
    void expect_heartbeats(const std::set<std::string>& daemons, time_point now);

    /// Returns one daemon; nullopt when it is not listed and no recent message or refusal of it is known.
    [[nodiscard]] std::optional<daemon_view> find_daemon(const std::string& name, time_point now) const;
    /// Returns all known daemons, ordered by name.
    [[nodiscard]] std::vector<daemon_view> daemons(time_point now) const;
    /// Returns the live daemons, which may coordinate and be queried, ordered by name.
    [[nodiscard]] std::vector<daemon_view> live_daemons(time_point now) const;
    /// Returns all known backend servers, ordered by name.
    [[nodiscard]] std::vector<server_view> servers(time_point now) const;
    /// Returns the backend servers that must not be given new work.
    [[nodiscard]] std::set<std::string> excluded_servers(time_point now) const;
    /// Returns false if the server must not be given new work; true for unknown servers.
    [[nodiscard]] bool accepts_new_work(const std::string& server, time_point now) const;
    /// Returns true if no list was ever applied or the last one is older than the limit.
    [[nodiscard]] bool is_list_stale(time_point now) const;
    /// Returns the time since a list was last applied; nullopt when none ever was.
    [[nodiscard]] std::optional<duration> list_age(time_point now) const;

private:
    struct daemon_record {
        std::optional<listed_host> listed;
        std::optional<time_point> last_heard_at;
        std::optional<time_point> expected_since;
        std::optional<time_point> last_refused_at;
        std::string zone;
        std::uint64_t incarnation = 0;
        /// Incarnation known when the list first showed the host as leaving; a later incarnation belongs to a
        /// replacement.
        std::uint64_t leaving_incarnation = 0;
        bool draining = false;
    };
    struct server_record {
        std::optional<listed_host> listed;
        std::optional<time_point> last_refused_at;
    };

    [[nodiscard]] bool is_fresh(const std::optional<time_point>& evidence_at, time_point now) const;
    [[nodiscard]] bool is_known(const daemon_record& record, time_point now) const;
    [[nodiscard]] bool is_silent(const daemon_record& record, time_point now) const;
    void apply_listed_daemon(const listed_host& host);
    [[nodiscard]] bool is_leaving(const server_record& record, time_point now) const;
    [[nodiscard]] daemon_state state_of(const daemon_record& record, time_point now) const;
    [[nodiscard]] daemon_view view_of(const std::string& name, const daemon_record& record,
                                      time_point now) const;
    void remove_expired(time_point now);

    host_directory_settings settings_;
    std::map<std::string, daemon_record> daemons_;
    std::map<std::string, server_record> servers_;
    std::uint64_t list_era_ = 0;
    std::uint64_t list_revision_ = 0;
    std::optional<time_point> list_applied_at_;
};

} // namespace gentianhill
