#include "gentianhill/store/prefix_watch.h"

#include <algorithm>
#include <set>
#include <utility>

namespace gentianhill {

prefix_watch::prefix_watch(event_loop& loop, object_store& store, const prefix_watch_settings& settings,
                           std::function<double()> random)
    : loop_(loop), store_(store), settings_(settings), backoff_(settings.retry, std::move(random)) {
    restored_ = store_.on_restored.connect([this] { restart(); });
}

prefix_watch::~prefix_watch() {
    alive_.reset();
}

void prefix_watch::start() {
    if (running_) {
        return;
    }
    running_ = true;
    ++generation_;
    list();
}

void prefix_watch::stop() {
    running_ = false;
    // Responses of an earlier generation are ignored.
    ++generation_;
    retry_timer_.cancel();
}

void prefix_watch::restart() {
    if (running_ && era_ != store_.era()) {
        ++generation_;
        schedule(duration{0}, &prefix_watch::list);
    }
}

bool prefix_watch::has(const std::string& key) const {
    const std::map<std::string, known_version>::const_iterator found = known_.find(key);
    return found != known_.end() && !found->second.removed;
}

void prefix_watch::list() {
    const std::weak_ptr<bool> alive = alive_;
    const std::uint64_t generation = generation_;
    store_.list(settings_.prefix, [this, alive, generation](const list_result& result) {
        if (!alive.expired() && generation == generation_) {
            on_list_result(result);
        }
    });
}

void prefix_watch::poll() {
    poll_started_ = event_loop::now();
    const std::weak_ptr<bool> alive = alive_;
    const std::uint64_t generation = generation_;
    store_.watch(settings_.prefix, revision_, settings_.poll_wait,
                 [this, alive, generation](const watch_result& result) {
                     if (!alive.expired() && generation == generation_) {
                         on_poll_result(result);
                     }
                 });
}

void prefix_watch::on_list_result(const list_result& result) {
    if (result.outcome != store_outcome::found) {
        retry_after_backoff(&prefix_watch::list);
        return;
    }
    ++list_count_;
    const std::weak_ptr<bool> alive = alive_;
    const std::uint64_t generation = generation_;
    // The absence of an object from a stale list does not mean that it was removed.
    const std::uint64_t era = result.era.value_or(0);
    const bool is_old = era == era_ && result.revision < revision_;
    for (const stored_object& object : result.objects) {
        report(object, era);
        if (alive.expired() || generation != generation_) {
            return;
        }
    }
    if (!is_old && !report_removals(result)) {
        return;
    }
    era_ = era;
    revision_ = is_old ? revision_ : result.revision;
    confirmed_at_ = is_old ? confirmed_at_ : event_loop::now();
    if (on_listed) {
        on_listed();
        if (alive.expired() || generation != generation_) {
            return;
        }
    }
    poll();
}

bool prefix_watch::report_removals(const list_result& result) {
    const std::uint64_t era = result.era.value_or(0);
    std::set<std::string> listed_keys;
    for (const stored_object& object : result.objects) {
        listed_keys.insert(object.key);
    }
    std::vector<stored_object> missing;
    for (const std::pair<const std::string, known_version>& entry : known_) {
        // An object with a newer version than the list's revision was written after the list was taken.
        const bool is_covered = entry.second.era < era || entry.second.version <= result.revision;
        if (!entry.second.removed && is_covered && listed_keys.count(entry.first) == 0) {
            missing.push_back(stored_object{entry.first, result.revision, nullptr});
        }
    }
    const std::weak_ptr<bool> alive = alive_;
    const std::uint64_t generation = generation_;
    for (const stored_object& object : missing) {
        report(object, era);
        if (alive.expired() || generation != generation_) {
            return false;
        }
    }
    return true;
}

void prefix_watch::on_poll_result(const watch_result& result) {
    if (result.outcome != store_outcome::found) {
        retry_after_backoff(&prefix_watch::list);
        return;
    }
    if (result.gap) {
        // The store may have been reset to an older state, so that its revisions start lower.
        revision_ = 0;
        // The first gap is followed by a list at once; repeated gaps are followed by lists with backoff.
        const bool is_first = backoff_.is_reset();
        const duration delay = backoff_.next();
        schedule(is_first ? duration{0} : delay, &prefix_watch::list);
        return;
    }
    const std::uint64_t era = result.era.value_or(0);
    if (era != era_) {
        schedule(duration{0}, &prefix_watch::list);
        return;
    }
    const std::weak_ptr<bool> alive = alive_;
    const std::uint64_t generation = generation_;
    for (const stored_object& object : result.changes) {
        report(object, era);
        if (alive.expired() || generation != generation_) {
            return;
        }
    }
    const time_point now = event_loop::now();
    const bool advanced = result.revision > revision_;
    confirmed_at_ = result.revision >= revision_ ? now : confirmed_at_;
    revision_ = std::max(revision_, result.revision);
    // Without backoff, a store that returns empty responses early or repeats old changes would be polled in a
    // busy loop.
    constexpr int early_divisor = 4;
    const bool is_early = result.changes.empty() && now - poll_started_ < settings_.poll_wait / early_divisor;
    if (is_early || (!advanced && !result.changes.empty())) {
        retry_after_backoff(&prefix_watch::poll);
        return;
    }
    backoff_.reset();
    poll();
}

void prefix_watch::report(const stored_object& object, std::uint64_t era) {
    known_version& known = known_[object.key];
    const bool removed = object.value.is_null();
    if (known.era < era) {
        known.version = 0;
    }
    if (object.version < known.version || (object.version == known.version && known.removed)) {
        ++stale_count_;
        return;
    }
    if (object.version == known.version && known.version != 0 && !removed) {
        return;
    }
    if (known.removed != removed) {
        tombstone_count_ += removed ? 1 : -1;
    }
    known = known_version{era, object.version, removed};
    evict_oldest_tombstone();
    if (on_change) {
        on_change(object);
    }
}

void prefix_watch::evict_oldest_tombstone() {
    if (tombstone_count_ <= settings_.max_tombstones) {
        return;
    }
    // The oldest removals are the least likely to be contradicted by a stale replica.
    std::map<std::string, known_version>::iterator oldest = known_.end();
    for (std::map<std::string, known_version>::iterator entry = known_.begin(); entry != known_.end();
         ++entry) {
        const bool is_older =
            oldest == known_.end() || std::pair{entry->second.era, entry->second.version} <
                                          std::pair{oldest->second.era, oldest->second.version};
        if (entry->second.removed && is_older) {
            oldest = entry;
        }
    }
    known_.erase(oldest);
    --tombstone_count_;
}

void prefix_watch::retry_after_backoff(void (prefix_watch::*step)()) {
    schedule(backoff_.next(), step);
}

void prefix_watch::schedule(duration delay, void (prefix_watch::*step)()) {
    const std::uint64_t generation = generation_;
    // Destroying the watch cancels the timer, so that capturing `this` is safe.
    retry_timer_ = loop_.call_after(delay, [this, generation, step] {
        if (generation == generation_) {
            (this->*step)();
        }
    });
}

} // namespace gentianhill
