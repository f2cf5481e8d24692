#include "gentianhill/proxy/daemon_registry.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

daemon_registry::daemon_registry(metadata_store& store, logger& log, const daemon_registry_settings& settings,
                                 std::string name, std::string incarnation)
    : store_(store),
      log_(log),
      settings_(settings),
      name_(std::move(name)),
      incarnation_(std::move(incarnation)) {}

void daemon_registry::tick() {
    if (own_entry_removed_) {
        return;
    }
    const time_point current = now();
    if (!writing_ && current >= next_refresh_) {
        next_refresh_ = current + settings_.refresh_interval;
        write(entries_[name_].revision);
    }
    if (!listing_ && current >= next_list_) {
        next_list_ = current + settings_.list_interval;
        listing_ = true;
        for (std::map<std::string, observation>::value_type& entry : entries_) {
            entry.second.listed = false;
        }
        list("");
    }
}

void daemon_registry::write(std::uint64_t revision) {
    writing_ = true;
    stored_object object;
    object.name = name_;
    object.revision = revision;
    object.content = {{"incarnation", incarnation_}, {"refresh", ++refreshes_}};
    store_.put(store_collection::proxies, object,
               [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                   if (alive.expired()) {
                       return;
                   }
                   writing_ = false;
                   observation& own = entries_[name_];
                   if (answer.object &&
                       (answer.outcome == store_outcome::done || answer.outcome == store_outcome::conflict)) {
                       own.revision = answer.object->revision;
                   }
                   if (answer.outcome == store_outcome::not_found) {
                       own.revision = 0;
                   }
                   // The entry was written by an earlier process or was removed: write it again at the next
                   // tick.
                   if (answer.outcome == store_outcome::conflict ||
                       answer.outcome == store_outcome::not_found) {
                       next_refresh_ = now();
                   }
               });
}

void daemon_registry::list(const std::string& after) {
    store_.list(store_collection::proxies, after,
                [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                    if (!alive.expired()) {
                        on_page(answer);
                    }
                });
}

void daemon_registry::on_page(const store_answer& answer) {
    if (answer.outcome != store_outcome::done) {
        listing_ = false;
        return;
    }
    const time_point current = now();
    for (const stored_object& object : answer.items) {
        observation& entry = entries_[object.name];
        if (entry.revision != object.revision || entry.changed_at == time_point{}) {
            entry.revision = object.revision;
            entry.changed_at = current;
        }
        entry.listed = true;
    }
    if (answer.has_more && !answer.items.empty()) {
        list(answer.items.back().name);
        return;
    }
    listing_ = false;
    recount();
}

void daemon_registry::recount() {
    const time_point current = now();
    std::size_t live_count = 0;
    for (std::map<std::string, observation>::iterator entry = entries_.begin(); entry != entries_.end();) {
        const bool own = entry->first == name_;
        if (!own && !entry->second.listed) {
            entry = entries_.erase(entry);
            continue;
        }
        const bool live = own || current - entry->second.changed_at < settings_.entry_timeout;
        live_count += live ? 1U : 0U;
        ++entry;
    }
    if (live_count == count_) {
        return;
    }
    count_ = live_count;
    log_.write(log_level::info, "registry", "daemons_counted", {{"count", count_}});
    if (on_count) {
        on_count(count_);
    }
}

void daemon_registry::remove_own_entry() {
    if (own_entry_removed_) {
        return;
    }
    own_entry_removed_ = true;
    store_.remove(store_collection::proxies, name_, [](const store_answer&) {});
}

} // namespace gentianhill
