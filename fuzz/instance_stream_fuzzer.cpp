#include "gentianhill/proxy/answer_history.h"
#include "platform/instance_line_link.h"

#include <event2/event.h>

#include <algorithm>
#include <arpa/inet.h>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <memory>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

using namespace gentianhill;
using namespace gentianhill::platform;

namespace {

/// Ends the process, also where assertions are compiled out.
void require(bool holds) {
    if (!holds) {
        std::abort();
    }
}

/// Number of complete lines in a stream that report an outcome.
std::size_t count_outcomes(std::string_view stream) {
    std::size_t count = 0;
    std::size_t end = stream.find("\r\n");
    while (end != std::string_view::npos) {
        const std::string_view line = stream.substr(0, end);
        const std::string_view word = line.substr(0, line.find(' '));
        count += word == "COMPLETE" || word == "ERROR" ? 1 : 0;
        stream.remove_prefix(end + 2);
        end = stream.find("\r\n");
    }
    return count;
}

bool runs_client_statement(command_kind kind) {
    return kind == command_kind::read || kind == command_kind::write || kind == command_kind::execute ||
           kind == command_kind::commit;
}

/// Listens on loopback; each input is received over a connection of its own.
class loopback_listener {
public:
    loopback_listener() : descriptor_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        require(bind(descriptor_, reinterpret_cast<const sockaddr*>(&address), size) == 0);
        require(listen(descriptor_, 1) == 0);
        require(getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port_ = ntohs(address.sin_port);
    }
    ~loopback_listener() { close(descriptor_); }
    loopback_listener(const loopback_listener&) = delete;
    loopback_listener& operator=(const loopback_listener&) = delete;

    [[nodiscard]] endpoint address() const { return {"127.0.0.1", port_}; }
    /// Returns the descriptor of a new connection, or -1.
    [[nodiscard]] int accept_one() const { return accept4(descriptor_, nullptr, nullptr, SOCK_CLOEXEC); }

private:
    int descriptor_;
    std::uint16_t port_ = 0;
};

/// Connection to an instance whose answers are judged as the proxy judges them.
class judged_connection {
public:
    judged_connection(event_loop& loop, output_flusher& flusher, const loopback_listener& listener)
        : loop_(loop),
          link_(std::make_unique<instance_line_link>(flusher, listener.address(), "service", "i-1")) {
        link_->on_open = [this](const statement_result& result) {
            require(!is_ended_ && !is_opened_);
            is_opened_ = true;
            is_ended_ = result.outcome != statement_outcome::done;
        };
        link_->on_answer = [this](instance_answer& answer) { return on_answer(answer); };
        link_->on_disconnect = [this](disconnect_reason /*reason*/) {
            require(!is_ended_);
            is_ended_ = true;
        };
        while (peer_ < 0) {
            pump();
            peer_ = listener.accept_one();
        }
        const int on = 1;
        setsockopt(peer_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        pump();
    }
    ~judged_connection() {
        // A reset leaves no port in use behind.
        const linger immediate_reset{1, 0};
        setsockopt(peer_, SOL_SOCKET, SO_LINGER, &immediate_reset, sizeof immediate_reset);
        close(peer_);
        link_.reset();
    }
    judged_connection(const judged_connection&) = delete;
    judged_connection& operator=(const judged_connection&) = delete;

    /// True if the rest of the stream is of no interest.
    [[nodiscard]] bool is_closed() const { return is_ended_ || is_dropped_; }

    void send_command(command_kind kind) {
        if (!is_opened_ || is_closed()) {
            return;
        }
        instance_command command;
        command.kind = kind;
        command.id = "q";
        command.text = "READ a";
        command.name = "name";
        command.argument = "argument";
        pending_.push_back(kind);
        link_->send(command);
        pump();
    }
    void receive(std::string_view bytes) {
        received_ += bytes;
        require(send(peer_, bytes.data(), bytes.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(bytes.size()));
        pump();
    }

private:
    void pump() { event_base_loop(loop_.native(), EVLOOP_NONBLOCK); }

    bool on_answer(const instance_answer& answer) {
        require(is_opened_ && !is_ended_);
        if (is_dropped_) {
            return false;
        }
        ++answers_;
        require(answers_ <= count_outcomes(received_));
        require(!pending_.empty() || answer.is_unsolicited);
        const std::optional<command_kind> oldest =
            pending_.empty() || answer.is_unsolicited ? std::nullopt : std::optional(pending_.front());
        const answer_verdict verdict = history_.judge(oldest, state_, answer);
        if (verdict != answer_verdict::accepted) {
            is_dropped_ = verdict != answer_verdict::copy;
            return false;
        }
        require(oldest.has_value());
        const statement_result& result = answer.result;
        const bool is_done = result.outcome == statement_outcome::done;
        require(!is_done || !runs_client_statement(*oldest) || !result.signature.empty());
        require(result.signature.empty() || signatures_.insert(result.signature).second);
        history_.add(answer);
        state_ = result.state;
        pending_.pop_front();
        return true;
    }

    event_loop& loop_;
    std::unique_ptr<instance_line_link> link_;
    int peer_ = -1;
    answer_history history_;
    transaction_state state_ = transaction_state::idle;
    std::deque<command_kind> pending_;
    std::set<std::string> signatures_;
    std::string received_;
    std::size_t answers_ = 0;
    bool is_opened_ = false;
    /// The link has reported the end of the connection.
    bool is_ended_ = false;
    /// The proxy closes the connection because of an answer.
    bool is_dropped_ = false;
};

/// Runs one step of a plan: a letter sends a command, any other byte receives a part of the stream. Returns
/// the number of bytes received.
std::size_t run_step(judged_connection& connection, char step, std::string_view stream) {
    constexpr std::string_view letters = "rwxcbnlvpzsfud";
    const std::size_t index = letters.find(step);
    if (index != std::string_view::npos) {
        connection.send_command(static_cast<command_kind>(index));
        return 0;
    }
    const std::size_t length =
        step >= '0' && step <= '9' ? static_cast<std::size_t>(step - '0') : static_cast<unsigned char>(step);
    const std::string_view part = stream.substr(0, length);
    connection.receive(part);
    return part.size();
}

} // namespace

// Streams of instances: no input crashes, no answer comes without an outcome or after the end, a client's
// statement succeeds only with a signature, and a signature is accepted only once. The first line of the
// input is the plan, which is repeated until the stream is received: one letter per command in the order of
// command_kind, and the sizes of the parts.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static event_loop loop;
    static output_flusher flusher(loop);
    static loopback_listener listener;
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    const std::size_t plan_end = input.find('\n');
    if (plan_end == std::string_view::npos || plan_end == 0) {
        return 0;
    }
    constexpr std::size_t max_plan_bytes = 64;
    const std::string_view plan = input.substr(0, std::min(plan_end, max_plan_bytes));
    std::string_view stream = input.substr(plan_end + 1);
    judged_connection connection(loop, flusher, listener);
    bool has_progress = true;
    while (has_progress && !stream.empty() && !connection.is_closed()) {
        has_progress = false;
        for (const char step : plan) {
            const std::size_t received = run_step(connection, step, stream);
            stream.remove_prefix(received);
            has_progress = has_progress || received > 0;
        }
    }
    return 0;
}
