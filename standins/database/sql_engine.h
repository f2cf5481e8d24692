#pragma once

#include "gentianhill/core/error.h"
#include "standins/database/sql_statement.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace gentianhill::standins {

/// What one statement returned.
struct statement_result {
    /// Names of the columns; empty for statements without rows.
    std::vector<std::string> columns;
    /// Array of rows, each an array of values; blobs as {"hex": "..."}.
    nlohmann::json rows = nlohmann::json::array();
    /// Rows inserted, updated or deleted.
    std::int64_t changes = 0;
    /// True when the statement could not have changed the database.
    bool read_only = false;
};

/// Whether a batch may change the database.
enum class batch_mode : std::uint8_t { read_only, read_write };

/// One SQLite database in memory. Statements that control transactions, pragmas, attached and temporary
/// objects are refused, as are changes whose result depends on the moment or on chance: each instance applies
/// the same statements and must end with the same rows.
class sql_engine {
public:
    sql_engine();
    ~sql_engine();
    sql_engine(const sql_engine&) = delete;
    sql_engine& operator=(const sql_engine&) = delete;

    /// Replaces the database with an empty one.
    void reset();
    /// Runs all statements or none, within the open transaction if there is one.
    /// Errors: duplicate_key, statement_failed, bad_value (count of parameters), too_large (result).
    [[nodiscard]] std::optional<std::vector<statement_result>>
    run_batch(const std::vector<sql_statement>& statements, batch_mode mode, error& reason);

    /// Opens a transaction; none may be open.
    void begin();
    /// Commits the open transaction.
    void commit();
    /// Rolls back the open transaction.
    void roll_back();
    /// True while a transaction is open; an ON CONFLICT ROLLBACK clause ends it as well.
    [[nodiscard]] bool in_transaction() const;

private:
    /// A compiled statement and what the authorizer learned about it.
    struct compiled {
        sqlite3_stmt* handle = nullptr;
        bool uses_chance = false;
        bool uses_connection_state = false;
    };

    static int authorize(void* self, int action, const char* first, const char* second, const char* database,
                         const char* trigger);
    void open();
    void close();
    void control(const char* sql);
    [[nodiscard]] const compiled* compile(const std::string& sql, error& reason);
    [[nodiscard]] bool is_allowed(const compiled& statement, batch_mode mode, bool changed_before,
                                  error& reason) const;
    [[nodiscard]] std::optional<statement_result> run(const sql_statement& statement, batch_mode mode,
                                                      bool changed_before, error& reason);
    [[nodiscard]] bool step_all(sqlite3_stmt* handle, statement_result& result, error& reason);
    [[nodiscard]] error last_error(const std::string& sql) const;

    sqlite3* database_ = nullptr;
    std::map<std::string, compiled> cache_;
    compiled* compiling_ = nullptr;
};

} // namespace gentianhill::standins
