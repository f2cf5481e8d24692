#include "gentianhill/metadata/collection_watch.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

collection_watch::collection_watch(store_collection collection, metadata_store& store, logger& log,
                                   const collection_watch_settings& settings)
    : collection_(collection), store_(store), log_(log), settings_(settings), backoff_(settings.min_pause) {
    replica_.on_list = [this](const std::vector<stored_object>& objects) {
        state_may_be_old_ = false;
        note_era();
        if (on_list) {
            on_list(objects);
        }
    };
    replica_.on_event = [this](const store_event& event) {
        if (on_event) {
            on_event(event);
        }
    };
}

collection_watch::~collection_watch() = default;

void collection_watch::start() {
    alive_ = std::make_shared<bool>(true);
    calling_ = true;
    list("");
}

void collection_watch::stop() {
    alive_.reset();
}

void collection_watch::set_active(bool active) {
    if (active_ == active) {
        return;
    }
    active_ = active;
    if (active_ && !calling_ && alive_ != nullptr) {
        backoff_ = settings_.min_pause;
        resume();
    }
}

void collection_watch::set_pauses(duration min_pause, duration max_pause) {
    settings_.min_pause = min_pause;
    settings_.max_pause = max_pause;
}

void collection_watch::resume() {
    calling_ = true;
    after_gap_ = true;
    if (replica_.has_state()) {
        watch();
    } else {
        list("");
    }
}

void collection_watch::list(const std::string& after) {
    if (after.empty()) {
        page_items_.clear();
        has_page_ = false;
        listed_from_ = replica_.version();
        list_asked_at_ = call_time();
        list_may_be_old_ = settings_.lists_may_be_old && !replica_.has_state();
    }
    const metadata_store::handler on_page =
        [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
            if (!alive.expired()) {
                on_list_answer(answer);
            }
        };
    if (list_may_be_old_) {
        store_.list_old(collection_, after, on_page);
    } else {
        store_.list(collection_, after, on_page);
    }
}

void collection_watch::on_list_answer(const store_answer& answer) {
    if (answer.outcome != store_outcome::done) {
        log_.write(log_level::warning, "metadata", "list_failed",
                   {{"collection", to_string(collection_)}, {"outcome", to_string(answer.outcome)}});
        retry(true);
        return;
    }
    const store_version answered{answer.era, answer.revision};
    if (has_page_ && answered.era != page_version_.era) {
        // The pages before came from a state that the store no longer has.
        list_again();
        return;
    }
    // The list is complete as of its oldest page, so that changes made between two pages are not missed.
    page_version_ = has_page_ ? std::min(page_version_, answered) : answered;
    has_page_ = true;
    page_items_.insert(page_items_.end(), answer.items.begin(), answer.items.end());
    if (answer.has_more && !answer.items.empty()) {
        list(answer.items.back().name);
        return;
    }
    on_complete_list();
}

void collection_watch::on_complete_list() {
    note_answer();
    listed_ = true;
    log_.write(log_level::info, "metadata", "listed",
               {{"collection", to_string(collection_)},
                {"objects", page_items_.size()},
                {"revision", page_version_.revision},
                {"era", page_version_.era}});
    if (list_may_be_old_ && accepts_old_list && !accepts_old_list(page_items_)) {
        page_items_.clear();
        calling_ = false;
        stop();
        return;
    }
    const std::weak_ptr<bool> alive = alive_;
    apply_list();
    page_items_.clear();
    if (!alive.expired()) {
        watch();
    }
}

void collection_watch::apply_list() {
    if (!list_may_be_old_) {
        if (replica_.has_state() && page_version_ < listed_from_) {
            discard_newer_state(page_version_);
        }
        const std::weak_ptr<bool> alive = alive_;
        replica_.replace(page_items_, page_version_);
        if (!alive.expired()) {
            note_complete(page_version_, list_asked_at_);
        }
        return;
    }
    for (stored_object& item : page_items_) {
        item.era = 0;
    }
    // Another daemon may have provided the state meanwhile.
    if (!replica_.has_state()) {
        const std::optional<std::uint64_t> known_era = era_;
        replica_.replace(page_items_, {0, page_version_.revision});
        era_ = known_era;
        state_may_be_old_ = true;
    }
}

void collection_watch::watch() {
    if (alive_ == nullptr) {
        return;
    }
    if (!active_) {
        calling_ = false;
        return;
    }
    if (state_may_be_old_) {
        list("");
        return;
    }
    // After a gap the era is asked first, since a restored store may wait for changes after a revision that
    // it has given out again.
    const duration wait = after_gap_ ? duration(0) : settings_.wait;
    store_.watch(collection_, replica_.version().revision, wait,
                 [this, from = replica_.version(), asked_at = call_time(),
                  alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                     if (!alive.expired()) {
                         on_watch_answer(from, asked_at, answer);
                     }
                 });
}

void collection_watch::note_complete(store_version answered, time_point asked_at) {
    if (on_complete && now && replica_.has_state() && replica_.version() >= answered) {
        on_complete(asked_at);
    }
}

void collection_watch::discard_newer_state(store_version answered) {
    // No answer of the store can be older than a state that was known before the call and came from it.
    log_.write(log_level::error, "metadata", "state_ahead_of_store",
               {{"collection", to_string(collection_)},
                {"revision", replica_.version().revision},
                {"store_revision", answered.revision},
                {"era", answered.era}});
    replica_.discard();
}

void collection_watch::on_watch_answer(store_version from, time_point asked_at, const store_answer& answer) {
    if (answer.outcome == store_outcome::history_lost) {
        log_.write(log_level::info, "metadata", "history_lost",
                   {{"collection", to_string(collection_)},
                    {"revision", from.revision},
                    {"era", from.era},
                    {"store_era", answer.era}});
        list_again();
        return;
    }
    if (answer.outcome == store_outcome::unknown && answer.was_arriving) {
        log_.write(log_level::warning, "metadata", "changes_too_large",
                   {{"collection", to_string(collection_)},
                    {"revision", from.revision},
                    {"ms", to_milliseconds(call_time() - asked_at)}});
        list_again();
        return;
    }
    if (answer.outcome != store_outcome::done) {
        retry(false);
        return;
    }
    if (answer.era > from.era) {
        // The revision has been given out again since the restore, so changes before it may be missing.
        list_again();
        return;
    }
    const store_version answered{answer.era, answer.revision};
    if (answered < from) {
        discard_newer_state(answered);
        list_again();
        return;
    }
    // Only now, since an answer that shows the state to be wrong makes it neither current nor the store
    // usable.
    note_answer();
    listed_again_ = false;
    const std::weak_ptr<bool> alive = alive_;
    replica_.apply(from, answer.events, answer.revision);
    if (alive.expired()) {
        return;
    }
    note_complete(answered, asked_at);
    const bool catches_up = is_list_shorter(answer.events.size());
    if (answer.events.empty() || settings_.event_pause == duration(0)) {
        go_on(catches_up);
        return;
    }
    call_after(settings_.event_pause, [this, alive, catches_up] {
        if (!alive.expired()) {
            go_on(catches_up);
        }
    });
}

void collection_watch::go_on(bool catches_up) {
    if (catches_up && active_) {
        list("");
    } else {
        watch();
    }
}

bool collection_watch::is_list_shorter(std::size_t changes) const {
    return changes > 1 && changes > replica_.objects().size();
}

void collection_watch::note_era() {
    const store_version& version = replica_.version();
    if (era_ && *era_ < version.era) {
        log_.write(log_level::warning, "metadata", "store_restored",
                   {{"collection", to_string(collection_)},
                    {"former_era", *era_},
                    {"era", version.era},
                    {"revision", version.revision}});
    }
    era_ = version.era;
}

void collection_watch::note_answer() {
    after_gap_ = false;
    backoff_ = settings_.min_pause;
    if (now) {
        heard_at_ = now();
    }
    set_reachable(true);
}

void collection_watch::retry(bool restart_list) {
    after_gap_ = true;
    set_reachable(false);
    if (!active_) {
        calling_ = false;
        return;
    }
    call_after(next_pause(), [this, restart_list, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) {
            return;
        }
        if (!active_) {
            calling_ = false;
        } else if (restart_list && !replica_.has_state()) {
            list("");
        } else {
            // Also when another daemon has provided the state during the pause.
            watch();
        }
    });
}

void collection_watch::list_again() {
    if (!listed_again_) {
        listed_again_ = true;
        list("");
        return;
    }
    // A list that is older than the history of the store leads back here until the store answers with a newer
    // one.
    call_after(next_pause(), [this, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            list("");
        }
    });
}

duration collection_watch::next_pause() {
    const double jitter_factor = 0.5 + random() / 2;
    const duration pause(static_cast<std::int64_t>(static_cast<double>(backoff_.count()) * jitter_factor));
    backoff_ = std::min(backoff_ * 2, settings_.max_pause);
    return pause;
}

void collection_watch::set_reachable(bool reachable) {
    if (reachable_ == reachable) {
        return;
    }
    reachable_ = reachable;
    log_.write(reachable ? log_level::info : log_level::warning, "metadata",
               reachable ? "store_reachable" : "store_unreachable", {{"collection", to_string(collection_)}});
    if (on_reachable) {
        on_reachable(reachable);
    }
}

} // namespace gentianhill
