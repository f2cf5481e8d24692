#include "gentianhill/backend/idempotency.h"

#include <fmt/format.h>
#include <openssl/evp.h>

#include <array>
#include <utility>

namespace gentianhill {

namespace {

constexpr const char* create_table_sql =
    "CREATE TABLE IF NOT EXISTS gentianhill_requests (key TEXT PRIMARY KEY, "
    "digest TEXT NOT NULL, issued_at INTEGER NOT NULL, state TEXT NOT NULL, "
    "changes INTEGER NOT NULL DEFAULT 0)";
constexpr const char* insert_key_sql =
    "INSERT INTO gentianhill_requests (key, digest, issued_at, state) VALUES (?, ?, ?, ?)";
constexpr const char* state_done = "done";
constexpr const char* state_cancelled = "cancelled";

sql_statement create_table_statement() {
    return sql_statement{create_table_sql, nlohmann::json::array()};
}

sql_statement insert_statement(const std::string& key, const std::string& digest, std::int64_t issued_at,
                               const char* state) {
    return sql_statement{insert_key_sql, nlohmann::json::array({key, digest, issued_at, state})};
}

} // namespace

std::string statements_digest(const std::vector<sql_statement>& statements) {
    nlohmann::json list = nlohmann::json::array();
    for (const sql_statement& statement : statements) {
        list.push_back({statement.sql, statement.params});
    }
    const std::string text = list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr);
    std::string hex;
    for (unsigned int i = 0; i < length; ++i) {
        hex += fmt::format("{:02x}", digest[i]);
    }
    return hex;
}

std::vector<sql_statement> record_key_statements(const idempotency_key& key) {
    return {create_table_statement(), insert_statement(key.key, key.digest, key.issued_at, state_done)};
}

sql_statement store_changes_statement(const idempotency_key& key) {
    return sql_statement{"UPDATE gentianhill_requests SET changes = changes() WHERE key = ?",
                         nlohmann::json::array({key.key})};
}

std::vector<sql_statement> keyed_batch(const idempotency_key& key, const sql_statement& statement) {
    std::vector<sql_statement> batch = record_key_statements(key);
    batch.push_back(statement);
    batch.push_back(store_changes_statement(key));
    return batch;
}

std::vector<sql_statement> cancel_batch(const std::string& key, std::int64_t now_seconds) {
    return {create_table_statement(), insert_statement(key, {}, now_seconds, state_cancelled)};
}

std::vector<sql_statement> lookup_batch(const std::string& key) {
    return {sql_statement{"SELECT state, digest, changes FROM gentianhill_requests WHERE key = ?",
                          nlohmann::json::array({key})}};
}

std::optional<key_record> parse_key_record(const nlohmann::json& results, error& reason) {
    const error malformed{error_code::bad_answer, "results", results.dump().substr(0, 80),
                          "one result with at most one row of state, digest, changes"};
    if (!results.is_array() || results.empty() || !results.back().is_object() ||
        !results.back().contains("rows") || !results.back()["rows"].is_array()) {
        reason = malformed;
        return std::nullopt;
    }
    const nlohmann::json& rows = results.back()["rows"];
    if (rows.empty()) {
        return std::nullopt;
    }
    const nlohmann::json& row = rows[0];
    constexpr std::size_t columns = 3;
    if (!row.is_array() || row.size() != columns || !row[0].is_string() || !row[1].is_string() ||
        !row[2].is_number_integer()) {
        reason = malformed;
        return std::nullopt;
    }
    key_record record;
    record.state =
        row[0].get_ref<const std::string&>() == state_cancelled ? key_state::cancelled : key_state::done;
    record.digest = row[1].get<std::string>();
    record.changes = row[2].get<std::int64_t>();
    return record;
}

std::vector<sql_statement> prune_batch(std::int64_t issued_before, std::int64_t limit) {
    return {create_table_statement(),
            sql_statement{"DELETE FROM gentianhill_requests WHERE key IN (SELECT key FROM "
                          "gentianhill_requests WHERE issued_at < ? LIMIT ?)",
                          nlohmann::json::array({issued_before, limit})}};
}

} // namespace gentianhill
