#include "gentianhill/relay/daemon_directory.h"

#include "gentianhill/core/rendezvous.h"

#include <algorithm>
#include <utility>

namespace gentianhill {

namespace {

constexpr const char* zone_field = "zone";
constexpr const char* address_field = "peer";

std::string text_of(const nlohmann::json& content, const char* name) {
    if (!content.is_object()) {
        return {};
    }
    const nlohmann::json::const_iterator found = content.find(name);
    return found != content.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

directory_entry read_entry(const stored_object& object) {
    directory_entry entry;
    entry.zone = text_of(object.content, zone_field);
    const std::string address = text_of(object.content, address_field);
    if (!address.empty()) {
        // An entry with an address that cannot be read still counts as a daemon.
        error ignored;
        entry.address = endpoint::parse(address, address_field, ignored);
    }
    return entry;
}

} // namespace

daemon_directory::daemon_directory(metadata_store& store, const collection_replica& replica, logger& log,
                                   const daemon_directory_settings& settings, std::string name,
                                   directory_entry self)
    : store_(store),
      replica_(replica),
      log_(log),
      settings_(settings),
      name_(std::move(name)),
      self_(std::move(self)) {}

nlohmann::json daemon_directory::own_content() const {
    return {{zone_field, self_.zone}, {address_field, self_.address ? self_.address->to_string() : ""}};
}

void daemon_directory::update() {
    std::map<std::string, directory_entry, std::less<>> entries;
    std::vector<std::string> own_zone{name_};
    for (const auto& [name, object] : replica_.objects()) {
        if (name == name_) {
            continue;
        }
        const directory_entry entry = read_entry(object);
        if (entry.zone == self_.zone && entry.address) {
            own_zone.push_back(name);
            heard_at_.try_emplace(name, now());
        }
        entries.emplace(name, entry);
    }
    const auto own = replica_.objects().find(name_);
    if (own != replica_.objects().end()) {
        own_version_ = {own->second.era, own->second.revision};
        own_entry_confirmed_ = own->second.content == own_content();
    } else if (replica_.version() > own_version_) {
        // Another daemon has removed it, since this one was silent for long, or the store was restored from
        // an earlier copy.
        own_version_.revision = 0;
        own_entry_confirmed_ = false;
    }
    if (entries != entries_) {
        entries_ = std::move(entries);
        ranks_.clear();
        zone_orders_.clear();
        for (std::map<std::string, time_point>::iterator heard = heard_at_.begin();
             heard != heard_at_.end();) {
            heard = entries_.find(heard->first) == entries_.end() ? heard_at_.erase(heard) : std::next(heard);
        }
    }
    const std::vector<std::string> order = rendezvous_order(self_.zone, std::move(own_zone));
    const std::vector<std::string>::const_iterator self = std::find(order.begin(), order.end(), name_);
    ranked_above_.assign(order.begin(), self);
    ranked_below_.assign(std::next(self), order.end());
    if (count() != reported_count_) {
        reported_count_ = count();
        log_.write(log_level::info, "directory", "daemons_counted", {{"count", reported_count_}});
        if (on_count) {
            on_count(reported_count_);
        }
    }
}

std::size_t daemon_directory::count() const {
    return entries_.size() + 1;
}

void daemon_directory::on_heard(const std::string& name) {
    const std::map<std::string, time_point>::iterator found = heard_at_.find(name);
    if (found != heard_at_.end()) {
        found->second = now();
    }
}

void daemon_directory::tick(bool store_reachable) {
    const time_point current = now();
    if (!own_entry_removed_ && !own_entry_confirmed_ && !writing_ && current >= next_write_) {
        write();
    }
    if (current >= next_check_) {
        if (current - next_check_ > settings_.suspension_limit) {
            // This process was suspended and could hear nobody.
            for (std::map<std::string, time_point>::value_type& heard : heard_at_) {
                heard.second = current;
            }
        }
        next_check_ = current + settings_.check_interval;
        if (store_reachable && !own_entry_removed_) {
            remove_silent(current);
        }
    }
}

void daemon_directory::write() {
    writing_ = true;
    next_write_ = now() + settings_.write_pause;
    stored_object object;
    object.name = name_;
    object.revision = own_version_.revision;
    object.content = own_content();
    store_.put(store_collection::proxies, object,
               [this, alive = std::weak_ptr<bool>(alive_)](const store_answer& answer) {
                   if (!alive.expired()) {
                       on_written(answer);
                   }
               });
}

void daemon_directory::on_written(const store_answer& answer) {
    writing_ = false;
    if (answer.outcome == store_outcome::not_found) {
        own_version_.revision = 0;
        next_write_ = now();
    }
    // An answer of before a restore says nothing about the entry in the restored store.
    if (!answer.object || answer.era < replica_.version().era) {
        return;
    }
    own_version_ = {answer.era, answer.object->revision};
    // An earlier process of this name has left an entry; it needs no new one when it is the same.
    own_entry_confirmed_ = answer.outcome == store_outcome::done || answer.object->content == own_content();
    if (!own_entry_confirmed_) {
        next_write_ = now();
    }
}

bool daemon_directory::is_silent(const std::string& name, time_point current) const {
    const std::map<std::string, time_point>::const_iterator heard = heard_at_.find(name);
    return heard != heard_at_.end() && current - heard->second >= settings_.silence_limit;
}

void daemon_directory::remove_silent(time_point current) {
    const bool is_first = std::all_of(ranked_above_.begin(), ranked_above_.end(),
                                      [&](const std::string& name) { return is_silent(name, current); });
    const bool hears_any = std::any_of(heard_at_.begin(), heard_at_.end(),
                                       [&](const std::map<std::string, time_point>::value_type& heard) {
                                           return current - heard.second < settings_.silence_limit / 2;
                                       });
    // When one is silent and none of several has been heard lately, it is this one that is cut off. The
    // others reach the limit one after the other, so the limit itself does not tell.
    if (!is_first || !self_.address || (!hears_any && heard_at_.size() > 1)) {
        return;
    }
    for (std::map<std::string, time_point>::value_type& heard : heard_at_) {
        const auto object = replica_.objects().find(heard.first);
        if (current - heard.second < settings_.silence_limit || object == replica_.objects().end()) {
            continue;
        }
        // Counted anew, so that a call that fails is repeated only after another silence.
        heard.second = current;
        log_.write(log_level::info, "directory", "silent_daemon_removed", {{"daemon", heard.first}});
        store_.remove(store_collection::proxies, heard.first, object->second.revision,
                      [](const store_answer&) {});
    }
}

void daemon_directory::remove_own_entry() {
    if (own_entry_removed_) {
        return;
    }
    own_entry_removed_ = true;
    store_.remove(store_collection::proxies, name_, 0, [](const store_answer&) {});
}

const std::vector<std::string>& daemon_directory::zone_order(const std::string& subject) const {
    const auto known = zone_orders_.find(subject);
    if (known != zone_orders_.end()) {
        return known->second;
    }
    std::vector<std::string> names{name_};
    for (const auto& [name, entry] : entries_) {
        if (entry.zone == self_.zone && entry.address) {
            names.push_back(name);
        }
    }
    return zone_orders_.emplace(subject, rendezvous_order(subject, std::move(names))).first->second;
}

std::size_t daemon_directory::rank(const std::string& subject) const {
    const auto known = ranks_.find(subject);
    if (known != ranks_.end()) {
        return known->second;
    }
    const std::uint64_t own_weight = rendezvous_weight(subject, name_);
    const std::size_t rank = static_cast<std::size_t>(
        std::count_if(entries_.begin(), entries_.end(),
                      [&](const std::map<std::string, directory_entry, std::less<>>::value_type& entry) {
                          const std::uint64_t weight = rendezvous_weight(subject, entry.first);
                          return weight > own_weight || (weight == own_weight && entry.first > name_);
                      }));
    ranks_.emplace(subject, rank);
    return rank;
}

std::optional<endpoint> daemon_directory::address_of(const std::string& name) const {
    const auto found = entries_.find(name);
    return found == entries_.end() ? std::nullopt : found->second.address;
}

} // namespace gentianhill
