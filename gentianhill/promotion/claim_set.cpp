#include "gentianhill/promotion/claim_set.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::int64_t highest_term = INT64_MAX;

term_claim read_claim(const nlohmann::json& value, const std::string& path, error& reason) {
    object_reader reader{value, path, reason};
    term_claim claim;
    claim.term = static_cast<term_number>(reader.integer("term", 1, highest_term));
    claim.owner.daemon = reader.text("daemon");
    claim.owner.incarnation = reader.text("incarnation");
    reader.finish();
    return claim;
}

} // namespace

std::optional<claim_set> claim_set::from_json(const nlohmann::json& value, error& reason) {
    object_reader reader{value, "", reason};
    claim_set result;
    result.next_term_ = static_cast<term_number>(reader.integer("next_term", 1, highest_term));
    const nlohmann::json& claims = reader.array("claims");
    const nlohmann::json& primary = reader.any("primary");
    if (!reader.finish()) {
        return std::nullopt;
    }
    if (claims.size() > max_claims) {
        reader.fail(error_code::too_large, "claims", fmt::format("{} claims", claims.size()),
                    fmt::format("at most {}", max_claims));
        return std::nullopt;
    }

    for (std::size_t index = 0; index < claims.size(); ++index) {
        const std::string path = fmt::format("claims[{}]", index);
        term_claim claim = read_claim(claims[index], path, reason);
        if (reason.failed()) {
            return std::nullopt;
        }
        const bool is_duplicate =
            std::any_of(result.claims_.begin(), result.claims_.end(),
                        [&claim](const term_claim& other) { return other.term == claim.term; });
        if (is_duplicate || claim.term >= result.next_term_) {
            reader.fail(error_code::bad_value, path + ".term", fmt::format("{}", claim.term),
                        "a term below next_term that is listed once");
            return std::nullopt;
        }
        result.claims_.push_back(std::move(claim));
    }

    if (!primary.is_null()) {
        object_reader primary_reader{primary, "primary", reason};
        recorded_primary recorded;
        recorded.term = static_cast<term_number>(primary_reader.integer("term", 1, highest_term));
        recorded.instance = primary_reader.text("instance");
        if (!primary_reader.finish()) {
            return std::nullopt;
        }
        result.primary_ = recorded;
    }
    return result;
}

nlohmann::json claim_set::to_json() const {
    nlohmann::json claims = nlohmann::json::array();
    for (const term_claim& claim : claims_) {
        claims.push_back(nlohmann::json{
            {"term", claim.term}, {"daemon", claim.owner.daemon}, {"incarnation", claim.owner.incarnation}});
    }
    nlohmann::json value{{"next_term", next_term_}, {"claims", std::move(claims)}};
    if (primary_) {
        value["primary"] = nlohmann::json{{"term", primary_->term}, {"instance", primary_->instance}};
    }
    return value;
}

std::optional<claim_set> claim_set::reserve(const daemon_incarnation& owner, std::size_t count,
                                            term_number highest_seen, error& reason) const {
    if (claims_.size() + count > max_claims) {
        reason = error{error_code::too_large, "claims", fmt::format("{} claims", claims_.size() + count),
                       fmt::format("at most {}", max_claims)};
        return std::nullopt;
    }
    claim_set result = *this;
    // The platform object may have been recreated while the instances kept their terms.
    result.next_term_ = std::max(next_term_, highest_seen + 1);
    for (std::size_t index = 0; index < count; ++index) {
        result.claims_.push_back(term_claim{result.next_term_, owner});
        ++result.next_term_;
    }
    return result;
}

claim_set claim_set::remove_claim(term_number term) const {
    claim_set result = *this;
    std::erase_if(result.claims_, [term](const term_claim& claim) { return claim.term == term; });
    return result;
}

claim_set claim_set::remove_obsolete(term_number current_term,
                                     const std::function<bool(const daemon_incarnation&)>& is_running) const {
    claim_set result = *this;
    std::erase_if(result.claims_, [current_term, &is_running](const term_claim& claim) {
        return claim.term <= current_term || !is_running(claim.owner);
    });
    return result;
}

claim_set claim_set::record_primary(const recorded_primary& primary) const {
    claim_set result = *this;
    if (!primary_ || primary_->term < primary.term) {
        result.primary_ = primary;
    }
    return result;
}

bool claim_set::is_owned_by(term_number term, const daemon_incarnation& owner) const {
    return std::any_of(claims_.begin(), claims_.end(), [term, &owner](const term_claim& claim) {
        return claim.term == term && claim.owner == owner;
    });
}

std::vector<term_number> claim_set::terms_owned_by(const daemon_incarnation& owner) const {
    std::vector<term_number> terms;
    for (const term_claim& claim : claims_) {
        if (claim.owner == owner) {
            terms.push_back(claim.term);
        }
    }
    std::sort(terms.begin(), terms.end());
    return terms;
}

} // namespace gentianhill
