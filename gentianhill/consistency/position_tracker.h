#pragma once

#include "gentianhill/consistency/instance_report.h"
#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/time.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Limits of a position_tracker.
struct position_tracker_settings {
    /// Maximum time that a write waits without confirmation progress before new writes are rejected.
    duration confirm_stall_limit = std::chrono::seconds{1};
    /// Maximum age of the last direct answer of an instance that is considered reachable.
    duration reachable_limit = std::chrono::seconds{1};
};

/// Tracks the primary and the confirmed log position of one database group from the reports of its instances.
///
/// Confirmation is correct for reports of any age: a report (T, q) of an instance that had accepted term T
/// states that it held all entries of T up to q, and every later majority that accepts a fence shares an
/// instance with each majority that made such reports. Times are used only for ages, for reachability and to
/// order reports around a loss of state.
class position_tracker {
public:
    /// `members` are the names of all instances of the group; majorities are counted over all of them.
    position_tracker(const std::vector<std::string>& members, const position_tracker_settings& settings);

    /// Changes the limits; reports are kept.
    void set_settings(const position_tracker_settings& settings) { settings_ = settings; }
    /// Applies one report. Returns false when it is ignored: the instance is unknown, it has already accepted
    /// a higher term, or the report was requested before its loss of state was known.
    bool apply(const instance_report& report) { return apply(report, true); }
    /// Applies a report relayed by a peer; it does not make the instance reachable from this daemon.
    bool apply_relayed(const instance_report& report) { return apply(report, false); }

    /// Highest accepted term reported by an initialised instance; 0 when there is none.
    [[nodiscard]] term_number current_term() const;
    /// Instance that receives writes: the primary of the highest term that has one, unless a majority has
    /// accepted a higher term. Its term is lower than current_term() when a fence reached only a minority.
    [[nodiscard]] std::optional<std::string> primary() const;
    /// Term of primary(); 0 when there is none.
    [[nodiscard]] term_number primary_term() const;

    /// Highest confirmed position known so far; it never decreases.
    [[nodiscard]] log_position confirmed() const { return confirmed_; }
    /// True when the entry is known to be confirmed; false when it is unconfirmed or unknown.
    [[nodiscard]] bool is_confirmed(log_position entry) const;
    /// True when a newer term with a confirmed start began at or before the entry, so that no later log
    /// contains it.
    [[nodiscard]] bool is_lost(log_position entry) const;

    /// Latest time such that a majority reported accepted_term == term in requests sent at or after it.
    [[nodiscard]] std::optional<time_point> majority_seen_at(term_number term) const;
    /// Number of initialised members, other than `excluded`, that reported exactly this accepted term in
    /// requests sent at or after `since`.
    [[nodiscard]] std::size_t count_at_term(term_number term, time_point since,
                                            const std::string& excluded) const;

    /// Called when the primary has executed a write that waits for confirmation.
    void on_write_executed(log_position entry, time_point now);
    /// False when a write has waited longer than confirm_stall_limit without confirmation progress. Becomes
    /// true again on progress or in a new term, so reports must be requested while it is false.
    [[nodiscard]] bool is_confirming(time_point now) const;

    /// Latest report of an instance, or null. Within a term, its position never decreases.
    [[nodiscard]] const instance_report* report_of(const std::string& instance) const;
    /// When this daemon learned that the instance lost its state; nullopt while it is initialised or unknown.
    [[nodiscard]] std::optional<time_point> state_loss_seen_at(const std::string& instance) const;
    /// Instances with a direct answer within reachable_limit.
    [[nodiscard]] std::vector<std::string> reachable(time_point now) const;
    /// Smallest number of members that is a majority.
    [[nodiscard]] std::size_t majority() const { return members_.size() / 2 + 1; }

private:
    struct member {
        std::string name;
        std::optional<instance_report> report;
        std::optional<time_point> answered_at;
        std::optional<time_point> state_loss_seen_at;
    };
    struct known_primary {
        const member* instance = nullptr;
        term_number term = 0;
    };
    // Confirmed entries of one term: [start, highest]; start is 0 while it is unknown.
    struct confirmed_term {
        term_number term = 0;
        std::uint64_t start = 0;
        std::uint64_t highest = 0;
    };

    bool apply(const instance_report& report, bool direct);
    static bool apply_state_loss(member& target, const instance_report& report);
    [[nodiscard]] static bool is_current(const member& target, const instance_report& report);
    [[nodiscard]] const member* find(const std::string& instance) const;
    [[nodiscard]] known_primary find_primary() const;
    void update_confirmed(time_point now);
    void record_confirmed(const confirmed_term& found, time_point now);

    position_tracker_settings settings_;
    std::vector<member> members_;
    log_position confirmed_;
    // Ascending in term; the oldest are dropped beyond max_confirmed_terms.
    std::vector<confirmed_term> confirmed_terms_;
    log_position unconfirmed_write_;
    std::optional<time_point> no_progress_since_;
};

} // namespace gentianhill
