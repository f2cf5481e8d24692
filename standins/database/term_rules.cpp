#include "standins/database/term_rules.h"

#include <fmt/format.h>

#include <utility>

namespace gentianhill::standins {

std::string_view to_string(instance_role role) {
    return role == instance_role::primary ? "primary" : "replica";
}

void term_rules::bootstrap(instance_role role, std::string primary) {
    accepted_term_ = 1;
    role_ = role;
    primary_ = std::move(primary);
    initialised_ = true;
}

bool term_rules::is_current(term_number term, error& reason) const {
    if (term == accepted_term_) {
        return true;
    }
    reason = error{error_code::stale_term, "term", fmt::format("{}", term),
                   fmt::format("the accepted term {}", accepted_term_)};
    return false;
}

void term_rules::raise(term_number term) {
    accepted_term_ = term;
    role_ = instance_role::replica;
    primary_.clear();
    fence_source_.clear();
    // An admission is valid only for the primary and term that it names.
    admitting_ = false;
}

std::optional<term_change> term_rules::fence(term_number term, const std::string& source, error& reason) {
    if (term > accepted_term_) {
        raise(term);
        fence_source_ = source;
        return term_change::raised;
    }
    if (term == accepted_term_ && !fence_source_.empty() && source == fence_source_) {
        return term_change::repeated;
    }
    reason = error{error_code::stale_term, "term", fmt::format("{}", term),
                   fmt::format("a term above the accepted term {}", accepted_term_)};
    return std::nullopt;
}

std::optional<term_change> term_rules::promote(term_number term, error& reason) {
    if (!is_current(term, reason)) {
        return std::nullopt;
    }
    if (!initialised_) {
        reason = error{error_code::replica_behind, "initialised", "false", "an initialised instance"};
        return std::nullopt;
    }
    if (role_ == instance_role::primary) {
        return term_change::repeated;
    }
    if (!primary_.empty()) {
        reason = error{error_code::bad_value, "term", fmt::format("{}", term),
                       fmt::format("this term already has the primary {}", primary_)};
        return std::nullopt;
    }
    role_ = instance_role::primary;
    primary_ = instance_;
    return term_change::raised;
}

std::optional<term_change> term_rules::follow(term_number term, const std::string& primary, bool admit,
                                              error& reason) {
    if (term < accepted_term_) {
        reason = error{error_code::stale_term, "term", fmt::format("{}", term),
                       fmt::format("at least the accepted term {}", accepted_term_)};
        return std::nullopt;
    }
    const bool other_primary = term == accepted_term_ && !primary_.empty() && primary != primary_;
    if (other_primary || primary == instance_) {
        reason = error{error_code::bad_value, "primary", primary,
                       other_primary ? fmt::format("{}, the primary of this term", primary_)
                                     : std::string{"another instance"}};
        return std::nullopt;
    }
    const bool repeated = term == accepted_term_ && primary == primary_;
    if (term > accepted_term_) {
        raise(term);
    }
    primary_ = primary;
    admitting_ = admitting_ || (admit && !initialised_);
    return repeated ? term_change::repeated : term_change::raised;
}

void term_rules::caught_up() {
    if (admitting_) {
        admitting_ = false;
        initialised_ = true;
    }
}

bool term_rules::may_read(term_number term, error& reason) const {
    if (!is_current(term, reason)) {
        return false;
    }
    if (!initialised_) {
        reason = error{error_code::replica_behind, "initialised", "false", "an initialised instance"};
        return false;
    }
    return true;
}

bool term_rules::may_write(term_number term, error& reason) const {
    if (!is_current(term, reason)) {
        return false;
    }
    if (role_ != instance_role::primary) {
        reason = error{error_code::not_primary, "instance", instance_,
                       primary_.empty() ? "the primary of this term" : primary_};
        return false;
    }
    return true;
}

bool term_rules::may_replicate(term_number term, error& reason) const {
    return may_write(term, reason);
}

} // namespace gentianhill::standins
