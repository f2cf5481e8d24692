#include "standins/database/sql_engine.h"

#include <fmt/format.h>
#include <sqlite3.h>

#include <array>
#include <cassert>
#include <string_view>

namespace gentianhill::standins {

namespace {

constexpr std::size_t cached_statements = 512;
constexpr std::size_t max_rows = 10'000;
// Ends statements that would occupy the event loop for long; about 100 ms of virtual machine steps.
constexpr int max_machine_steps = 10'000'000;
constexpr int max_value_bytes = 1 << 20;
constexpr std::size_t shown_sql_bytes = 80;

constexpr std::array<std::string_view, 12> chance_functions{
    "random",   "randomblob", "date",     "time",         "datetime",     "julianday",
    "strftime", "unixepoch",  "timediff", "current_date", "current_time", "current_timestamp"};
constexpr std::array<std::string_view, 3> connection_functions{"changes", "total_changes",
                                                               "last_insert_rowid"};

template <std::size_t size>
bool contains(const std::array<std::string_view, size>& names, std::string_view name) {
    for (const std::string_view entry : names) {
        if (entry == name) {
            return true;
        }
    }
    return false;
}

std::string hex_of(const unsigned char* bytes, std::size_t size) {
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += fmt::format("{:02x}", bytes[i]);
    }
    return text;
}

nlohmann::json column_value(sqlite3_stmt* handle, int column) {
    const std::size_t size = static_cast<std::size_t>(sqlite3_column_bytes(handle, column));
    switch (sqlite3_column_type(handle, column)) {
    case SQLITE_INTEGER:
        return sqlite3_column_int64(handle, column);
    case SQLITE_FLOAT:
        return sqlite3_column_double(handle, column);
    case SQLITE_TEXT:
        return std::string{reinterpret_cast<const char*>(sqlite3_column_text(handle, column)), size};
    case SQLITE_BLOB: {
        const void* bytes = sqlite3_column_blob(handle, column);
        return nlohmann::json{{"hex", hex_of(static_cast<const unsigned char*>(bytes), size)}};
    }
    default:
        return nullptr;
    }
}

void bind(sqlite3_stmt* handle, int index, const nlohmann::json& value) {
    if (value.is_boolean()) {
        sqlite3_bind_int(handle, index, value.get<bool>() ? 1 : 0);
    } else if (value.is_number_integer()) {
        sqlite3_bind_int64(handle, index, value.get<std::int64_t>());
    } else if (value.is_number()) {
        sqlite3_bind_double(handle, index, value.get<double>());
    } else if (value.is_string()) {
        const std::string& text = value.get_ref<const std::string&>();
        sqlite3_bind_text64(handle, index, text.data(), text.size(), SQLITE_TRANSIENT, SQLITE_UTF8);
    } else {
        sqlite3_bind_null(handle, index);
    }
}

int interrupt(void* /*unused*/) {
    return 1;
}

} // namespace

sql_engine::sql_engine() {
    open();
}

sql_engine::~sql_engine() {
    close();
}

void sql_engine::open() {
    [[maybe_unused]] const int opened = sqlite3_open(":memory:", &database_);
    assert(opened == SQLITE_OK);
    sqlite3_extended_result_codes(database_, 1);
    sqlite3_limit(database_, SQLITE_LIMIT_LENGTH, max_value_bytes);
    sqlite3_set_authorizer(database_, &authorize, this);
}

void sql_engine::close() {
    for (const std::pair<const std::string, compiled>& entry : cache_) {
        sqlite3_finalize(entry.second.handle);
    }
    cache_.clear();
    sqlite3_close(database_);
    database_ = nullptr;
}

void sql_engine::reset() {
    close();
    open();
}

int sql_engine::authorize(void* self, int action, const char* /*first*/, const char* second,
                          const char* /*database*/, const char* /*trigger*/) {
    compiled* compiling = static_cast<sql_engine*>(self)->compiling_;
    // Statements of the engine itself are compiled without a record.
    if (compiling == nullptr) {
        return SQLITE_OK;
    }
    switch (action) {
    case SQLITE_TRANSACTION:
    case SQLITE_SAVEPOINT:
    case SQLITE_ATTACH:
    case SQLITE_DETACH:
    case SQLITE_PRAGMA:
    case SQLITE_CREATE_TEMP_INDEX:
    case SQLITE_CREATE_TEMP_TABLE:
    case SQLITE_CREATE_TEMP_TRIGGER:
    case SQLITE_CREATE_TEMP_VIEW:
        return SQLITE_DENY;
    case SQLITE_FUNCTION:
        compiling->uses_chance = compiling->uses_chance || contains(chance_functions, second);
        compiling->uses_connection_state =
            compiling->uses_connection_state || contains(connection_functions, second);
        return SQLITE_OK;
    default:
        return SQLITE_OK;
    }
}

void sql_engine::control(const char* sql) {
    [[maybe_unused]] const int code = sqlite3_exec(database_, sql, nullptr, nullptr, nullptr);
    assert(code == SQLITE_OK);
}

void sql_engine::begin() {
    control("BEGIN IMMEDIATE");
}

void sql_engine::commit() {
    control("COMMIT");
}

void sql_engine::roll_back() {
    if (in_transaction()) {
        control("ROLLBACK");
    }
}

bool sql_engine::in_transaction() const {
    return sqlite3_get_autocommit(database_) == 0;
}

error sql_engine::last_error(const std::string& sql) const {
    const int code = sqlite3_extended_errcode(database_);
    const bool duplicate = code == SQLITE_CONSTRAINT_PRIMARYKEY || code == SQLITE_CONSTRAINT_UNIQUE ||
                           code == SQLITE_CONSTRAINT_ROWID;
    return error{duplicate ? error_code::duplicate_key : error_code::statement_failed, "sql",
                 sql.substr(0, shown_sql_bytes), sqlite3_errmsg(database_)};
}

const sql_engine::compiled* sql_engine::compile(const std::string& sql, error& reason) {
    const std::map<std::string, compiled>::iterator cached = cache_.find(sql);
    if (cached != cache_.end()) {
        return &cached->second;
    }
    compiled created;
    const char* tail = nullptr;
    compiling_ = &created;
    const int code = sqlite3_prepare_v3(database_, sql.c_str(), static_cast<int>(sql.size() + 1),
                                        SQLITE_PREPARE_PERSISTENT, &created.handle, &tail);
    compiling_ = nullptr;
    if (code != SQLITE_OK) {
        reason = last_error(sql);
        return nullptr;
    }
    const std::string_view rest{tail};
    if (created.handle == nullptr || rest.find_first_not_of(" \t\r\n;") != std::string_view::npos) {
        sqlite3_finalize(created.handle);
        reason = error{error_code::statement_failed, "sql", sql.substr(0, shown_sql_bytes),
                       "exactly one statement"};
        return nullptr;
    }
    if (cache_.size() >= cached_statements) {
        for (const std::pair<const std::string, compiled>& entry : cache_) {
            sqlite3_finalize(entry.second.handle);
        }
        cache_.clear();
    }
    return &cache_.emplace(sql, created).first->second;
}

bool sql_engine::is_allowed(const compiled& statement, batch_mode mode, bool changed_before,
                            error& reason) const {
    if (sqlite3_stmt_readonly(statement.handle) != 0) {
        return true;
    }
    std::string allowed;
    if (mode == batch_mode::read_only) {
        allowed = "a statement that only reads";
    } else if (statement.uses_chance) {
        allowed = "a change without functions of time and chance; pass such values as parameters";
    } else if (statement.uses_connection_state && !changed_before) {
        allowed = "changes() and last_insert_rowid() only after a change in the same batch";
    } else {
        return true;
    }
    reason = error{error_code::statement_failed, "sql",
                   std::string{sqlite3_sql(statement.handle)}.substr(0, shown_sql_bytes), allowed};
    return false;
}

bool sql_engine::step_all(sqlite3_stmt* handle, statement_result& result, error& reason) {
    const int columns = sqlite3_column_count(handle);
    for (int i = 0; i < columns; ++i) {
        result.columns.emplace_back(sqlite3_column_name(handle, i));
    }
    while (true) {
        const int code = sqlite3_step(handle);
        if (code == SQLITE_DONE) {
            return true;
        }
        if (code != SQLITE_ROW) {
            reason = last_error(sqlite3_sql(handle));
            return false;
        }
        if (result.rows.size() >= max_rows) {
            reason = error{error_code::too_large, "sql", fmt::format("more than {} rows", max_rows),
                           "a statement that returns fewer rows"};
            return false;
        }
        nlohmann::json row = nlohmann::json::array();
        for (int i = 0; i < columns; ++i) {
            row.push_back(column_value(handle, i));
        }
        result.rows.push_back(std::move(row));
    }
}

std::optional<statement_result> sql_engine::run(const sql_statement& statement, batch_mode mode,
                                                bool changed_before, error& reason) {
    const compiled* found = compile(statement.sql, reason);
    if (found == nullptr || !is_allowed(*found, mode, changed_before, reason)) {
        return std::nullopt;
    }
    sqlite3_stmt* handle = found->handle;
    const std::size_t expected = static_cast<std::size_t>(sqlite3_bind_parameter_count(handle));
    if (statement.params.size() != expected) {
        reason = error{error_code::bad_value, "params", fmt::format("{} values", statement.params.size()),
                       fmt::format("{} values", expected)};
        return std::nullopt;
    }
    for (std::size_t i = 0; i < expected; ++i) {
        bind(handle, static_cast<int>(i) + 1, statement.params[i]);
    }
    statement_result result;
    result.read_only = sqlite3_stmt_readonly(handle) != 0;
    const std::int64_t before = sqlite3_total_changes64(database_);
    sqlite3_progress_handler(database_, max_machine_steps, &interrupt, nullptr);
    const bool complete = step_all(handle, result, reason);
    sqlite3_progress_handler(database_, 0, nullptr, nullptr);
    sqlite3_reset(handle);
    sqlite3_clear_bindings(handle);
    if (!complete) {
        return std::nullopt;
    }
    // After a statement that changes no row sqlite3_changes64() can still hold an older count.
    const bool changed = sqlite3_total_changes64(database_) != before;
    result.changes = changed ? sqlite3_changes64(database_) : 0;
    return result;
}

std::optional<std::vector<statement_result>>
sql_engine::run_batch(const std::vector<sql_statement>& statements, batch_mode mode, error& reason) {
    const bool within_transaction = in_transaction();
    control("SAVEPOINT batch");
    std::vector<statement_result> results;
    bool changed_before = false;
    for (const sql_statement& statement : statements) {
        std::optional<statement_result> result = run(statement, mode, changed_before, reason);
        if (!result) {
            // ON CONFLICT ROLLBACK has already ended the transaction together with the savepoint.
            if (in_transaction()) {
                control("ROLLBACK TO batch");
                control("RELEASE batch");
            }
            assert(within_transaction || !in_transaction());
            return std::nullopt;
        }
        changed_before = changed_before || result->changes > 0;
        results.push_back(std::move(*result));
    }
    control("RELEASE batch");
    return results;
}

} // namespace gentianhill::standins
