#pragma once

#include "gentianhill/backend/database_message.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Identifies a request that may run at most once.
struct idempotency_key {
    /// Chosen by the caller, unique per request.
    std::string key;
    /// When the caller issued it, in seconds since the Unix epoch.
    std::int64_t issued_at = 0;
    /// SHA-256 of the statements, in hexadecimal; tells a repeat from another request under the same key.
    std::string digest;
};

/// State of a key in the database.
enum class key_state : std::uint8_t { done, cancelled };

/// Record of a key as the database holds it.
struct key_record {
    key_state state = key_state::done;
    std::string digest;
    /// Rows that the statement changed.
    std::int64_t changes = 0;
};

/// Digest of the statements of one request.
[[nodiscard]] std::string statements_digest(const std::vector<sql_statement>& statements);

/// Statements that record the key; they fail with duplicate_key when the key exists.
/// The record commits with the rest of the batch, so it follows the data through a promotion.
[[nodiscard]] std::vector<sql_statement> record_key_statements(const idempotency_key& key);

/// Stores the row count of the statement that ran directly before.
[[nodiscard]] sql_statement store_changes_statement(const idempotency_key& key);

/// Batch that runs one statement at most once under its key. `statement_index_in_batch` is its place in the
/// results.
[[nodiscard]] std::vector<sql_statement> keyed_batch(const idempotency_key& key,
                                                     const sql_statement& statement);

/// Place of the caller's statement in the results of keyed_batch().
constexpr std::size_t statement_index_in_batch = 2;

/// Batch that records the key as cancelled, so that a late arrival of its request is refused.
[[nodiscard]] std::vector<sql_statement> cancel_batch(const std::string& key, std::int64_t now_seconds);

/// Read-only batch that looks a key up; parse the answer with parse_key_record(). It fails where no keyed
/// request has run yet, so send it only after a batch was refused with duplicate_key.
[[nodiscard]] std::vector<sql_statement> lookup_batch(const std::string& key);

/// Result of lookup_batch(): nothing when the key is absent. Errors: bad_answer.
[[nodiscard]] std::optional<key_record> parse_key_record(const nlohmann::json& results, error& reason);

/// Batch that removes at most `limit` records issued before the given second.
[[nodiscard]] std::vector<sql_statement> prune_batch(std::int64_t issued_before, std::int64_t limit);

} // namespace gentianhill
