#include "gentianhill/metadata/collection_replica.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace gentianhill {

bool collection_replica::replace(const std::vector<stored_object>& objects, store_version version) {
    if (has_state_ && version < version_) {
        return false;
    }
    objects_.clear();
    for (const stored_object& object : objects) {
        objects_.insert_or_assign(object.name, object);
    }
    history_.clear();
    history_from_ = version.revision;
    version_ = version;
    has_state_ = true;
    if (on_list) {
        on_list(objects);
    }
    if (on_update) {
        on_update(true);
    }
    return true;
}

bool collection_replica::apply(store_version from, const std::vector<store_event>& events,
                               std::uint64_t revision) {
    if (!has_state_ || from.era != version_.era || from.revision > version_.revision ||
        revision <= version_.revision) {
        return false;
    }
    version_.revision = revision;
    bool has_news = false;
    for (const store_event& event : events) {
        if (apply_event(event)) {
            has_news = true;
            remember(event, revision);
            if (on_event) {
                on_event(event);
            }
        }
    }
    if (on_update) {
        on_update(has_news);
    }
    return true;
}

bool collection_replica::apply_event(const store_event& event) {
    const auto held = objects_.find(event.object.name);
    if (event.deleted) {
        // An object that was created again since is newer than its deletion.
        if (held == objects_.end() || held->second.revision > event.object.revision) {
            return false;
        }
        objects_.erase(held);
        return true;
    }
    if (held != objects_.end() && held->second.revision >= event.object.revision) {
        return false;
    }
    objects_.insert_or_assign(event.object.name, event.object);
    return true;
}

void collection_replica::remember(const store_event& event, std::uint64_t update_revision) {
    // A change that is followed by another one of the same object is of no use to anybody.
    const auto former = std::find_if(history_.begin(), history_.end(), [&event](const past_change& change) {
        return change.name == event.object.name;
    });
    if (former != history_.end()) {
        history_.erase(former);
    }
    std::optional<stored_object> deleted;
    if (event.deleted) {
        deleted = event.object;
        deleted->content = nullptr;
    }
    history_.push_back({update_revision, event.object.name, std::move(deleted)});
    while (history_.size() > settings_.max_history) {
        history_from_ = history_.front().update_revision;
        history_.pop_front();
    }
}

void collection_replica::discard() {
    has_state_ = false;
    version_ = {};
    history_.clear();
}

bool collection_replica::has_changes_since(store_version version) const {
    if (!has_state_ || version.era != version_.era) {
        return has_state_ && version.era < version_.era;
    }
    return version.revision < history_from_ ||
           (!history_.empty() && history_.back().update_revision > version.revision);
}

std::optional<std::vector<store_event>> collection_replica::changes_since(store_version version,
                                                                          const copy_function& copy) const {
    if (!has_state_ || version.era != version_.era || version.revision < history_from_) {
        return std::nullopt;
    }
    std::vector<store_event> changes;
    for (const past_change& change : history_) {
        if (change.update_revision <= version.revision) {
            continue;
        }
        if (change.deleted) {
            changes.push_back({*change.deleted, true});
        } else {
            const auto held = objects_.find(change.name);
            assert(held != objects_.end());
            changes.push_back({copy(held->second), false});
        }
    }
    return changes;
}

} // namespace gentianhill
