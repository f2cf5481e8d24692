#pragma once

#include "gentianhill/core/event_loop.h"
#include "standins/strict_lines/answer_faults.h"
#include "standins/strict_lines/exchange_ledger.h"
#include "standins/strict_lines/line_channel.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <vector>

struct evconnlistener;

namespace gentianhill::standins {

/// The instances of one service, written from the published protocol alone: they read and write lines by
/// themselves, answer late, twice or in part, and record what they run.
class strict_service {
public:
    /// The loop and the ledger must outlive the service.
    strict_service(event_loop& loop, exchange_ledger& ledger, std::string name, std::uint64_t seed);
    ~strict_service();
    strict_service(const strict_service&) = delete;
    strict_service& operator=(const strict_service&) = delete;

    /// Adds an instance that listens on a free port of the loopback address; the first one leads. Returns the
    /// port, 0 when that fails.
    [[nodiscard]] std::uint16_t add(const std::string& id);
    /// Makes an instance the leader of the next term; false if there is none with that id.
    bool promote(const std::string& id);
    [[nodiscard]] const std::string& leader() const { return leader_; }
    [[nodiscard]] std::uint64_t term() const { return term_; }
    /// Answers that were sent a second time.
    [[nodiscard]] std::size_t repeated_answers() const { return repeated_answers_; }
    [[nodiscard]] std::size_t accepted_connections() const { return accepted_connections_; }

    answer_faults faults;

private:
    struct instance;
    struct connection;
    /// Lines of an answer before READY, and whether it carries a signature.
    struct answer {
        std::string lines;
        bool is_signed = false;
    };

    void accept(instance& at, int descriptor);
    /// Closes a connection once what was sent has left.
    void close(connection& closed);
    void forget(std::uint64_t number);
    void on_line(const std::shared_ptr<connection>& from, std::string line);
    void run_next(const std::shared_ptr<connection>& from);
    /// Runs a command; the answer follows once its work is done.
    void run(const std::shared_ptr<connection>& from, const std::string& line);
    void run_query(const std::shared_ptr<connection>& from, const std::string& id, std::string text);
    [[nodiscard]] answer run_access(connection& from, const std::string& id, const std::string& text);
    [[nodiscard]] answer run_own(connection& from, const std::string& id, const std::string& text);
    [[nodiscard]] answer begin(connection& from, const std::string& id, bool reads_only);
    void commit(const std::shared_ptr<connection>& from, const std::string& id,
                const std::vector<std::string>& writes, const answer& done);
    void send_answer(const std::shared_ptr<connection>& to, const answer& sent);
    void replicate(std::size_t length);
    [[nodiscard]] bool draw(double share);
    [[nodiscard]] std::string make_signature(const instance& at);
    [[nodiscard]] std::string make_row();
    [[nodiscard]] std::string status_row(const instance& at) const;
    [[nodiscard]] duration up_to(duration longest);

    event_loop& loop_;
    exchange_ledger& ledger_;
    std::string name_;
    std::mt19937_64 random_;
    std::map<std::string, std::unique_ptr<instance>> instances_;
    std::map<std::uint64_t, std::shared_ptr<connection>> connections_;
    std::string leader_;
    std::uint64_t term_ = 1;
    std::size_t log_length_ = 0;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_signature_ = 0;
    std::uint64_t last_row_ = 0;
    std::size_t repeated_answers_ = 0;
    std::size_t accepted_connections_ = 0;
};

} // namespace gentianhill::standins
