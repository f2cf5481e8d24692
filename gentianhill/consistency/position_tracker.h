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
    /// Longest time that a write may wait without majority progress before new writes are rejected.
    duration confirm_stall_limit = std::chrono::seconds{1};
    /// An instance is reachable while its last direct answer is no older than this.
    duration reachable_limit = std::chrono::seconds{1};
};

/// Derives what is confirmed in one database group from the reports of its instances.
///
/// Confirmation is sound with reports of any age: a report (T, q) of an instance that had accepted T states
/// that it held all entries of T up to q, and every later fence majority includes an instance of each
/// majority that made such reports. Times are used for ages, reachability and the order of reports around a
/// loss of state only.
class position_tracker {
public:
    /// `members` are the names of all instances of the group; majorities are counted over all of them.
    position_tracker(const std::vector<std::string>& members, const position_tracker_settings& settings);

    /// Changes the limits; reports are kept.
    void set_settings(const position_tracker_settings& settings) { settings_ = settings; }
    /// Takes in one report; returns false when it was ignored: unknown instance, older term than the instance
    /// already accepted, or sent before a loss of state was known.
    bool apply(const instance_report& report) { return apply(report, true); }
    /// The same for a report relayed by a peer, which says nothing about reachability from here.
    bool apply_relayed(const instance_report& report) { return apply(report, false); }

    /// Highest accepted term that any initialised instance reported; 0 when none.
    [[nodiscard]] term_number current_term() const;
    /// Instance to which writes go: the primary of the highest term that has one, unless a majority has
    /// accepted a higher term. It may belong to an older term than current_term() when a fence reached a
    /// minority only.
    [[nodiscard]] std::optional<std::string> primary() const;
    /// Term of primary(); 0 when there is none.
    [[nodiscard]] term_number primary_term() const;

    /// Highest confirmed position seen so far; it never decreases.
    [[nodiscard]] log_position confirmed() const { return confirmed_; }
    /// True when the entry is known to be confirmed; false when it is unconfirmed or not known.
    [[nodiscard]] bool is_confirmed(log_position entry) const;
    /// True when a newer term whose start is confirmed began at or below the entry, so that it is in no later
    /// log.
    [[nodiscard]] bool is_lost(log_position entry) const;

    /// Latest time such that a majority reported accepted_term == term in requests sent at or after it.
    [[nodiscard]] std::optional<time_point> majority_seen_at(term_number term) const;
    /// Number of initialised members, other than `excluded`, that reported exactly this accepted term in
    /// requests sent at or after `since`.
    [[nodiscard]] std::size_t count_at_term(term_number term, time_point since,
                                            const std::string& excluded) const;

    /// To be called when the primary has executed a write that waits for confirmation.
    void on_write_executed(log_position entry, time_point now);
    /// False when a write has waited for longer than confirm_stall_limit without majority progress. It turns
    /// true again on progress or in a new term, so reports must be requested while it is false.
    [[nodiscard]] bool is_confirming(time_point now) const;

    /// Newest report of an instance, or null. Within a term, positions never go back.
    [[nodiscard]] const instance_report* report_of(const std::string& instance) const;
    /// When the loss of the instance's current state became known here; nothing while it is initialised or
    /// unknown.
    [[nodiscard]] std::optional<time_point> loss_known_at(const std::string& instance) const;
    /// Instances with a direct answer within reachable_limit.
    [[nodiscard]] std::vector<std::string> reachable(time_point now) const;
    /// Smallest number of members that is more than half of them.
    [[nodiscard]] std::size_t majority() const { return members_.size() / 2 + 1; }

private:
    // One member of the group.
    struct member {
        std::string name;
        std::optional<instance_report> report;
        std::optional<time_point> answered_at;
        std::optional<time_point> loss_known_at;
    };
    struct known_primary {
        const member* instance = nullptr;
        term_number term = 0;
    };
    // Confirmed part of one term: entries [start, highest]; start is 0 while it is unknown.
    struct confirmed_term {
        term_number term = 0;
        std::uint64_t start = 0;
        std::uint64_t highest = 0;
    };

    bool apply(const instance_report& report, bool direct);
    static bool apply_loss(member& target, const instance_report& report);
    [[nodiscard]] static bool is_current(const member& target, const instance_report& report);
    [[nodiscard]] const member* find(const std::string& instance) const;
    [[nodiscard]] known_primary find_primary() const;
    void update_confirmed(time_point now);
    void record_confirmed(const confirmed_term& found, time_point now);

    position_tracker_settings settings_;
    std::vector<member> members_;
    log_position confirmed_;
    // Ascending in term; the oldest are dropped beyond history_limit.
    std::vector<confirmed_term> history_;
    log_position waiting_write_;
    std::optional<time_point> waiting_since_;
};

} // namespace gentianhill
