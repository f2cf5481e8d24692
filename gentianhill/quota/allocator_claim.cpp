#include "gentianhill/quota/allocator_claim.h"

#include "gentianhill/core/object_reader.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

constexpr std::string_view base_name = "quota-allocator";
constexpr std::size_t max_name_length = 256;
/// Time for which a wish to get the claim lasts; it is renewed by each counter that asks in vain.
constexpr duration wish_time = 2s;
/// Pause before a call that failed is repeated.
constexpr duration retry_pause = 300ms;
/// Longest duration of a call to a store that answers, though slowly.
constexpr duration usual_call_time = 500ms;
/// Pause between reads while another daemon holds the claim. A conditional write finds out about its
/// renewals, so that they are not needed for safety.
constexpr duration read_pause = 1s;
/// Pause between questions to the holder.
constexpr duration question_pause = 300ms;
/// Claims of an era follow those of earlier ones.
constexpr unsigned era_shift = 32;

/// True for an answer that tells something about the object.
bool is_answered(const store_answer& answer) {
    return answer.outcome == store_outcome::done || answer.outcome == store_outcome::not_found ||
           answer.outcome == store_outcome::conflict;
}

} // namespace

allocator_claim::allocator_claim(metadata_store& store, logger& log, const quota_settings& settings,
                                 std::string name, std::string incarnation)
    : store_(store),
      log_(log),
      settings_(settings),
      name_(std::move(name)),
      incarnation_(std::move(incarnation)) {}

void allocator_claim::want() {
    wanted_until_ = now() + wish_time;
}

void allocator_claim::tick() {
    const time_point current = now();
    if (is_calling_) {
        return;
    }
    if (own_) {
        if (current >= next_call_ || must_write_) {
            write();
        }
        return;
    }
    if (!wanted_until_ || current >= *wanted_until_) {
        return;
    }
    if (observed_ && is_free()) {
        begin_claim();
        return;
    }
    if (current >= next_call_) {
        read();
    }
    if (observed_ && observed_->number > 0 && current >= next_question_) {
        next_question_ = current + question_pause;
        ask_holder(observed_->holder, observed_->number);
    }
}

void allocator_claim::on_holder_ended(const std::string& holder, std::uint64_t claim) {
    ended_holder_ = holder;
    ended_number_ = claim;
    tick();
}

void allocator_claim::on_holder_alive() {
    wanted_until_.reset();
}

bool allocator_claim::answer_awaiting(std::uint64_t claim) {
    if (!own_ || own_->number != claim) {
        last_own_number_ = std::max(last_own_number_, claim);
        return false;
    }
    if (may_act()) {
        return true;
    }
    lose("lapsed");
    return false;
}

void allocator_claim::end() {
    wanted_until_.reset();
    if (own_) {
        lose("ended");
    }
}

bool allocator_claim::may_act() const {
    return own_ && own_->confirmed_at && now() < *own_->confirmed_at + settings_.claim_tenure;
}

bool allocator_claim::is_at_risk() const {
    return may_act() && now() >= *own_->confirmed_at + settings_.claim_renewal + usual_call_time;
}

void allocator_claim::end_if_lapsed() {
    if (own_ && own_->confirmed_at && !may_act()) {
        lose("lapsed");
    }
}

std::optional<std::string> allocator_claim::holder() const {
    if (own_) {
        return name_;
    }
    const bool is_known = observed_ && !observed_->holder.empty() && !has_ended();
    return is_known ? std::optional(observed_->holder) : std::nullopt;
}

void allocator_claim::read() {
    is_calling_ = true;
    next_call_ = now() + retry_pause;
    store_.get(store_collection::quotas, object_name(era_),
               [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                   if (!alive.expired()) {
                       on_read(answer);
                   }
               });
}

void allocator_claim::on_read(const store_answer& answer) {
    is_calling_ = false;
    is_store_reachable_ = is_answered(answer);
    if (!is_answered(answer)) {
        next_call_ = now() + read_pause;
        return;
    }
    if (answer.era > era_) {
        // The object of the new era has another name.
        era_ = answer.era;
        observed_.reset();
        next_call_ = now();
        return;
    }
    observe(answer.outcome == store_outcome::done ? answer.object : std::nullopt, answer.era);
    next_call_ = now() + read_pause;
    tick();
}

void allocator_claim::observe(const std::optional<stored_object>& object, std::uint64_t era) {
    observed_claim seen;
    seen.version = {era, object ? object->revision : 0};
    seen.since = now();
    if (observed_ && observed_->version == seen.version) {
        return;
    }
    if (object) {
        error reason;
        object_reader reader(object->content, object->name, reason);
        seen.holder = reader.text("holder", max_name_length);
        seen.incarnation = reader.text("incarnation", max_name_length);
        seen.number =
            static_cast<std::uint64_t>(reader.integer("claim", 0, std::numeric_limits<std::int64_t>::max()));
        seen.is_complete = reader.boolean("complete", false);
        const nlohmann::json& list = reader.array("members");
        for (std::size_t index = 0; index < list.size() && reader.ok(); ++index) {
            object_reader entry(list[index], fmt::format("members[{}]", index), reason);
            share_holder listed;
            listed.name = entry.text("name", max_name_length);
            listed.incarnation = entry.text("incarnation", max_name_length);
            seen.holders.insert(std::move(listed));
        }
        if (!reader.ok()) {
            // Nobody can act under a claim that can't be read, but leases of former ones may be in use.
            log_.write(log_level::warning, "quota", "claim_not_readable", {{"reason", reason.describe()}});
            seen.is_complete = false;
        }
    } else {
        // A restore of the store may have removed a claim, and who holds shares is not known.
        seen.is_complete = era == 0;
        seen.number = era << era_shift;
    }
    observed_ = std::move(seen);
}

bool allocator_claim::has_ended() const {
    return observed_->holder == ended_holder_ && observed_->number == ended_number_ && ended_number_ > 0;
}

bool allocator_claim::is_free() const {
    // A former process of this daemon, or a claim that this process has given up.
    const bool is_former_own = observed_->holder == name_;
    const bool was_never_claimed = observed_->version == store_version{0, 0};
    return is_former_own || has_ended() || was_never_claimed ||
           now() >= observed_->since + settings_.claim_tenure;
}

void allocator_claim::begin_claim() {
    own_claim begun;
    begun.number = std::max({observed_->number, last_own_number_, era_ << era_shift}) + 1;
    last_own_number_ = begun.number;
    begun.era = era_;
    begun.revision = observed_->version.revision;
    begun.former_holders = observed_->holders;
    begun.former_is_complete = observed_->is_complete;
    own_ = std::move(begun);
    recorded_.clear();
    write();
}

void allocator_claim::write() {
    is_calling_ = true;
    must_write_ = false;
    const time_point sent_at = now();
    std::set<share_holder> listed = own_->confirmed_at ? holders() : own_->former_holders;
    // The write may be made without an answer, so a holder that it leaves out counts as not recorded.
    std::erase_if(recorded_, [&listed](const share_holder& entry) { return listed.count(entry) == 0; });
    stored_object object;
    object.name = object_name(own_->era);
    object.revision = own_->revision;
    object.content = content(listed);
    store_.put(store_collection::quotas, object,
               [this, sent_at, claim = own_->number, listed = std::move(listed),
                alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                   if (!alive.expired()) {
                       on_written(answer, sent_at, claim, listed);
                   }
               });
}

void allocator_claim::on_written(const store_answer& answer, time_point sent_at, std::uint64_t claim,
                                 const std::set<share_holder>& written) {
    is_calling_ = false;
    is_store_reachable_ = is_answered(answer);
    next_call_ = now() + retry_pause;
    if (!own_ || own_->number != claim) {
        return;
    }
    if (!is_answered(answer)) {
        return;
    }
    if (answer.era != own_->era) {
        era_ = std::max(era_, answer.era);
        lose("store_restored");
        return;
    }
    if (answer.outcome == store_outcome::done && answer.object) {
        own_->revision = answer.object->revision;
        const bool is_new = !own_->confirmed_at;
        own_->confirmed_at = sent_at;
        recorded_ = written;
        next_call_ = sent_at + settings_.claim_renewal;
        if (is_new) {
            log_.write(log_level::info, "quota", "allocator_claimed",
                       {{"claim", own_->number},
                        {"former_holders", own_->former_holders.size()},
                        {"complete", own_->former_is_complete}});
            on_granted(own_->former_holders, own_->former_is_complete);
        }
        return;
    }
    // An earlier write of this claim may have been made without an answer.
    observe(answer.object, answer.era);
    if (answer.object && observed_->holder == name_ && observed_->incarnation == incarnation_ &&
        observed_->number == claim) {
        own_->revision = answer.object->revision;
        next_call_ = now();
        return;
    }
    lose("replaced");
}

void allocator_claim::lose(std::string_view reason) {
    log_.write(
        log_level::info, "quota", "allocator_ended",
        {{"claim", own_->number}, {"reason", reason}, {"was_confirmed", own_->confirmed_at.has_value()}});
    own_.reset();
    observed_.reset();
    recorded_.clear();
    next_call_ = now();
}

std::string allocator_claim::object_name(std::uint64_t era) const {
    return era == 0 ? std::string(base_name) : fmt::format("{}-era-{}", base_name, era);
}

nlohmann::json allocator_claim::content(const std::set<share_holder>& listed) const {
    nlohmann::json members = nlohmann::json::array();
    for (const share_holder& entry : listed) {
        members.push_back({{"name", entry.name}, {"incarnation", entry.incarnation}});
    }
    return {{"holder", name_},
            {"incarnation", incarnation_},
            {"claim", own_->number},
            {"complete", own_->confirmed_at ? is_complete() : own_->former_is_complete},
            {"members", std::move(members)}};
}

} // namespace gentianhill
