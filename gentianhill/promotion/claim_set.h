#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/error.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// One run of a daemon process; a restarted daemon has a new incarnation.
struct daemon_incarnation {
    /// Name of the daemon.
    std::string daemon;
    /// Identifier that is unique among all runs of all daemons.
    std::string incarnation;

    friend bool operator==(const daemon_incarnation&, const daemon_incarnation&) = default;
};

/// A term reserved by one daemon.
struct term_claim {
    /// The reserved term; no two claims of one era of the store share one.
    term_number term = 0;
    /// The only process that may use it.
    daemon_incarnation owner;
};

/// Primary as last recorded in the platform; used for display and start-up only, never for decisions.
struct recorded_primary {
    /// Term in which it was promoted.
    term_number term = 0;
    /// Name of the instance.
    std::string instance;
};

/// Content of the platform's object `groups/<group>` of one era of the store. Operations return a modified
/// copy, which takes effect only when a conditional update with the version of the original succeeds.
class claim_set {
public:
    /// Content of an object that does not exist yet.
    claim_set() = default;

    /// Parses the content of the object. Errors: those of object_reader; bad_value for a claim at or above
    /// next_term or listed twice.
    [[nodiscard]] static std::optional<claim_set> from_json(const nlohmann::json& value, error& reason);
    [[nodiscard]] nlohmann::json to_json() const;

    /// Reserves `count` terms above every reserved term and above `highest_seen`.
    /// Errors: too_large when more than max_claims would be held.
    [[nodiscard]] std::optional<claim_set> reserve(const daemon_incarnation& owner, std::size_t count,
                                                   term_number highest_seen, error& reason) const;
    /// Removes the claim of a term, if present.
    [[nodiscard]] claim_set remove_claim(term_number term) const;
    /// Removes claims at or below `current_term` and those whose owner is no longer running. Their terms are
    /// never reserved again.
    [[nodiscard]] claim_set
    remove_obsolete(term_number current_term,
                    const std::function<bool(const daemon_incarnation&)>& is_running) const;
    /// Records a primary; an older term than the recorded one changes nothing.
    [[nodiscard]] claim_set record_primary(const recorded_primary& primary) const;

    /// True when the term is reserved by this process.
    [[nodiscard]] bool is_owned_by(term_number term, const daemon_incarnation& owner) const;
    /// Terms reserved by this process, ascending.
    [[nodiscard]] std::vector<term_number> terms_owned_by(const daemon_incarnation& owner) const;
    [[nodiscard]] const std::vector<term_claim>& claims() const { return claims_; }
    [[nodiscard]] term_number next_term() const { return next_term_; }
    [[nodiscard]] const std::optional<recorded_primary>& primary() const { return primary_; }

    /// Limits the object to about 10 KB; three coordinators hold a few claims each.
    static constexpr std::size_t max_claims = 64;

private:
    term_number next_term_ = 1;
    std::vector<term_claim> claims_;
    std::optional<recorded_primary> primary_;
};

} // namespace gentianhill
