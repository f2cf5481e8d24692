#pragma once

#include "gentianhill/consistency/instance_report.h"

#include <algorithm>
#include <string>
#include <vector>

namespace gentianhill {

/// One log entry; `id` is unique among all entries ever written.
struct fake_entry {
    term_number term = 0;
    std::uint64_t id = 0;

    friend bool operator==(const fake_entry&, const fake_entry&) = default;
};

using fake_log = std::vector<fake_entry>;

/// True when `log` starts with all of `prefix`.
inline bool has_prefix(const fake_log& log, const fake_log& prefix) {
    return prefix.size() <= log.size() && std::equal(prefix.begin(), prefix.end(), log.begin());
}

/// In-memory database instance that follows the rules for fencing, promotion, following and replication.
struct fake_instance {
    std::string name;
    std::string state_id;
    bool is_up = true;
    bool initialised = true;
    bool is_admitting = false;
    bool is_primary = false;
    term_number accepted_term = 1;
    std::string fenced_by;
    std::string primary;
    fake_log log;

    [[nodiscard]] instance_report report() const {
        instance_report result;
        result.instance = name;
        result.state_id = state_id;
        result.accepted_term = accepted_term;
        result.initialised = initialised;
        result.is_primary = is_primary;
        result.primary = primary;
        if (!log.empty()) {
            result.last_entry = {log.back().term, log.size()};
            const term_number term = log.back().term;
            const auto start = std::find_if(log.begin(), log.end(),
                                            [term](const fake_entry& entry) { return entry.term == term; });
            result.term_start = static_cast<std::uint64_t>(start - log.begin()) + 1;
        }
        return result;
    }
    bool fence(term_number term, const std::string& source) {
        if (term == accepted_term && source == fenced_by) {
            return true;
        }
        if (term <= accepted_term) {
            return false;
        }
        accept_term(term);
        fenced_by = source;
        return true;
    }
    bool promote(term_number term) {
        if (!initialised || term != accepted_term) {
            return false;
        }
        if (!is_primary) {
            is_primary = true;
            primary = name;
            log.push_back(fake_entry{term, term << 32U});
        }
        return true;
    }
    void follow(term_number term, const std::string& target, bool admit, const std::string& for_state) {
        if (term < accepted_term || target == name) {
            return;
        }
        if (term > accepted_term) {
            accept_term(term);
        }
        primary = target;
        is_admitting = !initialised && (is_admitting || (admit && for_state == state_id));
    }
    /// Replaces the log by the common prefix with the primary's log of `term` and at most `limit` further
    /// entries.
    void replicate(term_number term, const fake_log& source, std::size_t limit) {
        if (term != accepted_term || is_primary) {
            return;
        }
        const bool has_entry_of_accepted_term = !log.empty() && log.back().term == accepted_term;
        if (has_entry_of_accepted_term && source.size() <= log.size()) {
            return;
        }
        const std::size_t common = static_cast<std::size_t>(
            std::mismatch(log.begin(), log.end(), source.begin(), source.end()).first - log.begin());
        const std::size_t size = std::min(source.size(), common + limit);
        log.assign(source.begin(), source.begin() + static_cast<std::ptrdiff_t>(size));
        if (is_admitting && size == source.size()) {
            initialised = true;
            is_admitting = false;
        }
    }
    void lose_state(const std::string& new_state) {
        const std::string kept_name = name;
        *this = fake_instance{};
        name = kept_name;
        state_id = new_state;
        initialised = false;
        accepted_term = 0;
    }

private:
    void accept_term(term_number term) {
        accepted_term = term;
        is_primary = false;
        is_admitting = false;
        primary.clear();
        fenced_by.clear();
    }
};

} // namespace gentianhill
