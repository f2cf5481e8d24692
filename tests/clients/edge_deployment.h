#pragma once

#include "gentianhill/core/event_loop.h"
#include "standins/line_platform/http_platform.h"
#include "standins/strict_lines/exchange_ledger.h"
#include "standins/strict_lines/strict_service.h"
#include "tests/clients/crowd_client.h"
#include "tests/soak/child_process.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace gentianhill::clients {

/// Most that a process has held at once, of all samples.
struct process_peak {
    /// Resident memory, as the kernel records its maximum, in bytes.
    std::size_t resident_bytes = 0;
    /// Resident memory and the bytes that its sockets have received and the process has not read.
    std::size_t held_bytes = 0;
    std::size_t descriptors = 0;
};

/// A process of gentianhill-edge with low limits, the platform and three instances, and a crowd of clients.
class edge_deployment {
public:
    /// Settings memory_limit_mb and descriptor_limit of the process; the bounds that it must keep.
    static constexpr std::size_t memory_limit_mb = 96;
    static constexpr std::size_t descriptor_limit = 500;

    /// Starts the process and opens a session that stays calm while the crowd plays.
    edge_deployment();
    /// Kills the process.
    ~edge_deployment();
    edge_deployment(const edge_deployment&) = delete;
    edge_deployment& operator=(const edge_deployment&) = delete;

    standins::answer_faults& instance_faults() { return service_.faults; }
    [[nodiscard]] std::uint16_t client_port() const { return client_port_.number(); }
    [[nodiscard]] std::uint16_t admin_port() const { return admin_port_.number(); }
    [[nodiscard]] std::uint16_t peer_port() const { return peer_port_.number(); }

    /// Adds clients of the same behaviour to the crowd; they connect at once.
    void add_clients(std::size_t count, std::uint16_t port, const client_behaviour& behaviour);
    /// Lets the crowd send until all have finished, nothing moves any more, or 10 s have passed.
    void play();
    /// Waits until the only client of the crowd has received a text; false if that does not come.
    [[nodiscard]] bool await_single(const std::string& text) { return await(crowd_.front(), text); }
    /// Closes all connections of the crowd.
    void dismiss_crowd();
    /// Checks that a new session is served while the crowd stays connected.
    void check_new_session_beside_crowd();
    /// Checks that the process lives, has kept its bounds and answers an ordinary read, first of the session
    /// that was calm all the time, then of a new one once the crowd is gone.
    void check_bounds_and_service();

private:
    void start_platform();
    void start_process();
    void sample();
    /// Steps a client until it has received a text; false if an error or nothing comes.
    [[nodiscard]] bool await(crowd_client& client, const std::string& text);
    [[nodiscard]] bool is_alive();
    /// True if a read of the session that was calm is answered; sent again when it is refused.
    [[nodiscard]] bool is_calm_session_served();
    /// True if a read of a new session is answered.
    [[nodiscard]] bool is_new_session_served();

    event_loop loop_;
    standins::exchange_ledger ledger_;
    standins::strict_service service_;
    standins::http_platform store_;
    std::uint16_t store_port_ = 0;
    soak::reserved_port client_port_;
    soak::reserved_port admin_port_;
    soak::reserved_port peer_port_;
    pid_t process_ = 0;
    std::string end_;
    process_peak peak_;
    time_point sampled_at_;
    std::vector<crowd_client> crowd_;
    std::unique_ptr<crowd_client> calm_session_;
};

} // namespace gentianhill::clients
