#include "gentianhill/failover/duty_lease.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

namespace gentianhill {

namespace {

/// Time after which a write that ends a claim is repeated if the store has not answered it.
constexpr duration end_retry_pause = std::chrono::milliseconds(500);
constexpr std::string_view first_object_name = "failover";
/// Bits of a fencing token that hold the revision; the era is above them.
constexpr unsigned revision_bits = 52;
/// Bits of a fencing token that hold the era; one bit remains for readers with signed numbers.
constexpr unsigned era_bits = 63 - revision_bits;
constexpr std::array<std::string_view, 5> refusal_names{"none", "held_by_other", "lost_race",
                                                        "store_unreachable", "spacing"};

std::string object_name(std::uint64_t era) {
    return era == 0 ? std::string(first_object_name) : fmt::format("{}-{}", first_object_name, era);
}

/// Fencing token of a claim; orders claims by era, then revision. Nothing if the version is out of range.
std::optional<std::uint64_t> make_token(store_version version) {
    if ((version.revision >> revision_bits) != 0 || (version.era >> era_bits) != 0) {
        return std::nullopt;
    }
    return version.era << revision_bits | version.revision;
}

std::string text_of(const nlohmann::json& content, const char* name) {
    const nlohmann::json::const_iterator found = content.find(name);
    return found != content.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

bool is_active(const nlohmann::json& content) {
    const nlohmann::json::const_iterator found = content.find("active");
    // A malformed object counts as held: that only delays a takeover, whereas the opposite could allow two
    // holders.
    return found == content.end() || !found->is_boolean() || found->get<bool>();
}

nlohmann::json terms_of(const nlohmann::json& content) {
    const nlohmann::json::const_iterator found = content.find("terms");
    return found != content.end() && found->is_object() ? *found : nlohmann::json::object();
}

term_number term_of(const nlohmann::json& terms, const std::string& group) {
    const nlohmann::json::const_iterator found = terms.find(group);
    return found != terms.end() && found->is_number_unsigned() ? found->get<term_number>() : 0;
}

} // namespace

std::string_view to_string(claim_refusal reason) {
    return refusal_names.at(static_cast<std::size_t>(reason));
}

duty_lease::duty_lease(metadata_store& store, logger& log, const duty_lease_settings& settings,
                       std::string holder, std::string incarnation)
    : store_(store),
      log_(log),
      settings_(settings),
      holder_(std::move(holder)),
      incarnation_(std::move(incarnation)) {}

bool duty_lease::is_held() const {
    return held_ && sent_at_ && now() < *sent_at_ + settings_.tenure;
}

void duty_lease::claim(const std::string& group, term_number term, claim_handler done) {
    held_ = false;
    group_ = group;
    term_ = term;
    if (abandoned_until_ && now() < *abandoned_until_) {
        done(std::nullopt, claim_refusal::held_by_other);
        return;
    }
    abandoned_until_.reset();
    claim_era_ = era_.number();
    store_.get(
        store_collection::duties, object_name(claim_era_),
        [this, done = std::move(done), alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
            if (!alive.expired()) {
                on_duty_read(answer, done);
            }
        });
}

void duty_lease::observe_era(std::uint64_t era) {
    if (era_.observe(era, now())) {
        log_.write(log_level::info, "failover", "era_observed", {{"era", era}});
    }
}

bool duty_lease::is_of_era(const store_answer& answer, std::uint64_t era) {
    if (answer.era < era && era == era_.number()) {
        // The store answers truthfully, so the known era came from a daemon that was wrong.
        log_.write(log_level::error, "failover", "era_ahead_of_store",
                   {{"era", era}, {"store_era", answer.era}});
        era_.correct(answer.era, now());
        return false;
    }
    observe_era(answer.era);
    return answer.era == era && era == era_.number();
}

void duty_lease::on_duty_read(const store_answer& answer, const claim_handler& done) {
    if (answer.outcome != store_outcome::not_found &&
        (answer.outcome != store_outcome::done || !answer.object)) {
        done(std::nullopt, claim_refusal::store_unreachable);
        return;
    }
    if (!is_of_era(answer, claim_era_)) {
        done(std::nullopt, claim_refusal::held_by_other);
        return;
    }
    if (answer.outcome == store_outcome::not_found) {
        // A claim of an earlier era may be gone from the store while its holder still acts.
        if (!era_.is_known_for(settings_.takeover_after, now())) {
            done(std::nullopt, claim_refusal::held_by_other);
            return;
        }
        terms_ = nlohmann::json::object();
        write_claim(0, done);
        return;
    }
    const claim_refusal reason = check_claim(*answer.object);
    if (reason != claim_refusal::none) {
        done(std::nullopt, reason);
        return;
    }
    const bool is_end_unwritten = unwritten_end_ && unwritten_end_->revision == answer.object->revision;
    terms_ = terms_of(is_end_unwritten ? unwritten_end_->content : answer.object->content);
    write_claim(answer.object->revision, done);
}

claim_refusal duty_lease::check_claim(const stored_object& object) {
    // A claim under this daemon's name was made by this process or by an earlier one that has ended.
    if (text_of(object.content, "holder") == holder_) {
        return claim_refusal::none;
    }
    const store_version version{claim_era_, object.revision};
    if (!other_claim_ || other_claim_->version != version) {
        other_claim_ = observation{version, now()};
    }
    const duration seen_for = now() - other_claim_->first_seen;
    if (is_active(object.content)) {
        return seen_for >= settings_.takeover_after + settings_.turn_spacing ? claim_refusal::none
                                                                             : claim_refusal::held_by_other;
    }
    return seen_for >= settings_.turn_spacing ? claim_refusal::none : claim_refusal::spacing;
}

void duty_lease::write_claim(std::uint64_t revision, const claim_handler& done) {
    stored_object object;
    // The term is recorded before any call to the platform, so that a reader that finds no newer term knows
    // that no newer primary exists.
    nlohmann::json claimed_terms = terms_;
    claimed_terms[group_] = std::max(term_, term_of(terms_, group_));
    object.name = object_name(claim_era_);
    object.revision = revision;
    object.content = {{"holder", holder_}, {"incarnation", incarnation_}, {"claim", ++claim_number_},
                      {"active", true},    {"purpose", group_},           {"terms", claimed_terms}};
    // The tenure starts before the claim is sent, because the store may apply it at any time after that.
    sent_at_ = now();
    store_.put(store_collection::duties, object,
               [this, done, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                   if (!alive.expired()) {
                       on_written(answer, done);
                   }
               });
}

void duty_lease::on_written(const store_answer& answer, const claim_handler& done) {
    if (answer.outcome == store_outcome::unknown) {
        read_back(done);
        return;
    }
    if (answer.outcome == store_outcome::refused) {
        // A refusal may come from a server in between, which knows no era.
        done(std::nullopt, claim_refusal::store_unreachable);
        return;
    }
    if (!is_of_era(answer, claim_era_)) {
        done(std::nullopt, claim_refusal::held_by_other);
        return;
    }
    if (answer.outcome == store_outcome::done && answer.object) {
        grant(answer.object->revision, done);
        return;
    }
    done(std::nullopt, answer.outcome == store_outcome::conflict ? claim_refusal::lost_race
                                                                 : claim_refusal::store_unreachable);
}

void duty_lease::read_back(const claim_handler& done) {
    store_.get(store_collection::duties, object_name(claim_era_),
               [this, done, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                   if (alive.expired()) {
                       return;
                   }
                   if (answer.outcome == store_outcome::done && answer.object &&
                       is_of_era(answer, claim_era_) && is_own_claim(*answer.object)) {
                       grant(answer.object->revision, done);
                       return;
                   }
                   done(std::nullopt, claim_refusal::store_unreachable);
               });
}

bool duty_lease::is_own_claim(const stored_object& object) const {
    const nlohmann::json::const_iterator number = object.content.find("claim");
    return text_of(object.content, "holder") == holder_ &&
           text_of(object.content, "incarnation") == incarnation_ && is_active(object.content) &&
           number != object.content.end() && number->is_number_unsigned() &&
           number->get<std::uint64_t>() == claim_number_;
}

void duty_lease::grant(std::uint64_t revision, const claim_handler& done) {
    const std::optional<std::uint64_t> token = make_token({claim_era_, revision});
    if (!token) {
        log_.write(log_level::error, "failover", "version_out_of_range",
                   {{"era", claim_era_}, {"revision", revision}});
        done(std::nullopt, claim_refusal::store_unreachable);
        return;
    }
    held_ = true;
    unwritten_end_.reset();
    claim_revision_ = revision;
    token_ = *token;
    log_.write(log_level::info, "failover", "duty_claimed", {{"token", token_}, {"holder", holder_}});
    done(token_, claim_refusal::none);
}

void duty_lease::release(std::optional<term_number> promoted_term) {
    if (!held_) {
        return;
    }
    held_ = false;
    if (claim_era_ != era_.number()) {
        log_.write(log_level::info, "failover", "duty_lost_in_restore",
                   {{"token", token_}, {"era", era_.number()}});
        return;
    }
    if (promoted_term) {
        terms_[group_] = *promoted_term;
    }
    write_end(false);
}

void duty_lease::abandon(bool may_take_effect) {
    if (!held_) {
        return;
    }
    held_ = false;
    abandoned_until_ = now() + settings_.takeover_after;
    log_.write(log_level::warning, "failover", "duty_abandoned",
               {{"token", token_}, {"may_take_effect", may_take_effect}});
    if (!may_take_effect && claim_era_ == era_.number()) {
        write_end(true);
    }
}

void duty_lease::write_end(bool is_active) {
    stored_object object;
    object.name = object_name(claim_era_);
    object.revision = claim_revision_;
    object.content = {{"holder", holder_},
                      {"incarnation", incarnation_},
                      {"claim", claim_number_},
                      {"active", is_active},
                      {"terms", terms_}};
    unwritten_end_ = std::move(object);
    send_end();
}

void duty_lease::send_end() {
    is_writing_end_ = true;
    next_end_write_at_ = now() + end_retry_pause;
    const stored_object object = *unwritten_end_;
    store_.put(store_collection::duties, object,
               [this, revision = object.revision, token = token_,
                alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                   if (alive.expired()) {
                       return;
                   }
                   log_.write(log_level::info, "failover", "claim_ended",
                              {{"token", token}, {"outcome", to_string(answer.outcome)}});
                   is_writing_end_ = false;
                   // A claim that was not ended in the store keeps its term recorded, as if it had been used.
                   const bool is_answered =
                       answer.outcome != store_outcome::unknown && answer.outcome != store_outcome::refused;
                   if (is_answered && unwritten_end_ && unwritten_end_->revision == revision) {
                       unwritten_end_.reset();
                   }
               });
}

void duty_lease::tick() {
    if (!unwritten_end_ || is_writing_end_ || now() < next_end_write_at_) {
        return;
    }
    if (claim_era_ == era_.number()) {
        send_end();
    } else {
        unwritten_end_.reset();
    }
}

void duty_lease::read_promoted_term(const std::string& group,
                                    std::function<void(std::optional<term_number>)> done) {
    const std::uint64_t era = era_.number();
    store_.get(store_collection::duties, object_name(era),
               [this, group, era, done = std::move(done),
                alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                   if (!alive.expired()) {
                       done(promoted_term(answer, era, group));
                   }
               });
}

std::optional<term_number> duty_lease::promoted_term(const store_answer& answer, std::uint64_t era,
                                                     const std::string& group) {
    const bool is_found = answer.outcome == store_outcome::done && answer.object;
    if ((!is_found && answer.outcome != store_outcome::not_found) || !is_of_era(answer, era)) {
        return std::nullopt;
    }
    const term_number term = is_found ? term_of(terms_of(answer.object->content), group) : 0;
    if (era == 0) {
        return term;
    }
    // Terms of earlier eras may have been lost with the restore; the base term covers them.
    const std::optional<term_number> base = find_base_term ? find_base_term(group) : std::nullopt;
    return term == 0 ? base : std::max(term, base.value_or(0));
}

} // namespace gentianhill
