#include "gentianhill/quota/team_quota.h"

#include "gentianhill/core/rendezvous.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

using namespace std::chrono_literals;

/// Counters of a zone among which the teams are divided. A few are enough for the requests of a hundred
/// daemons, and each costs messages to the allocator.
constexpr std::uint64_t counters_per_zone = 4;
constexpr std::string_view counter_subject = "quota-counter-";
constexpr std::string_view allocator_subject = "quota-allocator";
/// Pause before a daemon that did not answer is tried as allocator again. A frozen one costs a timeout each
/// time.
constexpr duration allocator_pause = 3s;
/// Pause before the next request after one that named no allocator.
constexpr duration search_pause = 100ms;
/// The same after one that failed, so that few daemons call a store that is down.
constexpr duration failed_pause = 300ms;
/// Time after which an allocator that nobody asks ends its claim, which costs calls to the store.
constexpr duration idle_allocator_limit = 30s;
/// Pause between questions of a new allocator to a process that may hold shares.
constexpr duration holdings_pause = 300ms;
/// Time for which a process that asked for shares is kept in the claim without having any.
constexpr duration record_time = 5s;
/// Time after the start in which the daemons have listed themselves, so that the first one is known.
constexpr duration start_delay = 1500ms;
/// Refusals of a team are logged together for this time.
constexpr duration refusal_log_interval = 1s;

} // namespace

team_quota::team_quota(const quota_settings& settings, const daemon_directory& directory, relay_port& port,
                       metadata_store& store, logger& log, metrics& registry, std::string incarnation,
                       time_point started_at)
    : settings_(settings),
      directory_(directory),
      port_(port),
      log_(log),
      incarnation_(std::move(incarnation)),
      started_at_(started_at),
      grants_(settings),
      counter_(settings, directory.name(), incarnation_, started_at),
      claim_(store, log, settings, directory.name(), incarnation_),
      ledger_(settings),
      admitted_(registry.add_counter("gentianhill_quota_admitted_total",
                                     "Operations admitted under the limit of their team.")),
      tokens_asked_(registry.add_counter("gentianhill_quota_token_requests_total",
                                         "Requests for tokens to the counters of the zone.")),
      tokens_failed_(registry.add_counter("gentianhill_quota_token_requests_failed_total",
                                          "Requests for tokens without a valid answer.")),
      shares_asked_(registry.add_counter("gentianhill_quota_share_requests_total",
                                         "Requests of this counter for shares.")),
      shares_failed_(registry.add_counter("gentianhill_quota_share_requests_failed_total",
                                          "Requests for shares that brought none.")),
      shares_answered_(registry.add_counter("gentianhill_quota_shares_leased_total",
                                            "Answers of this allocator that leased shares.")),
      messages_refused_(registry.add_counter("gentianhill_quota_messages_refused_total",
                                             "Messages of other daemons that are not valid.")),
      tokens_held_(registry.add_gauge("gentianhill_quota_tokens", "Tokens that can be used at present.")),
      waiting_(registry.add_gauge("gentianhill_quota_waiting", "Operations that wait for tokens.")),
      teams_counted_(
          registry.add_gauge("gentianhill_quota_teams_counted", "Teams of which this counter has a share.")),
      allocating_(
          registry.add_gauge("gentianhill_quota_allocating", "1 while this daemon leases shares, else 0.")) {
    for (const quota_refusal refusal : {quota_refusal::exhausted, quota_refusal::unassigned}) {
        refused_[refusal] = &registry.add_counter("gentianhill_quota_refused_total",
                                                  "Operations refused under the limit of their team.",
                                                  {{"reason", std::string(to_string(refusal))}});
    }
    grants_.now = [this] { return now(); };
    grants_.ask = [this](const tokens_request& request) { ask_counter(request); };
    counter_.whole = [this](const std::string& team) { return whole(team); };
    ledger_.whole = [this](const std::string& team) { return whole(team); };
    claim_.now = [this] { return now(); };
    claim_.holders = [this] { return recorded_holders(); };
    claim_.is_complete = [this] { return ledger_.is_complete(now()); };
    claim_.on_granted = [this](const std::set<share_holder>& former_holders, bool is_complete) {
        begin_allocation(former_holders, is_complete);
    };
    claim_.ask_holder = [this](const std::string& holder, std::uint64_t claim) {
        ask_holdings(holder, {directory_.name(), 0, claim},
                     [this, holder, claim](const holdings_answer& answer) {
                         if (answer.allocates) {
                             claim_.on_holder_alive();
                         } else {
                             claim_.on_holder_ended(holder, claim);
                         }
                     });
    };
}

quota_port team_quota::make_port() {
    quota_port result;
    if (settings_.window > duration(0)) {
        result.admit = [this](const std::shared_ptr<const team>& caller,
                              const std::function<void(bool)>& done) { admit(caller, done); };
    }
    return result;
}

void team_quota::admit(const std::shared_ptr<const team>& caller, const std::function<void(bool)>& done) {
    if (caller == nullptr || !caller->rate) {
        done(true);
        return;
    }
    grants_.admit(caller->name,
                  [this, caller, done, alive = std::weak_ptr<bool>(alive_)](quota_refusal refusal) {
                      if (!alive.expired()) {
                          count(caller->name, refusal);
                      }
                      done(refusal == quota_refusal::none);
                  });
    schedule_waits();
}

void team_quota::count(const std::string& team, quota_refusal refusal) {
    if (refusal == quota_refusal::none) {
        admitted_.add();
        return;
    }
    refused_.at(refusal)->add();
    refusal_record& record = refusals_[team];
    ++record.count;
    record.reason = refusal;
}

void team_quota::log_refusals() {
    const time_point current = now();
    for (std::map<std::string, refusal_record>::iterator entry = refusals_.begin();
         entry != refusals_.end();) {
        refusal_record& record = entry->second;
        if (current - record.logged_at < refusal_log_interval) {
            ++entry;
        } else if (record.count == 0) {
            entry = refusals_.erase(entry);
        } else {
            log_.write(log_level::info, "quota", "operations_refused",
                       {{"team", entry->first},
                        {"count", record.count},
                        {"reason", to_string(record.reason)},
                        {"counter", counter_of(entry->first)}});
            record.logged_at = current;
            record.count = 0;
            ++entry;
        }
    }
}

void team_quota::schedule_waits() {
    const std::optional<time_point> next = grants_.next_action();
    if (!next || (wake_at_ && *wake_at_ <= *next)) {
        return;
    }
    wake_at_ = next;
    call_after(std::max(*next - now(), duration(0)), [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            wake_at_.reset();
            grants_.tick();
            schedule_waits();
        }
    });
}

void team_quota::tick() {
    if (settings_.window <= duration(0)) {
        return;
    }
    claim_at_start();
    claim_.tick();
    if (claim_.may_act()) {
        ask_unreported();
        if (now() - last_shares_request_ > idle_allocator_limit) {
            claim_.end();
        }
    }
    ask_allocator_if_due();
    grants_.tick();
    schedule_waits();
    log_refusals();
    tokens_held_.set(static_cast<double>(grants_.tokens()));
    waiting_.set(static_cast<double>(grants_.waiting()));
    teams_counted_.set(static_cast<double>(counter_.team_count(now())));
    allocating_.set(claim_.may_act() ? 1 : 0);
}

void team_quota::claim_at_start() {
    if (claimed_at_start_ || stopped_ || !has_limits() || now() - started_at_ < start_delay) {
        return;
    }
    claimed_at_start_ = true;
    // Tokens are ready when the first operations arrive.
    if (choose_allocator() == directory_.name()) {
        claim_.want();
    }
}

void team_quota::stop() {
    stopped_ = true;
    claim_.end();
    counter_.release(now());
}

std::string team_quota::counter_of(const std::string& team) const {
    const std::uint64_t index = rendezvous_weight(counter_subject, team) % counters_per_zone;
    for (const std::string& name : directory_.zone_order(fmt::format("{}{}", counter_subject, index))) {
        const bool is_own = name == directory_.name();
        if (is_own ? !stopped_ : port_.ask && !is_paused(name) && directory_.address_of(name)) {
            return name;
        }
    }
    return directory_.name();
}

void team_quota::ask_counter(const tokens_request& request) {
    const std::string counter = counter_of(request.team);
    const time_point asked_at = now();
    tokens_request message = request;
    message.daemon = directory_.name();
    tokens_asked_.add();
    if (counter == directory_.name()) {
        const tokens_answer answer = counter_.on_request(message, asked_at);
        call_after(duration(0),
                   [this, team = request.team, asked_at, answer, alive = std::weak_ptr<bool>(alive_)] {
                       if (!alive.expired()) {
                           grants_.on_answer(team, asked_at, answer);
                           schedule_waits();
                       }
                   });
        ask_allocator_if_due();
        return;
    }
    port_.ask(*directory_.address_of(counter), relay_request_kind::quota_tokens, message.to_json(),
              settings_.counter_timeout,
              [this, counter, team = request.team, asked_at, alive = std::weak_ptr<bool>(alive_)](
                  const std::optional<nlohmann::json>& answer, const error& reason) {
                  if (!alive.expired()) {
                      on_tokens_message(counter, team, asked_at, answer, reason);
                  }
              });
}

void team_quota::on_tokens_message(const std::string& counter, const std::string& team, time_point asked_at,
                                   const std::optional<nlohmann::json>& message, const error& reason) {
    error failure = reason;
    std::optional<tokens_answer> answer;
    if (message) {
        answer = tokens_answer::from_json(*message, failure);
    }
    if (!answer) {
        tokens_failed_.add();
        pause(counter, settings_.failure_pause);
        log_.write(log_level::warning, "quota", "counter_failed",
                   {{"counter", counter}, {"team", team}, {"reason", failure.describe()}});
    }
    grants_.on_answer(team, asked_at, answer);
    schedule_waits();
}

void team_quota::on_tokens_request(const nlohmann::json& message, const relay_answer_handler& respond) {
    error reason;
    const std::optional<tokens_request> request = tokens_request::from_json(message, reason);
    if (!request) {
        messages_refused_.add();
        respond(std::nullopt, reason);
        return;
    }
    const tokens_answer answer = counter_.on_request(*request, now());
    respond(answer.to_json(), {});
    ask_allocator_if_due();
}

void team_quota::ask_allocator_if_due() {
    const time_point current = now();
    if (open_request_ != 0 || current < next_allocator_request_) {
        return;
    }
    const std::optional<time_point> due = counter_.next_request_at(current);
    if (due && current >= *due) {
        ask_allocator();
    }
}

std::string team_quota::choose_allocator() const {
    if (claim_.may_act()) {
        return directory_.name();
    }
    const auto can_ask = [this](const std::string& name) {
        return name == directory_.name() ? !stopped_
                                         : port_.ask && !is_paused(name) && directory_.address_of(name);
    };
    if (allocator_ && can_ask(*allocator_)) {
        return *allocator_;
    }
    std::vector<std::string> names{directory_.name()};
    for (const std::map<std::string, directory_entry, std::less<>>::value_type& entry :
         directory_.entries()) {
        names.push_back(entry.first);
    }
    for (const std::string& name : rendezvous_order(allocator_subject, std::move(names))) {
        if (can_ask(name)) {
            return name;
        }
    }
    return directory_.name();
}

void team_quota::ask_allocator() {
    const std::string allocator = choose_allocator();
    const time_point asked_at = now();
    const shares_request request = counter_.make_request(asked_at);
    shares_asked_.add();
    if (allocator == directory_.name()) {
        error reason;
        const std::optional<shares_answer> answer = answer_shares(request, reason);
        if (answer) {
            on_shares_answer(*answer, asked_at);
        } else {
            counter_.on_failure(asked_at);
        }
        return;
    }
    open_request_ = request.number;
    port_.ask(*directory_.address_of(allocator), relay_request_kind::quota_shares, request.to_json(),
              settings_.allocator_timeout,
              [this, allocator, number = request.number, asked_at, alive = std::weak_ptr<bool>(alive_)](
                  const std::optional<nlohmann::json>& message, const error& reason) {
                  if (!alive.expired()) {
                      on_shares_message(allocator, number, asked_at, message, reason);
                  }
              });
}

void team_quota::on_shares_message(const std::string& allocator, std::uint64_t number, time_point asked_at,
                                   const std::optional<nlohmann::json>& message, const error& reason) {
    if (number != open_request_) {
        return;
    }
    open_request_ = 0;
    error failure = reason;
    std::optional<shares_answer> answer;
    if (message) {
        answer = shares_answer::from_json(*message, failure);
    }
    if (answer && answer->daemon != allocator) {
        failure = error{error_code::mismatched_answer, "daemon", answer->daemon, allocator};
        answer.reset();
    }
    if (answer) {
        on_shares_answer(*answer, asked_at);
        return;
    }
    shares_failed_.add();
    const bool lacks_store = failure.code == error_code::platform_unavailable;
    pause(allocator, lacks_store ? settings_.failure_pause : allocator_pause);
    log_.write(log_level::warning, "quota", "allocator_failed",
               {{"allocator", allocator}, {"reason", failure.describe()}});
    counter_.on_failure(now());
    allocator_.reset();
    next_allocator_request_ = now() + failed_pause;
}

void team_quota::on_shares_answer(const shares_answer& answer, time_point asked_at) {
    const time_point current = now();
    const bool is_applied = counter_.on_answer(answer, asked_at, current);
    if (is_applied) {
        allocator_ = answer.daemon;
        return;
    }
    shares_failed_.add();
    allocator_ =
        answer.outcome == shares_outcome::not_recorded ? std::optional(answer.daemon) : answer.allocator;
    next_allocator_request_ = current + search_pause;
}

void team_quota::on_shares_request(const nlohmann::json& message, const relay_answer_handler& respond) {
    error reason;
    const std::optional<shares_request> request = shares_request::from_json(message, reason);
    if (!request) {
        messages_refused_.add();
        respond(std::nullopt, reason);
        return;
    }
    const std::optional<shares_answer> answer = answer_shares(*request, reason);
    respond(answer ? std::optional(answer->to_json()) : std::nullopt, reason);
}

std::optional<shares_answer> team_quota::answer_shares(const shares_request& request, error& reason) {
    const time_point current = now();
    shares_answer answer;
    answer.daemon = directory_.name();
    answer.allocator = claim_.holder();
    claim_.end_if_lapsed();
    if (!claim_.may_act()) {
        claim_.want();
        claim_.tick();
        if (!claim_.is_store_reachable()) {
            // The sender turns to the next daemon.
            reason = error{error_code::platform_unavailable, "store", "", "another daemon"};
            return std::nullopt;
        }
        return answer;
    }
    last_shares_request_ = current;
    answer.claim = claim_.number();
    const share_holder holder{request.daemon, request.incarnation};
    if (!claim_.is_recorded(holder)) {
        awaiting_record_[holder] = current;
        claim_.update_holders();
        claim_.tick();
        answer.outcome = shares_outcome::not_recorded;
        return answer;
    }
    std::optional<std::vector<assigned_share>> shares =
        ledger_.assign(request, current, claim_.is_at_risk(), reason);
    if (!shares) {
        return std::nullopt;
    }
    answer.outcome = ledger_.is_open(current) ? shares_outcome::assigned : shares_outcome::extended;
    answer.shares = std::move(*shares);
    shares_answered_.add();
    return answer;
}

void team_quota::on_holdings_request(const nlohmann::json& message, const relay_answer_handler& respond) {
    error reason;
    const std::optional<holdings_request> request = holdings_request::from_json(message, reason);
    if (!request) {
        messages_refused_.add();
        respond(std::nullopt, reason);
        return;
    }
    holdings_answer answer;
    answer.daemon = directory_.name();
    answer.incarnation = incarnation_;
    answer.running = now() - started_at_;
    answer.allocates = request->awaited_claim > 0 && claim_.answer_awaiting(request->awaited_claim);
    if (request->claim > 0) {
        answer.teams = counter_.report(request->claim, now());
        // The sender has begun to allocate.
        allocator_ = request->daemon;
        paused_until_.erase(request->daemon);
        next_allocator_request_ = now();
    }
    respond(answer.to_json(), {});
}

void team_quota::ask_holdings(const std::string& daemon, const holdings_request& request,
                              const std::function<void(const holdings_answer&)>& done) {
    const std::optional<endpoint> address = directory_.address_of(daemon);
    if (!port_.ask || !address) {
        return;
    }
    port_.ask(*address, relay_request_kind::quota_holdings, request.to_json(), settings_.allocator_timeout,
              [this, daemon, done, alive = std::weak_ptr<bool>(alive_)](
                  const std::optional<nlohmann::json>& message, const error& reason) {
                  if (alive.expired()) {
                      return;
                  }
                  error failure = reason;
                  std::optional<holdings_answer> answer;
                  if (message) {
                      answer = holdings_answer::from_json(*message, failure);
                  }
                  if (answer && answer->daemon == daemon) {
                      done(*answer);
                      return;
                  }
                  log_.write(log_level::info, "quota", "holdings_unknown",
                             {{"daemon", daemon}, {"reason", failure.describe()}});
              });
}

void team_quota::begin_allocation(const std::set<share_holder>& former_holders, bool is_complete) {
    awaiting_record_.clear();
    last_shares_request_ = now();
    next_holdings_request_ = now();
    ledger_.begin(former_holders, is_complete, now());
    ask_unreported();
}

void team_quota::ask_unreported() {
    const time_point current = now();
    if (current < next_holdings_request_) {
        return;
    }
    next_holdings_request_ = current + holdings_pause;
    const std::uint64_t claim = claim_.number();
    std::set<std::string> names;
    for (const share_holder& holder : ledger_.unreported(current)) {
        names.insert(holder.name);
    }
    for (const std::string& name : names) {
        if (name == directory_.name()) {
            ledger_.on_report({name, incarnation_}, current - started_at_, counter_.report(claim, current),
                              current);
            continue;
        }
        ask_holdings(name, {directory_.name(), claim, 0}, [this, claim](const holdings_answer& answer) {
            if (claim_.may_act() && claim_.number() == claim) {
                ledger_.on_report({answer.daemon, answer.incarnation}, answer.running, answer.teams, now());
            }
        });
    }
}

std::set<share_holder> team_quota::recorded_holders() {
    const time_point current = now();
    std::set<share_holder> result = ledger_.holders(current);
    std::erase_if(awaiting_record_, [current](const std::map<share_holder, time_point>::value_type& entry) {
        return current - entry.second > record_time;
    });
    for (const std::map<share_holder, time_point>::value_type& entry : awaiting_record_) {
        result.insert(entry.first);
    }
    return result;
}

void team_quota::on_request(relay_request_kind kind, const nlohmann::json& message,
                            const relay_answer_handler& respond) {
    if (settings_.window <= duration(0)) {
        respond(std::nullopt,
                {error_code::unknown_path, "kind", std::string(to_string(kind)), "no limits are kept"});
        return;
    }
    // The sender turns to the next daemon at once. What this one holds is still told.
    if (stopped_ && kind != relay_request_kind::quota_holdings) {
        respond(std::nullopt, {error_code::draining, "daemon", directory_.name(), ""});
        return;
    }
    if (kind == relay_request_kind::quota_tokens) {
        on_tokens_request(message, respond);
    } else if (kind == relay_request_kind::quota_shares) {
        on_shares_request(message, respond);
    } else {
        on_holdings_request(message, respond);
    }
}

bool team_quota::is_paused(const std::string& daemon) const {
    const std::map<std::string, time_point>::const_iterator found = paused_until_.find(daemon);
    return found != paused_until_.end() && now() < found->second;
}

void team_quota::pause(const std::string& daemon, duration length) {
    paused_until_[daemon] = now() + length;
}

std::optional<quota_share> team_quota::whole(const std::string& team) const {
    const std::optional<team_rate> limit = find_limit(team);
    return limit ? std::optional(whole_share(*limit, settings_)) : std::nullopt;
}

} // namespace gentianhill
