#include "standins/database/replicated_log.h"

#include "gentianhill/core/object_reader.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gentianhill::standins {

nlohmann::json to_json(const log_entry& entry) {
    return nlohmann::json{
        {"term", entry.at.term}, {"position", entry.at.position}, {"statements", to_json(entry.statements)}};
}

std::optional<log_entry> read_log_entry(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "entries", reason};
    log_entry entry;
    entry.at.term = static_cast<term_number>(reader.integer("term", 1, INT64_MAX));
    entry.at.position = static_cast<std::uint64_t>(reader.integer("position", 1, INT64_MAX));
    const nlohmann::json& statements = reader.array("statements");
    if (!reader.finish()) {
        return std::nullopt;
    }
    std::optional<std::vector<sql_statement>> read = read_statements(statements, "entries", reason);
    if (!read) {
        return std::nullopt;
    }
    entry.statements = std::move(*read);
    return entry;
}

log_position replicated_log::last() const {
    return entries_.empty() ? log_position{} : entries_.back().at;
}

std::uint64_t replicated_log::term_start() const {
    return term_starts_.empty() ? 0 : term_starts_.rbegin()->second;
}

bool replicated_log::contains(const log_position& at) const {
    return at.position == 0 ||
           (at.position <= entries_.size() && entries_[at.position - 1].at.term == at.term);
}

log_position replicated_log::nearest(const log_position& at) const {
    std::uint64_t position = std::min<std::uint64_t>(at.position, entries_.size());
    // Skip whole terms: the entry before the start of a newer term belongs to an older one.
    while (position > 0 && entries_[position - 1].at.term > at.term) {
        position = term_starts_.at(entries_[position - 1].at.term) - 1;
    }
    return position == 0 ? log_position{} : entries_[position - 1].at;
}

const log_entry& replicated_log::at(std::uint64_t position) const {
    assert(position >= 1 && position <= entries_.size());
    return entries_[position - 1];
}

void replicated_log::append(log_entry entry) {
    assert(entry.at.position == entries_.size() + 1);
    assert(entry.at.term >= last().term);
    term_starts_.try_emplace(entry.at.term, entry.at.position);
    entries_.push_back(std::move(entry));
}

void replicated_log::truncate_after(std::uint64_t position) {
    assert(position <= entries_.size());
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(position), entries_.end());
    while (!term_starts_.empty() && term_starts_.rbegin()->second > position) {
        term_starts_.erase(std::prev(term_starts_.end()));
    }
}

} // namespace gentianhill::standins
