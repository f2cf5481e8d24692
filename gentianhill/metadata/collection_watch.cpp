#include "gentianhill/metadata/collection_watch.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

collection_watch::collection_watch(store_collection collection, metadata_store& store, logger& log,
                                   const collection_watch_settings& settings)
    : collection_(collection), store_(store), log_(log), settings_(settings), backoff_(settings.min_pause) {}

collection_watch::~collection_watch() = default;

void collection_watch::start() {
    alive_ = std::make_shared<bool>(true);
    list("");
}

void collection_watch::stop() {
    alive_.reset();
}

void collection_watch::list(const std::string& after) {
    if (after.empty()) {
        page_items_.clear();
    }
    store_.list(collection_, after, [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
        if (!alive.expired()) {
            on_list_answer(answer);
        }
    });
}

void collection_watch::on_list_answer(const store_answer& answer) {
    if (answer.outcome != store_outcome::done) {
        log_.write(log_level::warning, "metadata", "list_failed",
                   {{"collection", to_string(collection_)}, {"outcome", to_string(answer.outcome)}});
        retry(true);
        return;
    }
    // Watch from the revision of the first page, so that changes made between two pages are not missed.
    if (page_items_.empty()) {
        revision_ = answer.revision;
    }
    page_items_.insert(page_items_.end(), answer.items.begin(), answer.items.end());
    if (answer.has_more && !answer.items.empty()) {
        list(answer.items.back().name);
        return;
    }
    set_reachable(true);
    listed_ = true;
    backoff_ = settings_.min_pause;
    log_.write(
        log_level::info, "metadata", "listed",
        {{"collection", to_string(collection_)}, {"objects", page_items_.size()}, {"revision", revision_}});
    if (on_list) {
        on_list(page_items_);
    }
    watch();
}

void collection_watch::watch() {
    if (alive_ == nullptr) {
        return;
    }
    store_.watch(collection_, revision_, settings_.wait,
                 [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                     if (!alive.expired()) {
                         on_watch_answer(answer);
                     }
                 });
}

void collection_watch::on_watch_answer(const store_answer& answer) {
    if (answer.outcome == store_outcome::history_lost) {
        log_.write(log_level::info, "metadata", "history_lost",
                   {{"collection", to_string(collection_)}, {"revision", revision_}});
        list("");
        return;
    }
    if (answer.outcome != store_outcome::done) {
        retry(false);
        return;
    }
    set_reachable(true);
    backoff_ = settings_.min_pause;
    revision_ = std::max(revision_, answer.revision);
    const std::weak_ptr<bool> alive = alive_;
    for (const store_event& event : answer.events) {
        if (on_event) {
            on_event(event);
        }
        if (alive.expired()) {
            return;
        }
    }
    watch();
}

void collection_watch::retry(bool restart_list) {
    set_reachable(false);
    const double jitter_factor = 0.5 + random() / 2;
    const duration delay(static_cast<std::int64_t>(static_cast<double>(backoff_.count()) * jitter_factor));
    backoff_ = std::min(backoff_ * 2, settings_.max_pause);
    call_after(delay, [this, restart_list, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) {
            return;
        }
        if (restart_list) {
            list("");
        } else {
            watch();
        }
    });
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
