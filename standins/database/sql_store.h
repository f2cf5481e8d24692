#pragma once

#include "standins/database/replicated_log.h"
#include "standins/database/sql_engine.h"

#include <optional>
#include <vector>

namespace gentianhill::standins {

/// The rows of an instance together with its log. Two SQLite databases hold the same committed rows: reads
/// and batches use one, the open transaction runs in the other, so reads never see uncommitted rows.
class sql_store {
public:
    using results = std::vector<statement_result>;

    /// The log of everything committed.
    [[nodiscard]] const replicated_log& log() const { return log_; }

    /// Runs statements that only read. Errors: as of sql_engine::run_batch().
    [[nodiscard]] std::optional<results> read(const std::vector<sql_statement>& statements, error& reason);
    /// Runs a batch and appends it to the log under the term; no transaction may be open.
    /// Errors: as of sql_engine::run_batch(); nothing is changed then.
    [[nodiscard]] std::optional<results> write(term_number term, const std::vector<sql_statement>& statements,
                                               error& reason);

    /// Opens the transaction; none may be open.
    void begin();
    /// Runs a batch within the transaction. Errors: as of sql_engine::run_batch(), too_large; is_open() is
    /// false afterwards if the statement ended the transaction.
    [[nodiscard]] std::optional<results> run_in_transaction(const std::vector<sql_statement>& statements,
                                                            batch_mode mode, error& reason);
    /// Commits the transaction and appends it to the log under the term.
    void commit(term_number term);
    /// Rolls back the transaction if one is open.
    void roll_back();
    /// True while a transaction is open.
    [[nodiscard]] bool is_open() const { return working_.in_transaction(); }

    /// Appends an entry without statements, the first one of a term.
    void append_term_start(term_number term);
    /// Applies an entry of another instance that follows the last one; aborts the process if the statements
    /// fail, since the instance would differ from its primary.
    void apply(log_entry entry);
    /// Removes all entries after the position and rebuilds the rows from the rest.
    void truncate_after(std::uint64_t position);

private:
    void replay(sql_engine& engine, const log_entry& entry);
    [[nodiscard]] log_entry next_entry(term_number term) const;

    replicated_log log_;
    sql_engine committed_;
    sql_engine working_;
    std::vector<sql_statement> transaction_;
};

} // namespace gentianhill::standins
