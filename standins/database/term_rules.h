#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/error.h"

#include <optional>
#include <string>

namespace gentianhill::standins {

/// Role of an instance within its accepted term.
enum class instance_role : std::uint8_t { replica, primary };

/// Name of a role as it appears in answers.
[[nodiscard]] std::string_view to_string(instance_role role);

/// Whether a call changed the state or merely repeated an earlier one.
enum class term_change : std::uint8_t { raised, repeated };

/// Accepted term, role and membership of one instance; the rules under which calls may change them.
class term_rules {
public:
    /// `instance` is the name of the instance itself.
    explicit term_rules(std::string instance) : instance_(std::move(instance)) {}

    /// Starts the group's first term as its primary or as a member that follows `primary`.
    void bootstrap(instance_role role, std::string primary);

    /// Raises the accepted term and ends the role. Errors: stale_term unless `term` is higher or the source
    /// repeats its own fence; `source` names one run of a process, since two runs may use the same term.
    [[nodiscard]] std::optional<term_change> fence(term_number term, const std::string& source,
                                                   error& reason);
    /// Becomes primary of the accepted term. Errors: stale_term, replica_behind if not initialised,
    /// bad_value if it follows another primary of this term.
    [[nodiscard]] std::optional<term_change> promote(term_number term, error& reason);
    /// Follows a primary. `admit` lets an instance that lost its state become initialised later.
    /// Errors: stale_term, bad_value if the term already has a different primary here.
    [[nodiscard]] std::optional<term_change> follow(term_number term, const std::string& primary, bool admit,
                                                    error& reason);
    /// Ends an admission: the log holds everything that the primary had when it answered first.
    void caught_up();

    /// Checks the term of a statement. Errors: stale_term, replica_behind if not initialised.
    [[nodiscard]] bool may_read(term_number term, error& reason) const;
    /// Checks term and role for a change. Errors: stale_term, not_primary.
    [[nodiscard]] bool may_write(term_number term, error& reason) const;
    /// Checks term and role for handing entries to a replica. Errors: stale_term, not_primary.
    [[nodiscard]] bool may_replicate(term_number term, error& reason) const;

    [[nodiscard]] term_number accepted_term() const { return accepted_term_; }
    [[nodiscard]] instance_role role() const { return role_; }
    /// Name of the accepted term's primary; empty while it is not known here.
    [[nodiscard]] const std::string& primary() const { return primary_; }
    [[nodiscard]] bool is_initialised() const { return initialised_; }
    /// True between a follow with `admit` and caught_up().
    [[nodiscard]] bool is_being_admitted() const { return admitting_; }

private:
    [[nodiscard]] bool is_current(term_number term, error& reason) const;
    void raise(term_number term);

    std::string instance_;
    term_number accepted_term_ = 0;
    instance_role role_ = instance_role::replica;
    std::string primary_;
    std::string fence_source_;
    bool initialised_ = false;
    bool admitting_ = false;
};

} // namespace gentianhill::standins
