#include "platform/client_listener.h"

#include <event2/event.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

using namespace gentianhill;
using namespace gentianhill::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t client_count = 4;
/// The smallest that holds a message of full size; an input can exceed it.
constexpr std::size_t budget_bytes = 16U << 20U;
/// Bytes that an input sends at most, so that each takes milliseconds.
constexpr std::size_t max_sent_bytes = 4U << 20U;
/// Most that a client adds between two looks at the budget: one read, as a message in part and its growth.
constexpr std::size_t step_bytes = 256U << 10U;

/// Ends the process, also where assertions are compiled out.
void require(bool holds) {
    if (!holds) {
        std::abort();
    }
}

/// A daemon with a route and no instance, so that each statement that needs one is refused.
class daemon_without_instances {
public:
    daemon_without_instances() : log_(log_settings{log_level::error}) {
        proxy_settings settings;
        settings.name = "edge-1";
        settings.zone = "a";
        settings.incarnation = "1";
        daemon_ = std::make_unique<proxy>(settings, make_ports(), log_, registry_);
        daemon_->start();
        for (int round = 0; round < 1000 && !daemon_->has_configuration(); ++round) {
            pump();
        }
        require(daemon_->has_configuration());
    }

    void pump() { event_base_loop(loop_.native(), EVLOOP_NONBLOCK); }
    [[nodiscard]] proxy& daemon() { return *daemon_; }
    [[nodiscard]] output_flusher& flusher() { return flusher_; }
    [[nodiscard]] logger& log() { return log_; }
    [[nodiscard]] const std::function<time_point()>& clock() const { return clock_; }
    void advance(duration time) { now_ += time; }
    [[nodiscard]] time_point now() const { return now_; }

private:
    proxy_ports make_ports() {
        proxy_ports ports;
        ports.network.open = [](const endpoint&, const std::string&, const std::string&) {
            return std::unique_ptr<instance_link>();
        };
        const auto answer_list = [this](store_collection collection, const std::string&,
                                        const metadata_store::handler& done) {
            store_answer answer;
            answer.outcome = store_outcome::done;
            answer.revision = 1;
            answer.era = 1;
            if (collection == store_collection::configuration) {
                answer.items.push_back({"main", 1, nlohmann::json::object(), 1});
            }
            loop_.run_after(duration(0), [done, answer] { done(answer); });
        };
        ports.store.list = answer_list;
        ports.store.list_old = answer_list;
        ports.store.watch = [](store_collection, std::uint64_t, duration, const metadata_store::handler&) {};
        ports.store.get = [](store_collection, const std::string&, const metadata_store::handler&) {};
        ports.store.put = [](store_collection, const stored_object&, const metadata_store::handler&) {};
        ports.store.remove = [](store_collection, const std::string&, std::uint64_t,
                                const metadata_store::handler&) {};
        ports.promote = [](const std::string&, const std::string&, const std::string&, std::uint64_t,
                           const std::function<void(promotion_call_result)>&) {};
        ports.call_after = [this](duration delay, std::function<void()> action) {
            loop_.run_after(delay, std::move(action));
        };
        ports.read_configuration = [](const stored_object&) {
            proxy_configuration result;
            result.version = 1;
            std::shared_ptr<route> only = std::make_shared<route>();
            only->group = "orders";
            only->timeout = 1s;
            result.routes.emplace("latest", only);
            result.groups.emplace("orders", group_limits{});
            return std::optional(result);
        };
        ports.read_instance = [](const stored_object&) { return std::optional<listed_instance>(); };
        ports.now = [this] { return now_; };
        ports.random = [] { return 0.5; };
        return ports;
    }

    event_loop loop_;
    output_flusher flusher_{loop_};
    logger log_;
    metrics registry_;
    time_point now_ = time_point(1h);
    std::function<time_point()> clock_ = [this] { return now_; };
    std::unique_ptr<proxy> daemon_;
};

/// A client and its connection in the daemon.
class fuzzed_client {
public:
    fuzzed_client(daemon_without_instances& world, client_limits& limits) {
        std::array<int, 2> ends{};
        require(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends.data()) == 0);
        peer_ = ends[0];
        connection_ = std::make_unique<client_line_connection>(world.flusher(), ends[1], world.daemon(),
                                                               world.log(), limits, world.clock());
        connection_->on_close = [this] { is_closed_ = true; };
    }
    ~fuzzed_client() {
        connection_.reset();
        close(peer_);
    }
    fuzzed_client(const fuzzed_client&) = delete;
    fuzzed_client& operator=(const fuzzed_client&) = delete;

    void send_bytes(std::string_view bytes) const {
        static_cast<void>(send(peer_, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT));
    }
    void read_answers() const {
        std::array<char, 65536> buffer{};
        static_cast<void>(recv(peer_, buffer.data(), buffer.size(), MSG_DONTWAIT));
    }
    void shut_down() const { shutdown(peer_, SHUT_WR); }
    void tick(time_point now) const {
        if (!is_closed_) {
            connection_->tick(now);
        }
    }
    [[nodiscard]] bool is_closed() const { return is_closed_; }

private:
    int peer_ = -1;
    std::unique_ptr<client_line_connection> connection_;
    bool is_closed_ = false;
};

/// Clients whose bytes come from the input.
class client_crowd {
public:
    explicit client_crowd(daemon_without_instances& world) : world_(world), limits_(settings(), registry_) {
        clients_.resize(client_count);
        tick();
    }

    void run(std::string_view input) {
        while (input.size() >= 2 && sent_ < max_sent_bytes) {
            const unsigned code = static_cast<unsigned char>(input[0]);
            const std::size_t amount = static_cast<unsigned char>(input[1]);
            input.remove_prefix(2);
            const std::string_view raw = input.substr(0, amount);
            if (run_step(*clients_[code % client_count], code / client_count % step_count, amount, raw)) {
                input.remove_prefix(raw.size());
            }
            world_.pump();
            require(limits_.budget().used() <= budget_bytes + client_count * step_bytes);
            if (code >= tick_code) {
                tick();
            }
        }
        tick();
        clients_.clear();
        require(limits_.budget().used() == 0);
    }

private:
    static constexpr unsigned step_count = 10;
    /// From this code on, the daemon looks at its connections after the step.
    static constexpr unsigned tick_code = 128;

    static client_limit_settings settings() {
        client_limit_settings result;
        result.memory.total_bytes = budget_bytes;
        result.max_connections = client_count;
        return result;
    }

    /// Runs one step; true if it has sent `raw`, the next bytes of the input.
    bool run_step(fuzzed_client& client, unsigned step, std::size_t amount, std::string_view raw) {
        switch (step) {
        case 0:
            send(client, raw);
            return true;
        case 1:
            send(client, std::string(amount << 10U, 'x'));
            break;
        case 2:
            send(client, "\r\n");
            break;
        case 3:
            send(client, "STARTUP latest c\r\n");
            break;
        case 4:
            send(client, fmt::format("QUERY s SET v{} {}\r\n", amount, std::string(amount << 8U, 'v')));
            break;
        case 5:
            send(client, fmt::format("QUERY p PREPARE n{} READ {}\r\n", amount, std::string(amount, 'q')));
            break;
        case 6:
            for (std::size_t i = 0; i < amount; ++i) {
                send(client, "QUERY r READ a\r\n");
            }
            break;
        case 7:
            client.read_answers();
            break;
        case 8:
            world_.advance(std::chrono::milliseconds(amount * 10));
            break;
        default:
            client.shut_down();
            break;
        }
        return false;
    }

    void send(const fuzzed_client& client, std::string_view bytes) {
        sent_ += bytes.size();
        client.send_bytes(bytes);
    }

    /// What the listener does at each tick.
    void tick() {
        for (std::unique_ptr<fuzzed_client>& client : clients_) {
            if (client == nullptr || client->is_closed()) {
                client = std::make_unique<fuzzed_client>(world_, limits_);
            }
            client->tick(world_.now());
        }
        limits_.tick(world_.now(), clients_.size());
        require(limits_.budget().used() <= budget_bytes);
    }

    daemon_without_instances& world_;
    metrics registry_;
    client_limits limits_;
    std::vector<std::unique_ptr<fuzzed_client>> clients_;
    std::size_t sent_ = 0;
};

} // namespace

// Bytes of several clients in any order: none crashes the daemon, what all make it hold stays within the
// budget and one read of each, and nothing stays counted after they have gone. The input is a row of steps: a
// byte for the client and the step, and one for its amount.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static daemon_without_instances world;
    client_crowd crowd(world);
    crowd.run({reinterpret_cast<const char*>(data), size});
    return 0;
}
