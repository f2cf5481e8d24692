#include "gentianhill/metadata/collection_watch.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

collection_watch::collection_watch(store_collection which, metadata_store& store, logger& log,
                                   const collection_watch_settings& settings)
    : which_(which), store_(store), log_(log), settings_(settings), pause_(settings.min_pause) {}

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
    store_.list(which_, after, [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
        if (!alive.expired()) {
            on_page(answer);
        }
    });
}

void collection_watch::on_page(const store_answer& answer) {
    if (answer.outcome != store_outcome::done) {
        log_.write(log_level::warning, "metadata", "list_failed",
                   {{"collection", to_string(which_)}, {"outcome", to_string(answer.outcome)}});
        retry(true);
        return;
    }
    // The watch starts at the revision of the first page, so that no change between two pages is missed.
    if (page_items_.empty()) {
        revision_ = answer.revision;
    }
    page_items_.insert(page_items_.end(), answer.items.begin(), answer.items.end());
    if (answer.has_more && !answer.items.empty()) {
        list(answer.items.back().name);
        return;
    }
    set_reachable(true);
    complete_ = true;
    pause_ = settings_.min_pause;
    log_.write(log_level::info, "metadata", "listed",
               {{"collection", to_string(which_)}, {"objects", page_items_.size()}, {"revision", revision_}});
    if (on_list) {
        on_list(page_items_);
    }
    watch();
}

void collection_watch::watch() {
    if (alive_ == nullptr) {
        return;
    }
    store_.watch(which_, revision_, settings_.wait,
                 [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                     if (!alive.expired()) {
                         on_changes(answer);
                     }
                 });
}

void collection_watch::on_changes(const store_answer& answer) {
    if (answer.outcome == store_outcome::history_lost) {
        log_.write(log_level::info, "metadata", "history_lost",
                   {{"collection", to_string(which_)}, {"revision", revision_}});
        list("");
        return;
    }
    if (answer.outcome != store_outcome::done) {
        retry(false);
        return;
    }
    set_reachable(true);
    pause_ = settings_.min_pause;
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

void collection_watch::retry(bool from_list) {
    set_reachable(false);
    const double spread = 0.5 + random() / 2;
    const duration delay(static_cast<std::int64_t>(static_cast<double>(pause_.count()) * spread));
    pause_ = std::min(pause_ * 2, settings_.max_pause);
    call_after(delay, [this, from_list, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) {
            return;
        }
        if (from_list) {
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
               reachable ? "store_reachable" : "store_unreachable", {{"collection", to_string(which_)}});
    if (on_reachable) {
        on_reachable(reachable);
    }
}

} // namespace gentianhill
