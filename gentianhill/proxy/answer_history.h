#pragma once

#include "gentianhill/proxy/instance_link.h"
#include "gentianhill/session/statement.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

namespace gentianhill {

/// Relation of an answer to the oldest unanswered command of its connection.
enum class answer_verdict : std::uint8_t {
    /// Answers the command.
    accepted,
    /// Copy of an earlier answer; the answer to the command is still to come.
    copy,
    /// Answers the command or is a copy of an earlier answer.
    ambiguous,
    /// Neither answers the command nor equals an earlier answer.
    out_of_step,
};

/// Returns the name of a verdict for logs.
[[nodiscard]] std::string_view to_string(answer_verdict verdict);

/// What is known about an unanswered command when its answer arrives.
struct expected_answer {
    command_kind kind = command_kind::status;
    /// Term of a fence.
    term_number term = 0;
    /// Transaction state before the command.
    transaction_state state = transaction_state::idle;
};

/// Answers received on one connection to an instance.
///
/// Answers carry no identifier and are matched to commands by their order. An instance that sends an answer a
/// second time shifts all answers that follow, so each answer is checked against what its command can be
/// answered with and against the earlier answers of the connection.
class answer_history {
public:
    /// Judges an answer. `oldest` describes the oldest unanswered command; it has no value if there was none
    /// when the answer began.
    [[nodiscard]] answer_verdict judge(const std::optional<expected_answer>& oldest,
                                       const instance_answer& answer) const;
    /// Records an accepted answer.
    void add(const instance_answer& answer);

    /// True if an error received now could equal an earlier one: the log of the instance, last known to end
    /// at `position`, has not grown since.
    [[nodiscard]] bool may_repeat_error(const std::optional<log_position>& position) const;
    /// True if a transaction was begun.
    [[nodiscard]] bool has_begun() const;
    /// True if a status row was received.
    [[nodiscard]] bool has_status() const;
    /// True if the connection should be replaced, because its history has reached its maximum size.
    [[nodiscard]] bool is_full() const { return signatures_.size() >= max_signatures; }

    /// Limits the memory of a history to about 250 KB.
    static constexpr std::size_t max_signatures = 4096;

private:
    /// Form of a successful answer without a signature.
    struct unsigned_form {
        bool has_row = false;
        transaction_state state = transaction_state::idle;
    };
    static constexpr std::size_t form_count = 6;

    [[nodiscard]] static std::size_t index_of(unsigned_form form);
    /// True if an answer without a signature may be a copy of an earlier one.
    [[nodiscard]] bool was_seen(const instance_answer& answer) const;
    [[nodiscard]] static unsigned_form form_of(const instance_answer& answer);
    [[nodiscard]] static bool fits(const expected_answer& expected, const instance_answer& answer);
    [[nodiscard]] answer_verdict judge_error(const expected_answer& expected,
                                             const instance_answer& answer) const;

    /// Hashes of the answers with a signature, by those of their signatures.
    std::unordered_map<std::size_t, std::size_t> signatures_;
    /// Hashes of the answers that report an error.
    std::unordered_set<std::size_t> errors_;
    std::array<bool, form_count> unsigned_forms_{};
    /// Hash of the last answer as a whole.
    std::optional<std::size_t> last_;
    /// The last answer cannot be a copy, so all commands up to its own have been answered.
    bool is_in_step_ = true;
    /// Log position of the last error.
    std::optional<log_position> last_error_position_;
    /// Highest log position of all answers.
    std::optional<log_position> newest_position_;
};

} // namespace gentianhill
