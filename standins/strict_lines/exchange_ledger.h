#pragma once

#include "gentianhill/core/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace gentianhill::standins {

/// Promise between clients, proxy and instances that an exchange can break.
enum class exchange_rule : std::uint8_t {
    /// An instance runs what no client sent, or with changed text.
    changed_statement,
    /// A client gets an answer that is not its own, or not whole.
    foreign_answer,
    /// A statement runs outside its transaction, inside another one, or with other session values.
    wrong_connection,
    /// A read does not see a commit that it must see.
    stale_read,
    /// A write takes effect twice.
    repeated_write,
    /// A write takes effect although its client was told that it did not.
    false_refusal,
    /// A statement that keeps the grammar is refused as malformed.
    refused_statement,
};

/// Returns the name of a rule for reports.
[[nodiscard]] std::string_view to_string(exchange_rule rule);

/// Session values, and prepared statements as mode and shape by name.
using session_values = std::map<std::string, std::string>;
using prepared_shapes = std::map<std::string, std::string>;

/// A statement as its client sent it.
struct sent_statement {
    std::string text;
    /// Id of the BEGIN of its transaction; empty outside of one.
    std::string begin_id;
    session_values values;
    /// Mode and shape that an EXECUTE refers to.
    std::string shape;
    /// Commits that the statement must see if it reads.
    std::size_t required_log = 0;
};

/// A statement as an instance ran it.
struct statement_run {
    std::string id;
    /// Text without the position that the proxy may put in front.
    std::string text;
    /// Id of the BEGIN of the transaction that is open on the connection; empty when none is.
    std::string begin_id;
    session_values values;
    /// Mode and shape of the prepared statement that an EXECUTE named.
    std::string shape;
    /// Number of commits that the instance had applied.
    std::size_t log_length = 0;
    std::string signature;
    std::vector<std::string> rows;
};

/// An answer as a client received it.
struct received_answer {
    std::vector<std::string> rows;
    /// Rest of COMPLETE; nothing when the answer is an error.
    std::optional<std::string> signature;
    /// Code of ERROR; empty when there was none.
    std::string code;
};

/// Compares what clients sent, instances ran and clients were answered, id by id.
class exchange_ledger {
public:
    /// Records a statement of a client before it is sent.
    void on_sent(const std::string& id, sent_statement sent);
    /// Records that an instance has run a statement.
    void on_run(const statement_run& run);
    /// Records that an instance has committed the writes of a transaction, or a single one. `commit_id` is
    /// the id of the COMMIT or the single write.
    void on_committed(const std::string& commit_id, const std::vector<std::string>& write_ids,
                      std::size_t log_length);
    /// Records the answer to a statement, received at `moment`.
    void on_answered(const std::string& id, const received_answer& answer, time_point moment);
    /// Records a message that a client received without a statement under way.
    void on_unsolicited(const std::string& line);
    /// Length of the log that holds all commits of which clients had been told by `moment`.
    [[nodiscard]] std::size_t acknowledged_log(time_point moment) const;
    /// Length of the log with the commit of a statement; 0 if it has not committed.
    [[nodiscard]] std::size_t log_of(const std::string& commit_id) const;
    /// Compares the refusals with all commits, also those that came after them.
    void finish();

    [[nodiscard]] std::size_t count(exchange_rule rule) const;
    /// Number of cases of all rules.
    [[nodiscard]] std::size_t total() const;
    /// The first cases of each rule, with what was expected.
    [[nodiscard]] const std::vector<std::string>& examples() const { return examples_; }
    [[nodiscard]] std::size_t answered() const { return answered_; }
    [[nodiscard]] std::size_t succeeded() const { return succeeded_; }
    /// Number of answers of each error code.
    [[nodiscard]] const std::map<std::string, std::size_t>& codes() const { return codes_; }

private:
    struct past_run {
        std::string signature;
        std::vector<std::string> rows;
        bool stale = false;
    };

    void add(exchange_rule rule, const std::string& what);
    void compare_run(const sent_statement& sent, const statement_run& run);

    std::map<std::string, sent_statement> sent_;
    std::map<std::string, std::vector<past_run>> runs_;
    std::map<std::string, std::size_t> committed_writes_;
    /// Length of the log after a commit, by the id of its COMMIT or single write.
    std::map<std::string, std::size_t> commits_;
    std::map<std::string, std::string> refused_;
    std::map<exchange_rule, std::size_t> counts_;
    std::map<std::string, std::size_t> codes_;
    std::vector<std::string> examples_;
    /// Length of the log with all acknowledged commits, by the time at which it grew.
    std::vector<std::pair<time_point, std::size_t>> acknowledged_;
    std::size_t answered_ = 0;
    std::size_t succeeded_ = 0;
};

} // namespace gentianhill::standins
