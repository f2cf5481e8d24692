#pragma once

#include "gentianhill/backend/database_message.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Idempotency key of a request that may run at most once.
struct idempotency_key {
    /// Key chosen by the caller, unique per request.
    std::string key;
    /// Time at which the caller issued the key, in seconds since the Unix epoch.
    std::int64_t issued_at = 0;
    /// Digest of the statements (see statements_digest()); distinguishes a repeated request from a different
    /// one that reuses the key.
    std::string digest;
};

/// Recorded state of a key: its request is done, or cancelled before it ran.
enum class key_state : std::uint8_t { done, cancelled };

/// Record of a key in the database.
struct key_record {
    key_state state = key_state::done;
    std::string digest;
    /// Rows that the statement changed.
    std::int64_t changes = 0;
};

/// Returns the SHA-256 of the statements of one request and their parameters, in hexadecimal.
[[nodiscard]] std::string statements_digest(const std::vector<sql_statement>& statements);

/// Statements that record the key; they fail with duplicate_key when the key exists.
/// The record commits with the rest of the batch, so after a promotion the new primary has both or
/// neither.
[[nodiscard]] std::vector<sql_statement> record_key_statements(const idempotency_key& key);

/// Statement that records the number of rows changed by the statement directly before it in the batch.
[[nodiscard]] sql_statement store_changes_statement(const idempotency_key& key);

/// Batch that runs one statement at most once under its key. `statement_index_in_batch` is its index in the
/// results.
[[nodiscard]] std::vector<sql_statement> keyed_batch(const idempotency_key& key,
                                                     const sql_statement& statement);

/// Index of the caller's statement in the results of keyed_batch().
constexpr std::size_t statement_index_in_batch = 2;

/// Batch that records the key as cancelled, so that its request is refused if it arrives later.
[[nodiscard]] std::vector<sql_statement> cancel_batch(const std::string& key, std::int64_t now_seconds);

/// Read-only batch that looks up a key; its results are read with parse_key_record(). It fails on a
/// database that has no key recorded yet, since the table does not exist there: send it only after a batch
/// was refused with duplicate_key.
[[nodiscard]] std::vector<sql_statement> lookup_batch(const std::string& key);

/// Parses the results of lookup_batch(). Returns nothing, without an error, if the key is absent.
/// Errors: bad_answer.
[[nodiscard]] std::optional<key_record> parse_key_record(const nlohmann::json& results, error& reason);

/// Batch that removes at most `limit` records of keys issued before `issued_before`, in seconds since the
/// Unix epoch.
[[nodiscard]] std::vector<sql_statement> prune_batch(std::int64_t issued_before, std::int64_t limit);

} // namespace gentianhill
