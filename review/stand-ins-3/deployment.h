#pragma once

#include "database_service.h"
#include "event_poll.h"
#include "http_server.h"
#include "object_store.h"
#include "recorder.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review {

/// A process of the deploy file's role, with a settings file as `deploy/settings.template` makes it.
class edge_process {
public:
    /// Where the other parts of the deployment are.
    struct surroundings {
        std::uint16_t store_port = 0;
        std::uint16_t promotion_port = 0;
        std::string folder;
    };
    edge_process(std::string name, std::string zone, surroundings around);
    /// Kills the process.
    ~edge_process();
    edge_process(const edge_process&) = delete;
    edge_process& operator=(const edge_process&) = delete;

    void start();
    void kill_now();
    /// SIGSTOP or SIGCONT.
    void signal(int number) const;
    [[nodiscard]] bool is_running();
    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] const std::string& zone() const { return zone_; }
    [[nodiscard]] std::uint16_t client_port() const { return client_port_; }
    [[nodiscard]] std::uint16_t admin_port() const { return admin_port_; }
    [[nodiscard]] pid_t process() const { return process_; }

private:
    std::string name_;
    std::string zone_;
    surroundings around_;
    std::uint16_t client_port_ = free_port();
    std::uint16_t admin_port_ = free_port();
    std::uint16_t peer_port_ = free_port();
    pid_t process_ = 0;
};

/// A client's session: one request at a time.
class client {
public:
    /// The loop and the recorder must outlive the client.
    client(event_poll& loop, recorder& record, std::string name, std::uint16_t port,
           const std::string& database);
    /// Sends a request and returns the lines of its answer without READY; empty when none came in time, or
    /// the connection ended.
    std::string ask(const std::string& text, milliseconds limit);
    /// Sends a request; its answer is read by `answer()`.
    void send(const std::string& text);
    /// The answer to the last request, once it is there.
    [[nodiscard]] std::string answer() const;
    [[nodiscard]] bool has_answer() const;
    [[nodiscard]] bool is_open() const { return socket_->is_open(); }
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    void leave();

private:
    event_poll& loop_;
    recorder& record_;
    std::string name_;
    std::shared_ptr<channel> socket_;
    std::uint64_t sent_ = 0;
    std::string last_id_;
    std::string received_;
    bool complete_ = false;
};

/// Fetches a path of a local HTTP server; returns the whole response, empty on failure.
std::string fetch(event_poll& loop, std::uint16_t port, const std::string& path);

/// Value of a metric without labels in the text of /metrics; 0 if it is not there.
double metric(const std::string& text, const std::string& name);

/// True unless the environment variable TROUBLE is 0.
bool has_trouble();

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_not_run = 2;

} // namespace review
