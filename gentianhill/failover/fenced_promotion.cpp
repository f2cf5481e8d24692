#include "gentianhill/failover/fenced_promotion.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

constexpr std::array<std::string_view, 13> outcome_names{
    "promoted",        "superseded",          "replica_unreachable", "members_unknown", "still_replicating",
    "duty_refused",    "members_not_settled", "fence_lost",          "tenure_over",     "call_rejected",
    "outcome_unknown", "fences_released",     "primary_found"};

/// Time between two status queries that show whether a primary that is unreachable from here still
/// replicates.
constexpr duration replication_check = 200ms;
/// Pause after the platform has refused a call because of its rate limit.
constexpr duration throttle_pause = 100ms;

} // namespace

std::string_view to_string(fenced_promotion_outcome outcome) {
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

fenced_promotion::fenced_promotion(std::string group, duty_lease& lease, logger& log,
                                   const fenced_promotion_settings& settings, fenced_promotion_hooks hooks)
    : group_(std::move(group)), lease_(lease), log_(log), settings_(settings), hooks_(std::move(hooks)) {}

void fenced_promotion::start(std::vector<promotion_member> members, const std::string& old_primary,
                             term_number known_term, primary_verdict verdict, bool replace_if_replicating,
                             std::function<void(fenced_promotion_outcome, const std::string& id)> done) {
    const bool has_led = !old_primary.empty() && hooks_.has_led(old_primary);
    old_primary_ = has_led ? old_primary : "";
    claimant_ = has_led ? "" : old_primary;
    known_term_ = known_term;
    verdict_ = verdict;
    replace_if_replicating_ = replace_if_replicating;
    on_finished_ = std::move(done);
    started_at_ = hooks_.now();
    for (promotion_member& member : members) {
        if (member.id != old_primary_) {
            replicas_.push_back(std::move(member));
        }
    }
    log_.write(log_level::info, "failover", "promotion_started",
               {{"group", group_},
                {"old_primary", old_primary_},
                {"claimant", claimant_},
                {"term", known_term_},
                {"verdict", to_string(verdict_)},
                {"replicas", replicas_.size()}});
    if (replicas_.empty()) {
        finish(fenced_promotion_outcome::replica_unreachable);
        return;
    }
    query_replicas();
}

void fenced_promotion::ask(const std::vector<promotion_member>& asked, bool fence,
                           const std::function<void()>& done) {
    unanswered_ = asked.size();
    if (asked.empty()) {
        done();
        return;
    }
    for (const promotion_member& replica : asked) {
        fenced_promotion_hooks::answer_handler handler =
            [self = shared_from_this(), done, id = replica.id](const std::optional<member_answer>& answer) {
                if (answer) {
                    self->answers_.insert_or_assign(id, *answer);
                } else {
                    self->log_.write(log_level::warning, "failover", "replica_silent",
                                     {{"group", self->group_}, {"instance", id}});
                }
                if (--self->unanswered_ == 0) {
                    done();
                }
            };
        if (fence) {
            hooks_.fence(replica.id, fence_term_, std::move(handler));
        } else {
            hooks_.ask_status(replica.id, std::move(handler));
        }
    }
}

void fenced_promotion::ask_all(bool fence, void (fenced_promotion::*next)()) {
    answers_.clear();
    const std::function<void()> done = [self = shared_from_this(), fence, next] {
        if (fence) {
            self->fenced_ = self->answers_;
        }
        if (self->answers_.size() < self->replicas_.size() && !self->can_pass_over_missing()) {
            self->finish(fenced_promotion_outcome::replica_unreachable);
        } else {
            ((*self).*next)();
        }
    };
    // Copied, because an answer may arrive synchronously and end the promotion.
    std::vector<promotion_member> first = replicas_;
    std::vector<promotion_member> second;
    if (fence) {
        // Replicas that should not be chosen receive nothing more before the others, so that another one has
        // the longest log if it can.
        const std::vector<promotion_member>::iterator others =
            std::stable_partition(first.begin(), first.end(), [](const promotion_member& replica) {
                return replica.draining || replica.departed;
            });
        second.assign(others, first.end());
        first.erase(others, first.end());
    }
    ask(first, fence, [self = shared_from_this(), second, fence, done] { self->ask(second, fence, done); });
}

log_position fenced_promotion::longest_log_end() const {
    log_position longest;
    for (const std::map<std::string, member_answer>::value_type& answer : answers_) {
        longest = std::max(longest, answer.second.status.log_end);
    }
    return longest;
}

void fenced_promotion::query_replicas() {
    ask_all(false, &fenced_promotion::on_replicas_queried);
}

bool fenced_promotion::judge_leaders() {
    return judge_claimant() && judge_departed();
}

void fenced_promotion::leave_out(const std::string& id) {
    old_primary_ = id;
    std::erase_if(replicas_, [&id](const promotion_member& member) { return member.id == id; });
}

bool fenced_promotion::judge_departed() {
    std::string leader;
    for (const promotion_member& replica : replicas_) {
        const std::map<std::string, member_answer>::const_iterator answer = answers_.find(replica.id);
        if (!replica.departed || answer == answers_.end() || !answer->second.status.is_primary) {
            continue;
        }
        if (answer->second.status.term < known_term_) {
            hooks_.step_down(replica.id, known_term_);
            return false;
        }
        if (answer->second.status.term == known_term_) {
            leader = replica.id;
        }
    }
    if (!leader.empty()) {
        log_.write(log_level::info, "failover", "departed_leads",
                   {{"group", group_}, {"instance", leader}, {"term", known_term_}});
        answers_.erase(leader);
        leave_out(leader);
    }
    return true;
}

bool fenced_promotion::judge_claimant() {
    const std::string claimant = std::exchange(claimant_, "");
    if (claimant.empty()) {
        return true;
    }
    const std::map<std::string, member_answer>::const_iterator answer = answers_.find(claimant);
    const bool leads = answer != answers_.end() && answer->second.status.is_primary;
    if (leads && answer->second.status.term < known_term_) {
        // It becomes a replica and is then fenced like the others.
        hooks_.step_down(claimant, known_term_);
        return false;
    }
    if (answer == answers_.end()) {
        leave_out(claimant);
    }
    log_.write(log_level::info, "failover", "claimant_judged",
               {{"group", group_},
                {"instance", claimant},
                {"answered", answer != answers_.end()},
                {"primary", leads},
                {"term", answer != answers_.end() ? answer->second.status.term : 0}});
    return true;
}

std::optional<fenced_promotion_outcome> fenced_promotion::reason_to_stop() const {
    if (hooks_.known_term() > known_term_ || old_primary_follows_) {
        return fenced_promotion_outcome::superseded;
    }
    const std::string leader = hooks_.known_primary();
    if (!leader.empty() && (leader != old_primary_ || verdict_ == primary_verdict::missing)) {
        return fenced_promotion_outcome::primary_found;
    }
    return std::nullopt;
}

void fenced_promotion::on_replicas_queried() {
    if (!judge_leaders()) {
        finish(fenced_promotion_outcome::superseded);
        return;
    }
    if (replicas_.empty()) {
        finish(fenced_promotion_outcome::replica_unreachable);
        return;
    }
    term_number newest = known_term_;
    term_number fenced = 0;
    for (const std::map<std::string, member_answer>::value_type& answer : answers_) {
        const instance_status& status = answer.second.status;
        if (status.is_primary && status.term >= known_term_) {
            finish(fenced_promotion_outcome::superseded);
            return;
        }
        newest = std::max(newest, status.term);
        fenced = std::max(fenced, status.fenced_term);
    }
    // The replicas follow a primary that is not known here. It has to be found before its state can be
    // judged.
    if (newest > known_term_) {
        finish(fenced_promotion_outcome::superseded);
        return;
    }
    fence_term_ = std::max(newest + 1, fenced);
    first_longest_log_ = longest_log_end();
    // A primary that is unreachable only from this daemon continues to replicate and to serve other proxies.
    const bool out_of_reach =
        verdict_ == primary_verdict::unreachable || verdict_ == primary_verdict::missing;
    const bool is_fenced = fenced > newest;
    if (out_of_reach && !is_fenced && !replace_if_replicating_) {
        hooks_.call_after(replication_check, [self = shared_from_this()] {
            self->ask_all(false, &fenced_promotion::on_replicas_queried_again);
        });
        return;
    }
    claim();
}

void fenced_promotion::on_replicas_queried_again() {
    if (longest_log_end() > first_longest_log_) {
        finish(fenced_promotion_outcome::still_replicating);
        return;
    }
    claim();
}

void fenced_promotion::claim() {
    const bool promotes = verdict_ != primary_verdict::replicas_fenced;
    lease_.claim(group_, promotes ? fence_term_ : known_term_,
                 [self = shared_from_this()](std::optional<std::uint64_t> token, claim_refusal reason) {
                     if (token) {
                         self->on_claimed();
                         return;
                     }
                     self->log_.write(log_level::info, "failover", "duty_refused",
                                      {{"group", self->group_}, {"reason", to_string(reason)}});
                     self->finish(fenced_promotion_outcome::duty_refused);
                 });
}

void fenced_promotion::on_claimed() {
    if (verdict_ == primary_verdict::replicas_fenced) {
        // The status is queried again under the duty, because from now on no other daemon fences or promotes.
        ask_all(false, &fenced_promotion::release_stale_fences);
        return;
    }
    // An instance that has just started may already receive from the old primary and so let it acknowledge
    // commits.
    hooks_.list_members(
        [self = shared_from_this()](const std::optional<std::vector<promotion_member>>& listed) {
            if (!listed) {
                self->finish(fenced_promotion_outcome::members_unknown);
                return;
            }
            // The list may include a departure or restart that the store's watch has not reported yet.
            if (!self->hooks_.is_settled()) {
                self->finish(fenced_promotion_outcome::members_not_settled);
                return;
            }
            const std::optional<fenced_promotion_outcome> reason = self->reason_to_stop();
            if (reason) {
                self->finish(*reason);
                return;
            }
            self->add_missing_members(*listed);
            self->fence_replicas();
        });
}

void fenced_promotion::release_stale_fences() {
    for (const std::map<std::string, member_answer>::value_type& answer : answers_) {
        const instance_status& status = answer.second.status;
        if (status.is_primary || status.term > known_term_) {
            finish(fenced_promotion_outcome::superseded);
            return;
        }
        if (!status.accepts_replication()) {
            fenced_.insert(answer);
        }
    }
    finish(fenced_promotion_outcome::fences_released);
}

bool fenced_promotion::is_known(const promotion_member& member) const {
    return member.id == old_primary_ ||
           std::any_of(replicas_.begin(), replicas_.end(),
                       [&member](const promotion_member& replica) { return replica.id == member.id; });
}

bool fenced_promotion::has_unknown_member(const std::vector<promotion_member>& listed) const {
    return std::any_of(listed.begin(), listed.end(),
                       [this](const promotion_member& member) { return !is_known(member); });
}

void fenced_promotion::add_missing_members(const std::vector<promotion_member>& listed) {
    update_members(listed);
    // An instance whose present entry says that it follows is a replica, even if an older one has claimed the
    // lead, unless it has answered itself that it led the newest term.
    const bool follows = std::any_of(listed.begin(), listed.end(), [this](const promotion_member& member) {
        return member.id == old_primary_ && !member.claims_primary;
    });
    if (follows && !hooks_.has_led(old_primary_)) {
        old_primary_.clear();
    }
    for (const promotion_member& member : listed) {
        if (!is_known(member)) {
            replicas_.push_back(member);
        }
    }
}

void fenced_promotion::fence_replicas() {
    ask_all(true, &fenced_promotion::on_fenced);
}

void fenced_promotion::on_fenced() {
    for (const std::map<std::string, member_answer>::value_type& answer : fenced_) {
        const instance_status& status = answer.second.status;
        log_.write(log_level::info, "failover", "replica_fenced",
                   {{"group", group_},
                    {"instance", answer.first},
                    {"term", status.fenced_term},
                    {"log_term", status.log_end.term},
                    {"log_position", status.log_end.position}});
        if (status.is_primary || status.term >= fence_term_) {
            finish(fenced_promotion_outcome::superseded);
            return;
        }
        if (status.fenced_term < fence_term_) {
            finish(fenced_promotion_outcome::fence_lost);
            return;
        }
    }
    if (!old_primary_.empty()) {
        // Its answer arrives during the wait, if it is in reach. As a replica of a newer primary it would
        // have to be fenced.
        hooks_.ask_status(old_primary_,
                          [self = shared_from_this()](const std::optional<member_answer>& answer) {
                              self->old_primary_follows_ = answer && !answer->status.is_primary &&
                                                           answer->status.term > self->known_term_;
                          });
        hooks_.step_down(old_primary_, fence_term_);
    }
    hooks_.call_after(settings_.trust_wait, [self = shared_from_this()] { self->recheck_members(); });
}

void fenced_promotion::recheck_members() {
    // An instance that has returned in the meantime is not fenced, so the old primary may commit through it.
    hooks_.list_members(
        [self = shared_from_this()](const std::optional<std::vector<promotion_member>>& listed) {
            if (!listed) {
                self->finish(fenced_promotion_outcome::members_unknown);
            } else if (self->has_unknown_member(*listed)) {
                self->finish(fenced_promotion_outcome::fence_lost);
            } else {
                self->update_leaving(*listed);
                self->ask_all(false, &fenced_promotion::on_replicas_rechecked);
            }
        });
}

void fenced_promotion::update_members(const std::vector<promotion_member>& listed) {
    for (promotion_member& replica : replicas_) {
        const std::vector<promotion_member>::const_iterator found =
            std::find_if(listed.begin(), listed.end(),
                         [&replica](const promotion_member& member) { return member.id == replica.id; });
        if (found != listed.end()) {
            replica.draining = replica.draining || found->draining;
            replica.departed = false;
        }
    }
}

void fenced_promotion::update_leaving(const std::vector<promotion_member>& listed) {
    update_members(listed);
    for (const promotion_member& replica : replicas_) {
        const bool is_listed =
            std::any_of(listed.begin(), listed.end(),
                        [&replica](const promotion_member& member) { return member.id == replica.id; });
        if (replica.draining || !is_listed) {
            leaving_.insert(replica.id);
        }
    }
}

bool fenced_promotion::can_pass_over_missing() const {
    const log_position longest = longest_log_end();
    return std::all_of(replicas_.begin(), replicas_.end(), [&](const promotion_member& replica) {
        return answers_.count(replica.id) > 0 || can_pass_over(replica, longest);
    });
}

bool fenced_promotion::can_pass_over(const promotion_member& replica, log_position longest) const {
    if (replica.id == claimant_) {
        return true;
    }
    // A primary that leaves is in reach, and is told to step down before another instance is promoted. Where
    // fences are only released, nothing depends on one that does not answer.
    const bool may_be_silent =
        verdict_ == primary_verdict::leaving || verdict_ == primary_verdict::replicas_fenced;
    if (replica.departed && (may_be_silent || hooks_.has_ended(replica.id))) {
        return true;
    }
    // A fenced replica receives nothing, so its log has not grown since. One that leaves does not start again
    // without its fence.
    const std::map<std::string, member_answer>::const_iterator fenced = fenced_.find(replica.id);
    return leaving_.count(replica.id) > 0 && fenced != fenced_.end() &&
           fenced->second.status.log_end <= longest;
}

void fenced_promotion::on_replicas_rechecked() {
    for (const std::map<std::string, member_answer>::value_type& answer : answers_) {
        const std::map<std::string, member_answer>::const_iterator fenced = fenced_.find(answer.first);
        if (fenced == fenced_.end()) {
            // It was taken for ended when the others were fenced.
            finish(fenced_promotion_outcome::fence_lost);
            return;
        }
        const member_answer& before = fenced->second;
        const member_answer& after = answer.second;
        // The call of an earlier holder of the duty has taken effect in the meantime.
        if (after.status.is_primary || after.status.term >= fence_term_) {
            finish(fenced_promotion_outcome::superseded);
            return;
        }
        // A restart closes the connection and may lose the fence and the log on which the choice is based.
        if (before.connection != after.connection || after.status.fenced_term < fence_term_ ||
            after.status.log_end != before.status.log_end) {
            finish(fenced_promotion_outcome::fence_lost);
            return;
        }
    }
    // The instance whose log settled the group may have started again without it, before its entry shows it.
    if (!hooks_.is_settled() || longest_log_end() < hooks_.settled_position()) {
        finish(fenced_promotion_outcome::members_not_settled);
        return;
    }
    const std::optional<fenced_promotion_outcome> reason = reason_to_stop();
    if (reason) {
        finish(*reason);
        return;
    }
    candidate_ = choose_candidate();
    if (candidate_.empty()) {
        finish(fenced_promotion_outcome::replica_unreachable);
        return;
    }
    call_platform();
}

std::string fenced_promotion::choose_candidate() const {
    const log_position longest = longest_log_end();
    std::string draining;
    for (const promotion_member& replica : replicas_) {
        const std::map<std::string, member_answer>::const_iterator answer = answers_.find(replica.id);
        if (replica.departed || answer == answers_.end() || answer->second.status.log_end != longest) {
            continue;
        }
        if (!replica.draining) {
            return replica.id;
        }
        draining = replica.id;
    }
    // If only a leaving instance has the longest log, it becomes primary and is then replaced in turn.
    return draining;
}

void fenced_promotion::call_platform() {
    if (!lease_.is_held()) {
        if (may_take_effect_) {
            wait_for_effect();
        } else {
            finish(fenced_promotion_outcome::tenure_over);
        }
        return;
    }
    last_call_at_ = hooks_.now();
    log_.write(
        log_level::info, "failover", "promotion_called",
        {{"group", group_}, {"instance", candidate_}, {"token", lease_.token()}, {"term", fence_term_}});
    hooks_.promote(candidate_, lease_.token(), [self = shared_from_this()](promotion_call_result outcome) {
        self->on_call_result(outcome);
    });
}

void fenced_promotion::on_call_result(promotion_call_result outcome) {
    last_call_result_ = outcome;
    may_take_effect_ = may_take_effect_ || outcome == promotion_call_result::accepted ||
                       outcome == promotion_call_result::unknown;
    switch (outcome) {
    case promotion_call_result::rejected:
        // An earlier call whose answer was lost may still take effect.
        if (may_take_effect_) {
            wait_for_effect();
        } else {
            finish(fenced_promotion_outcome::call_rejected);
        }
        return;
    case promotion_call_result::throttled:
        hooks_.call_after(throttle_pause, [self = shared_from_this()] { self->call_platform(); });
        return;
    case promotion_call_result::accepted:
    case promotion_call_result::unknown:
        wait_for_effect();
        return;
    }
}

void fenced_promotion::wait_for_effect() {
    hooks_.call_after(settings_.effect_poll_interval, [self = shared_from_this()] {
        self->hooks_.ask_status(self->candidate_, [self](const std::optional<member_answer>& answer) {
            self->on_effect_status(answer);
        });
    });
}

void fenced_promotion::on_effect_status(const std::optional<member_answer>& answer) {
    if (answer && answer->status.is_primary && answer->status.term > known_term_) {
        fence_term_ = answer->status.term;
        finish(fenced_promotion_outcome::promoted);
        return;
    }
    const time_point current = hooks_.now();
    if (current - last_call_at_ >= settings_.effect_timeout) {
        finish(fenced_promotion_outcome::outcome_unknown);
        return;
    }
    if (last_call_result_ == promotion_call_result::unknown && lease_.is_held() &&
        current - last_call_at_ >= settings_.call_retry_delay) {
        call_platform();
        return;
    }
    wait_for_effect();
}

void fenced_promotion::log_followers() {
    for (const promotion_member& replica : replicas_) {
        if (replica.id == candidate_) {
            continue;
        }
        hooks_.ask_status(replica.id, [self = shared_from_this(),
                                       id = replica.id](const std::optional<member_answer>& answer) {
            const bool follows = answer && answer->status.term >= self->fence_term_;
            self->log_.write(log_level::info, "failover",
                             follows ? "replica_follows" : "replica_stays_fenced",
                             {{"group", self->group_},
                              {"instance", id},
                              {"answered", answer.has_value()},
                              {"term", answer ? answer->status.term : 0},
                              {"fenced_term", answer ? answer->status.fenced_term : 0}});
        });
    }
}

void fenced_promotion::remove_fences(fenced_promotion_outcome outcome) {
    // Once the lease has expired, another holder may rely on these fences.
    if (fenced_.empty() || !lease_.is_held()) {
        report_outcome(outcome, fenced_.empty());
        return;
    }
    // An instance that did not answer its fence request is skipped: the unfence request could arrive much
    // later.
    unanswered_ = fenced_.size();
    missing_answer_ = false;
    // Copied, because an answer may arrive synchronously and end the promotion.
    const std::map<std::string, member_answer> fenced = fenced_;
    for (const std::map<std::string, member_answer>::value_type& entry : fenced) {
        hooks_.unfence(entry.first,
                       [self = shared_from_this(), outcome](const std::optional<member_answer>& answer) {
                           self->missing_answer_ = self->missing_answer_ || !answer;
                           if (--self->unanswered_ == 0) {
                               self->report_outcome(outcome, !self->missing_answer_);
                           }
                       });
    }
}

void fenced_promotion::finish(fenced_promotion_outcome outcome) {
    switch (outcome) {
    case fenced_promotion_outcome::promoted:
        if (!old_primary_.empty()) {
            hooks_.step_down(old_primary_, fence_term_);
        }
        log_followers();
        report_outcome(outcome, true);
        return;
    case fenced_promotion_outcome::superseded:
        // The fences remain: they have no effect on replicas that follow the newer primary, and without them
        // the others would accept changes from the old one.
        report_outcome(outcome, true);
        return;
    case fenced_promotion_outcome::outcome_unknown:
        report_outcome(outcome, false);
        return;
    default:
        remove_fences(outcome);
        return;
    }
}

void fenced_promotion::report_outcome(fenced_promotion_outcome outcome, bool nothing_pending) {
    // Pending requests and calls arrive and take effect before an unreleased claim can be taken over.
    if (nothing_pending) {
        lease_.release(outcome == fenced_promotion_outcome::promoted          ? std::optional(fence_term_)
                       : outcome == fenced_promotion_outcome::fences_released ? std::optional(known_term_)
                                                                              : std::nullopt);
    } else {
        lease_.abandon(may_take_effect_);
    }
    log_.write(outcome == fenced_promotion_outcome::promoted ? log_level::info : log_level::warning,
               "failover", "promotion_ended",
               {{"group", group_},
                {"result", to_string(outcome)},
                {"instance", candidate_},
                {"term", fence_term_},
                {"duty_released", nothing_pending},
                {"ms", to_milliseconds(hooks_.now() - started_at_)}});
    const std::function<void(fenced_promotion_outcome, const std::string&)> done = std::move(on_finished_);
    on_finished_ = nullptr;
    done(outcome, candidate_);
}

} // namespace gentianhill
