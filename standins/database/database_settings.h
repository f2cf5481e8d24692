#pragma once

#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace gentianhill::standins {

/// How an instance starts.
enum class start_mode : std::uint8_t {
    /// Without state: not initialised, to be admitted by follow.
    empty,
    /// Primary of the group's first term.
    first_primary,
    /// Member of the group's first term.
    first_member,
};

/// Settings of one database instance.
struct database_settings {
    /// Address to listen on; port 0 lets the system choose one.
    endpoint listen{"127.0.0.1", 0};
    /// Name of the instance within its group.
    std::string instance = "a";
    /// Name of the database group.
    std::string group = "group";
    /// Addresses of the other instances by name; used by follow calls without an address.
    std::map<std::string, endpoint> peers;
    /// Identity of the state that the instance starts with; empty lets it choose one at random.
    std::string state_id;
    /// How the instance starts.
    start_mode start = start_mode::empty;
    /// Primary that a first member follows; must be in `peers`.
    std::string follow;
    /// Connections that may be open at once.
    std::size_t connections = 30;
    /// Batches that run at once.
    std::size_t slots = 5;
    /// Time between the arrival of a replicated entry and its application.
    duration lag{0};
    /// Time that each statement occupies its slot.
    duration service_time = std::chrono::microseconds{200};
    /// Delay of the first request of a new connection.
    duration connect_cost = std::chrono::milliseconds{10};
    /// Longest wait of a change for the transaction that is open.
    duration lock_wait = std::chrono::seconds{1};
    /// Longest time that a transaction may be open without a statement before it is rolled back.
    duration transaction_idle_limit = std::chrono::seconds{10};
};

/// Reads the command line. Errors: bad_value naming the flag, missing_field, out_of_range.
[[nodiscard]] std::optional<database_settings> read_database_settings(int count, const char* const* arguments,
                                                                      error& reason);

} // namespace gentianhill::standins
