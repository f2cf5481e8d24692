#include "standins/database/sql_store.h"

#include <fmt/format.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace gentianhill::standins {

namespace {

// A transaction is one entry of the log and must fit into one answer to a replica.
constexpr std::size_t max_transaction_bytes = 1U << 20U;

/// Appends the statements that could change rows; the others need not be replayed.
void keep_changes(const std::vector<sql_statement>& statements, const sql_store::results& results,
                  std::vector<sql_statement>& kept) {
    assert(statements.size() == results.size());
    for (std::size_t i = 0; i < statements.size(); ++i) {
        if (!results[i].read_only) {
            kept.push_back(statements[i]);
        }
    }
}

} // namespace

std::optional<sql_store::results> sql_store::read(const std::vector<sql_statement>& statements,
                                                  error& reason) {
    return committed_.run_batch(statements, batch_mode::read_only, reason);
}

std::optional<sql_store::results>
sql_store::write(term_number term, const std::vector<sql_statement>& statements, error& reason) {
    assert(!is_open());
    std::optional<results> done = committed_.run_batch(statements, batch_mode::read_write, reason);
    if (!done) {
        return std::nullopt;
    }
    log_entry entry = next_entry(term);
    keep_changes(statements, *done, entry.statements);
    replay(working_, entry);
    log_.append(std::move(entry));
    return done;
}

void sql_store::begin() {
    assert(!is_open());
    transaction_.clear();
    working_.begin();
}

std::optional<sql_store::results> sql_store::run_in_transaction(const std::vector<sql_statement>& statements,
                                                                batch_mode mode, error& reason) {
    assert(is_open());
    const std::size_t size = size_of(transaction_) + size_of(statements);
    if (size > max_transaction_bytes) {
        reason = error{error_code::too_large, "transaction", fmt::format("{} bytes", size),
                       fmt::format("at most {} bytes", max_transaction_bytes)};
        return std::nullopt;
    }
    std::optional<results> done = working_.run_batch(statements, mode, reason);
    if (done) {
        keep_changes(statements, *done, transaction_);
    }
    return done;
}

void sql_store::commit(term_number term) {
    working_.commit();
    log_entry entry = next_entry(term);
    entry.statements = std::exchange(transaction_, {});
    replay(committed_, entry);
    log_.append(std::move(entry));
}

void sql_store::roll_back() {
    working_.roll_back();
    transaction_.clear();
}

void sql_store::append_term_start(term_number term) {
    log_.append(next_entry(term));
}

void sql_store::apply(log_entry entry) {
    assert(!is_open());
    replay(committed_, entry);
    replay(working_, entry);
    log_.append(std::move(entry));
}

void sql_store::truncate_after(std::uint64_t position) {
    assert(!is_open());
    log_.truncate_after(position);
    committed_.reset();
    working_.reset();
    for (std::uint64_t i = 1; i <= position; ++i) {
        replay(committed_, log_.at(i));
        replay(working_, log_.at(i));
    }
}

void sql_store::replay(sql_engine& engine, const log_entry& entry) {
    error reason;
    if (!engine.run_batch(entry.statements, batch_mode::read_write, reason)) {
        fmt::print(stderr, "log entry {} of term {} does not apply: {}\n", entry.at.position, entry.at.term,
                   reason.describe());
        std::abort();
    }
}

log_entry sql_store::next_entry(term_number term) const {
    log_entry entry;
    entry.at = log_position{term, log_.last().position + 1};
    return entry;
}

} // namespace gentianhill::standins
