#include "fake_instance.h"
#include "gentianhill/consistency/group_view.h"
#include "gentianhill/promotion/claim_pool.h"
#include "gentianhill/promotion/promotion.h"
#include "gentianhill/promotion/reconciler.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <algorithm>
#include <cstdlib>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace gentianhill;

namespace {

constexpr duration ms(std::int64_t count) {
    return std::chrono::milliseconds{count};
}

// Shorter than the defaults, so that attempts overlap often.
constexpr promotion_settings short_phases{ms(30), ms(60), ms(50), ms(30), ms(300), ms(200), ms(300)};

struct confirmed_write {
    fake_entry entry;
    std::uint64_t position = 0;
    time_point at;
};

struct pending_answer {
    log_position position;
    fake_log snapshot;
    bool is_write = false;
    time_point since;
};

struct fake_daemon {
    std::string name;
    duration clock_offset{0};
    int partition = 0;
    time_point paused_until;
    int incarnation = 0;
    std::unique_ptr<group_view> view;
    std::unique_ptr<claim_pool> claims;
    std::unique_ptr<promotion> attempt;
    std::optional<time_point> without_primary_since;
    std::vector<pending_answer> pending;
};

struct server {
    fake_instance state;
    // Messages are delivered only between nodes of the same partition.
    int partition = 0;
};

// Simulates a group, its daemons and their network with one event queue and one random seed.
class simulation {
public:
    simulation(unsigned seed, std::size_t instances) : random_(seed) {
        configuration_.name = "wheeldb";
        for (std::size_t index = 0; index < instances; ++index) {
            const std::string name = fmt::format("i{}", index);
            configuration_.instances.push_back(
                {name, {"127.0.0.1", 1}, fmt::format("zone-{}", index), 30, 5});
            servers_.push_back(std::make_unique<server>());
            servers_.back()->state.name = name;
            servers_.back()->state.state_id = name + ".0";
        }
        servers_[0]->state.promote(1);
        elected_[1] = servers_[0]->state.log;
        primaries_[1] = servers_[0]->state.state_id;
        for (int index = 0; index < 3; ++index) {
            daemons_.push_back(std::make_unique<fake_daemon>());
            daemons_.back()->name = fmt::format("d{}", index);
            daemons_.back()->clock_offset = std::chrono::seconds{1000 * index + 7};
            restart(*daemons_.back());
        }
    }

    // Injects faults for `faulty`, then removes all faults and continues for `healthy`.
    void run(duration faulty, duration healthy) {
        for (const std::unique_ptr<fake_daemon>& daemon : daemons_) {
            repeat(ms(2), [this, &daemon] { run_on_daemon(*daemon, [this, &daemon] { tick(*daemon); }); });
        }
        for (const std::unique_ptr<server>& target : servers_) {
            repeat(ms(3), [this, &target] { replicate_from_primary(*target); });
        }
        const time_point heal_at = now_ + faulty;
        repeat(ms(15), [this, heal_at] { now_ < heal_at ? inject_fault() : heal(); });
        const time_point end = heal_at + healthy;
        while (!events_.empty() && events_.begin()->first <= end) {
            const std::function<void()> action = std::move(events_.begin()->second);
            now_ = events_.begin()->first;
            events_.erase(events_.begin());
            action();
        }
    }

    std::vector<confirmed_write> confirmed_;
    std::size_t promotions_ = 0;
    std::size_t stale_reads_ = 0;
    std::size_t admissions_ = 0;
    time_point now_{std::chrono::hours{1}};

private:
    bool chance(unsigned per_mille) { return random_() % 1000 < per_mille; }
    duration between(std::int64_t low_us, std::int64_t high_us) {
        return duration{low_us + static_cast<std::int64_t>(random_()) % (high_us - low_us)};
    }
    template <class Item>
    Item& pick_random(std::vector<std::unique_ptr<Item>>& items) {
        return *items[random_() % items.size()];
    }
    void at(time_point when, std::function<void()> action) { events_.emplace(when, std::move(action)); }
    void repeat(duration period, const std::function<void()>& action) {
        at(now_ + between(period.count() / 2, period.count() * 3 / 2), [this, period, action] {
            action();
            repeat(period, action);
        });
    }
    // Delivers a message with random delay, loss and duplication.
    void transmit(const std::function<void()>& action) {
        const int copies = chance(30) ? 2 : 1;
        for (int copy = 0; copy < copies; ++copy) {
            if (!chance(is_healing_ ? 0 : 30)) {
                const bool is_slow = !is_healing_ && chance(40);
                at(now_ + (is_slow ? between(20000, 400000) : between(300, 4000)), action);
            }
        }
    }
    // Runs `action` on a daemon, after the end of its pause if it is paused.
    void run_on_daemon(fake_daemon& daemon, const std::function<void()>& action) {
        if (now_ < daemon.paused_until) {
            at(daemon.paused_until, [this, &daemon, action] { run_on_daemon(daemon, action); });
        } else {
            action();
        }
    }
    [[nodiscard]] time_point local(const fake_daemon& daemon) const { return now_ + daemon.clock_offset; }
    server& find(const std::string& name) {
        return **std::find_if(servers_.begin(), servers_.end(),
                              [&name](const auto& target) { return target->state.name == name; });
    }

    // Sends a request from a daemon to an instance; the answer contains the instance's report, its log and
    // the result of `action`.
    using answer_handler = std::function<void(bool accepted, const instance_report&, const fake_log&)>;
    void send_request(fake_daemon& daemon, const std::string& instance,
                      const std::function<bool(fake_instance&)>& action, const answer_handler& on_answer) {
        server& target = find(instance);
        const time_point sent_at = local(daemon);
        const int incarnation = daemon.incarnation;
        transmit([=, this, &daemon, &target] {
            if (daemon.partition != target.partition || !target.state.is_up) {
                return;
            }
            const bool accepted = action(target.state);
            instance_report report = target.state.report();
            report.requested_at = sent_at;
            const fake_log snapshot = target.state.log;
            transmit([=, this, &daemon, &target]() mutable {
                if (daemon.partition != target.partition) {
                    return;
                }
                run_on_daemon(daemon, [=, this, &daemon]() mutable {
                    if (daemon.incarnation == incarnation) {
                        report.received_at = local(daemon);
                        daemon.view->apply(report);
                        on_answer(accepted, report, snapshot);
                        after_report(daemon);
                    }
                });
            });
        });
    }

    void restart(fake_daemon& daemon) {
        ++daemon.incarnation;
        daemon.pending.clear();
        daemon.view = std::make_unique<group_view>(configuration_, position_tracker_settings{},
                                                   staleness_tracker_settings{32, ms(5)});
        daemon.claims = std::make_unique<claim_pool>(
            daemon_incarnation{daemon.name, fmt::format("{}", daemon.incarnation)});
        daemon.attempt = std::make_unique<promotion>(configuration_, short_phases, hooks_of(daemon));
    }

    promotion_hooks hooks_of(fake_daemon& daemon) {
        promotion_hooks hooks;
        hooks.ask_peers = [this, &daemon] {
            const bool opinion = chance(100);
            at(now_ + ms(3), [this, &daemon, opinion] {
                run_on_daemon(daemon, [=, this, &daemon] {
                    daemon.attempt->on_peer_opinion("zone-9", opinion, local(daemon));
                });
            });
            return std::size_t{1};
        };
        hooks.query_status = [this, &daemon](const std::string& instance) {
            send_request(
                daemon, instance, [](fake_instance&) { return true; },
                [=, this, &daemon](bool, const instance_report& report, const fake_log&) {
                    daemon.attempt->on_status_answer(instance, report, error{}, local(daemon));
                });
        };
        hooks.take_claim = [&daemon](term_number above) { return daemon.claims->take(above); };
        hooks.fence = [this, &daemon](const std::string& instance, term_number term) {
            const std::string source = daemon.name;
            send_request(
                daemon, instance,
                [term, source](fake_instance& target) { return target.fence(term, source); },
                [=, this, &daemon](bool accepted, const instance_report& report, const fake_log&) {
                    const error reason{accepted ? error_code::none : error_code::stale_term, "", "", ""};
                    if (daemon.attempt->term() == term) {
                        daemon.attempt->on_fence_answer(instance, report, reason, local(daemon));
                    }
                });
        };
        hooks.promote = [this, &daemon](const std::string& instance, term_number term) {
            send_request(
                daemon, instance,
                [this, term](fake_instance& target) {
                    const bool promoted = target.promote(term);
                    if (promoted) {
                        check_election(target, term);
                    }
                    return promoted;
                },
                [=, this, &daemon](bool accepted, const instance_report&, const fake_log&) {
                    const error reason{accepted ? error_code::none : error_code::stale_term, "", "", ""};
                    if (daemon.attempt->term() == term) {
                        daemon.attempt->on_promote_answer(instance, accepted, reason, local(daemon));
                    }
                });
        };
        hooks.follow = [this, &daemon](const std::string& instance, term_number term,
                                       const std::string& primary) {
            follow(daemon, follow_request{instance, term, primary, {}, false, ""});
        };
        hooks.on_finished = [](const promotion_result&) {};
        return hooks;
    }

    void follow(fake_daemon& daemon, const follow_request& request) {
        send_request(
            daemon, request.instance,
            [this, request](fake_instance& target) {
                const bool was_admitting = target.is_admitting;
                target.follow(request.term, request.primary, request.admit, request.state_id);
                admissions_ += target.is_admitting && !was_admitting ? 1 : 0;
                return true;
            },
            [](bool, const instance_report&, const fake_log&) {});
    }

    void tick(fake_daemon& daemon) {
        const time_point now = local(daemon);
        daemon.attempt->tick(now);
        const position_tracker& positions = daemon.view->positions();
        const std::string& instance = configuration_.instances[random_() % servers_.size()].name;
        if (chance(400)) {
            send_request(
                daemon, instance, [](fake_instance&) { return true; },
                [](bool, const instance_report&, const fake_log&) {});
        }
        if (chance(100)) {
            for (const follow_request& request : reconcile(*daemon.view).follow_requests) {
                follow(daemon, request);
            }
        }
        if (chance(50)) {
            reserve_claims(daemon);
        }
        if (chance(20)) {
            exchange_view(daemon, pick_random(daemons_));
        }
        if (chance(300)) {
            read(daemon, instance);
        }
        if (positions.primary() && chance(200)) {
            write(daemon, *positions.primary(), positions.primary_term());
        }
        start_random_attempts(daemon, now);
    }

    // Starts attempts far more often than the failure detector would: at random, and after a short time
    // without a primary.
    void start_random_attempts(fake_daemon& daemon, time_point now) {
        const position_tracker& positions = daemon.view->positions();
        const reconciliation wanted = reconcile(*daemon.view);
        if (positions.primary() && positions.is_confirming(now) && wanted.ahead_of_primary.empty()) {
            daemon.without_primary_since.reset();
        } else if (!daemon.without_primary_since) {
            daemon.without_primary_since = now;
        }
        const bool has_waited = daemon.without_primary_since && now - *daemon.without_primary_since > ms(200);
        if (has_waited || (!is_healing_ && chance(8))) {
            daemon.attempt->start(positions.current_term(), random_() % 3, now);
            daemon.without_primary_since.reset();
        }
    }

    void after_report(fake_daemon& daemon) {
        const position_tracker& positions = daemon.view->positions();
        daemon.claims->observe_term(positions.current_term());
        daemon.attempt->observe_confirmed(positions.confirmed(), local(daemon));
        std::vector<pending_answer> waiting;
        waiting.swap(daemon.pending);
        for (pending_answer& answer : waiting) {
            if (positions.is_confirmed(answer.position)) {
                release_answer(answer);
            } else if (now_ - answer.since < ms(800)) {
                daemon.pending.push_back(std::move(answer));
            }
        }
    }

    void write(fake_daemon& daemon, const std::string& instance, term_number term) {
        const std::uint64_t id = ++last_write_;
        send_request(
            daemon, instance,
            [term, id](fake_instance& target) {
                const bool may_write = target.is_primary && target.accepted_term == term;
                if (may_write) {
                    target.log.push_back(fake_entry{term, id});
                }
                return may_write;
            },
            [=, this, &daemon](bool accepted, const instance_report& report, const fake_log& snapshot) {
                if (accepted) {
                    daemon.view->positions().on_write_executed(report.last_entry, local(daemon));
                    daemon.pending.push_back(pending_answer{report.last_entry, snapshot, true, now_});
                }
            });
    }

    // Reads of a single session through any daemon, with the token of the session.
    void read(fake_daemon& daemon, const std::string& instance) {
        const log_position token = token_;
        const fake_log seen = seen_;
        send_request(
            daemon, instance, [](fake_instance& target) { return target.initialised; },
            [=, this, &daemon](bool accepted, const instance_report& report, const fake_log& snapshot) {
                if (!accepted) {
                    return;
                }
                // The reported age must also hold for reads without a token.
                check_age(daemon, report.last_entry, snapshot);
                if (report.last_entry < token) {
                    return;
                }
                REQUIRE((report.last_entry.term == token.term || report.term_start >= token.position));
                REQUIRE(has_prefix(snapshot, seen));
                daemon.pending.push_back(pending_answer{report.last_entry, snapshot, false, now_});
            });
    }

    // Every write that was confirmed before the reported age must be in the data that was read.
    void check_age(const fake_daemon& daemon, log_position position, const fake_log& snapshot) {
        const std::optional<duration> age = daemon.view->age(position, local(daemon));
        if (!age) {
            return;
        }
        ++stale_reads_;
        REQUIRE(std::all_of(confirmed_.begin(), confirmed_.end(), [&](const confirmed_write& write) {
            return write.at > now_ - *age || contains(snapshot, write);
        }));
    }

    void release_answer(const pending_answer& answer) {
        // Both histories are confirmed, so one must be a prefix of the other.
        REQUIRE((answer.position >= token_ ? has_prefix(answer.snapshot, seen_)
                                           : has_prefix(seen_, answer.snapshot)));
        if (answer.position >= token_) {
            token_ = answer.position;
            seen_ = answer.snapshot;
        }
        if (!answer.is_write) {
            return;
        }
        const confirmed_write write{answer.snapshot.back(), answer.position.position, now_};
        confirmed_.push_back(write);
        for (const auto& [term, log] : elected_) {
            REQUIRE((term <= write.entry.term || contains(log, write)));
        }
    }

    void check_election(const fake_instance& target, term_number term) {
        const auto known = primaries_.find(term);
        if (known != primaries_.end()) {
            // Repeated requests must reach the same primary: a second primary could confirm different
            // entries.
            REQUIRE(known->second == target.state_id);
            return;
        }
        ++promotions_;
        primaries_[term] = target.state_id;
        elected_[term] = target.log;
        // A request of an older term may still arrive after a newer one was promoted.
        REQUIRE(std::all_of(confirmed_.begin(), confirmed_.end(), [&](const confirmed_write& write) {
            return write.entry.term >= term || contains(target.log, write);
        }));
    }
    static bool contains(const fake_log& log, const confirmed_write& write) {
        return write.position <= log.size() && log[write.position - 1] == write.entry;
    }

    // Replicates the primary's log to the instance if both are at the same term when the log is read.
    void replicate_from_primary(server& target) {
        if (!target.state.is_up || target.state.is_primary || target.state.primary.empty()) {
            return;
        }
        const term_number term = target.state.accepted_term;
        const std::string state = target.state.state_id;
        server& source = find(target.state.primary);
        transmit([=, this, &target, &source] {
            if (target.partition != source.partition || !source.state.is_up || !source.state.is_primary ||
                source.state.accepted_term != term) {
                return;
            }
            const fake_log log = source.state.log;
            const std::size_t limit = random_() % 12;
            transmit([=, &target, &source] {
                if (target.partition == source.partition && target.state.is_up &&
                    target.state.state_id == state) {
                    target.state.replicate(term, log, limit);
                }
            });
        });
    }

    void exchange_view(fake_daemon& asker, fake_daemon& peer) {
        const time_point asked_at = local(asker);
        const int incarnation = asker.incarnation;
        if (asker.partition != peer.partition) {
            return;
        }
        transmit([=, this, &asker, &peer] {
            run_on_daemon(peer, [=, this, &asker, &peer] {
                const nlohmann::json json = peer.view->to_json(local(peer));
                transmit([=, this, &asker] {
                    run_on_daemon(asker, [=, this, &asker] {
                        error reason;
                        if (asker.incarnation == incarnation) {
                            REQUIRE(asker.view->merge(json, asked_at, local(asker), reason));
                            after_report(asker);
                        }
                    });
                });
            });
        });
    }

    // Updates the platform object conditionally. The response may be lost; the next call reads the
    // object again.
    void reserve_claims(fake_daemon& daemon) {
        const std::string content = stored_claims_;
        const int incarnation = daemon.incarnation;
        error reason;
        const std::optional<claim_set> stored = claim_set::from_json(nlohmann::json::parse(content), reason);
        REQUIRE(stored.has_value());
        daemon.claims->load(*stored);
        if (daemon.claims->available() >= 2) {
            return;
        }
        const claim_set wanted = stored->remove_obsolete(daemon.view->positions().current_term(),
                                                         [](const auto&) { return true; });
        const std::optional<claim_set> update =
            wanted.reserve(daemon.claims->self(), 2, daemon.view->positions().current_term(), reason);
        if (update) {
            transmit([=, this, &daemon] {
                if (stored_claims_ == content) {
                    stored_claims_ = update->to_json().dump();
                    transmit([=, this, &daemon] {
                        run_on_daemon(daemon, [=, &daemon] {
                            if (daemon.incarnation == incarnation) {
                                daemon.claims->load(*update);
                            }
                        });
                    });
                }
            });
        }
    }

    void inject_fault() {
        server& target = pick_random(servers_);
        fake_daemon& daemon = pick_random(daemons_);
        const time_point end = now_ + between(5000, 250000);
        switch (random_() % 14) {
        case 0:
            target.state.is_up = false;
            at(end, [&target] { target.state.is_up = true; });
            break;
        case 1:
            target.partition = chance(300) ? 1 : target.partition;
            break;
        case 2:
            daemon.partition = chance(300) ? 1 : daemon.partition;
            break;
        case 3:
            daemon.paused_until = end;
            at(end, [this, &daemon] { daemon.attempt->cancel(local(daemon)); });
            break;
        case 4:
            if (daemon.attempt->is_running()) {
                restart(daemon);
            }
            break;
        case 5:
            lose_state(target.state);
            break;
        case 6:
            set_partition(chance(500) ? 0 : 1);
            break;
        case 7:
            // Partition the primary together with one daemon that still reads from it.
            set_partition(0);
            daemon.partition = 1;
            for (const std::unique_ptr<server>& other : servers_) {
                other->partition = other->state.is_primary ? 1 : 0;
            }
            break;
        default:
            break;
        }
    }

    // The protocol tolerates the loss of state of any minority at a time.
    void lose_state(fake_instance& target) {
        const std::size_t initialised = static_cast<std::size_t>(std::count_if(
            servers_.begin(), servers_.end(), [](const auto& other) { return other->state.initialised; }));
        if (target.initialised && initialised > configuration_.majority()) {
            target.lose_state(fmt::format("{}.{}", target.name, ++last_state_));
        }
    }

    void set_partition(int partition) {
        for (const std::unique_ptr<server>& target : servers_) {
            target->partition = partition;
        }
        for (const std::unique_ptr<fake_daemon>& daemon : daemons_) {
            daemon->partition = partition;
        }
    }

    void heal() {
        is_healing_ = true;
        set_partition(0);
        for (const std::unique_ptr<server>& target : servers_) {
            target->state.is_up = true;
        }
        for (const std::unique_ptr<fake_daemon>& daemon : daemons_) {
            daemon->paused_until = now_;
        }
    }

    std::mt19937 random_;
    group_configuration configuration_;
    std::multimap<time_point, std::function<void()>> events_;
    std::vector<std::unique_ptr<server>> servers_;
    std::vector<std::unique_ptr<fake_daemon>> daemons_;
    std::string stored_claims_ = R"({"next_term":2,"claims":[]})";
    std::map<term_number, fake_log> elected_;
    std::map<term_number, std::string> primaries_;
    std::uint64_t last_write_ = 0;
    int last_state_ = 0;
    bool is_healing_ = false;
    log_position token_;
    fake_log seen_;
};

} // namespace

// Guards against lost confirmed writes, two primaries that confirm in one term, sessions that read older data
// and reported ages that are too low, during crashes, partitions, pauses, loss of state and delayed,
// duplicated or lost messages.
TEST_CASE("promotion_random_failures_keep_confirmed_writes_tokens_and_ages") {
    std::size_t promotions = 0;
    std::size_t stale_reads = 0;
    std::size_t admissions = 0;
    const char* seeds = std::getenv("GENTIANHILL_SEEDS");
    const unsigned count = seeds == nullptr ? 60 : static_cast<unsigned>(std::stoul(seeds));
    for (unsigned seed = 1; seed <= count; ++seed) {
        CAPTURE(seed);
        simulation run{seed, seed % 3 == 0 ? std::size_t{5} : std::size_t{3}};
        run.run(ms(4000), ms(1500));
        promotions += run.promotions_;
        stale_reads += run.stale_reads_;
        admissions += run.admissions_;
        // Every group must confirm writes again once the faults end.
        CHECK(run.confirmed_.size() > 20);
        CHECK(run.confirmed_.back().at > run.now_ - ms(500));
    }
    MESSAGE(promotions, " promotions, ", admissions, " admissions, ", stale_reads, " reads with an age");
    CHECK(promotions > 3 * count);
    CHECK(admissions > count);
    CHECK(stale_reads > 50 * count);
}
