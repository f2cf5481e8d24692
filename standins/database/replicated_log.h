#pragma once

#include "gentianhill/consistency/log_position.h"
#include "standins/database/sql_statement.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace gentianhill::standins {

/// One committed batch or transaction, or the start of a term when it has no statements.
struct log_entry {
    /// Term and position of the entry.
    log_position at;
    /// Statements that change the database, in the order in which they ran.
    std::vector<sql_statement> statements;
};

/// JSON form of an entry: {"term", "position", "statements"}.
[[nodiscard]] nlohmann::json to_json(const log_entry& entry);
/// Reads the JSON form. Errors: as of object_reader and read_statements().
[[nodiscard]] std::optional<log_entry> read_log_entry(const nlohmann::json& value, error& reason);

/// Log of an instance; positions count from 1 without gaps and terms never decrease.
class replicated_log {
public:
    /// Last entry; {0, 0} when the log is empty.
    [[nodiscard]] log_position last() const;
    /// Position of the first entry of the last entry's term; 0 when the log is empty.
    [[nodiscard]] std::uint64_t term_start() const;
    /// True when the log has an entry with this term at this position, or the position is 0.
    [[nodiscard]] bool contains(const log_position& at) const;
    /// Last entry whose position and term are both at most the given ones; {0, 0} when there is none.
    [[nodiscard]] log_position nearest(const log_position& at) const;
    /// Entry at a position from 1 to last().position.
    [[nodiscard]] const log_entry& at(std::uint64_t position) const;

    /// Appends an entry that follows the last one.
    void append(log_entry entry);
    /// Removes all entries after the position.
    void truncate_after(std::uint64_t position);

private:
    std::vector<log_entry> entries_;
    std::map<term_number, std::uint64_t> term_starts_;
};

} // namespace gentianhill::standins
