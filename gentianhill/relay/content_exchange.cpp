#include "gentianhill/relay/content_exchange.h"

#include "gentianhill/core/object_reader.h"

#include <algorithm>

namespace gentianhill {

namespace {

/// Objects whose digests are remembered.
constexpr std::size_t max_known_contents = 4096;
/// Approximate size of a value besides its text, in bytes.
constexpr std::size_t value_bytes = 8;

/// Subtracts the approximate size of a value from `left`, and stops when that is used up.
void subtract_size(const nlohmann::json& value, std::size_t& left) {
    const std::size_t own = value.is_string() ? value.get_ref<const std::string&>().size() : value_bytes;
    left -= std::min(left, own);
    if (!value.is_structured()) {
        return;
    }
    for (nlohmann::json::const_iterator member = value.begin(); member != value.end() && left > 0; ++member) {
        left -= std::min(left, value.is_object() ? member.key().size() : 0);
        subtract_size(*member, left);
    }
}

bool is_larger_than(const nlohmann::json& value, std::size_t bytes) {
    std::size_t left = bytes;
    subtract_size(value, left);
    return left == 0;
}

std::string serialize(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

content_exchange::content_exchange(const content_exchange_settings& settings, relay_port& port, logger& log,
                                   metrics& registry, const std::string& name)
    : settings_(settings),
      port_(port),
      contents_(settings.cache),
      sender_(settings.sender, contents_, log, registry),
      receiver_(settings.receiver, contents_, port.fetch_content, log, registry, name) {
    sender_.now = [this] { return now(); };
    receiver_.now = [this] { return now(); };
    receiver_.on_received = [this](const content_digest&) { on_received(); };
    receiver_.on_failed = [this](const content_digest& digest, const endpoint& sender, const error& reason) {
        on_transfer_failed(digest, sender, reason);
    };
}

std::optional<content_reference> content_exchange::reference_of(store_collection collection,
                                                                const stored_object& object) {
    const std::map<object_key, known_content>::const_iterator known = known_.find({collection, object.name});
    const bool is_known =
        known != known_.end() && known->second.era == object.era && known->second.revision == object.revision;
    if (is_known && contents_.find(known->second.reference.digest) != nullptr) {
        return known->second.reference;
    }
    if (!is_known && !is_larger_than(object.content, settings_.large_content_bytes)) {
        return std::nullopt;
    }
    const content_reference reference = contents_.add(serialize(object.content));
    note_reference(collection, object, reference);
    return reference;
}

void content_exchange::note_reference(store_collection collection, const stored_object& object,
                                      const content_reference& reference) {
    if (known_.size() >= max_known_contents) {
        known_.clear();
    }
    known_.insert_or_assign({collection, object.name}, known_content{object.era, object.revision, reference});
}

void content_exchange::remember(store_collection collection, const collection_replica& replica) {
    store_version& remembered = remembered_[collection];
    if (!replica.has_state() || replica.version() == remembered) {
        return;
    }
    for (const auto& [name, object] : replica.objects()) {
        const bool is_new = replica.version().era != remembered.era || object.revision > remembered.revision;
        if (is_new) {
            static_cast<void>(reference_of(collection, object));
        }
    }
    remembered = replica.version();
}

stored_object content_exchange::copy(store_collection collection, const stored_object& object,
                                     std::optional<content_reference>& reference) {
    reference = reference_of(collection, object);
    if (!reference) {
        return object;
    }
    stored_object head;
    head.name = object.name;
    head.revision = object.revision;
    head.era = object.era;
    return head;
}

bool content_exchange::is_missing(const content_reference& reference) const {
    return contents_.find(reference.digest) == nullptr;
}

std::vector<content_reference> content_exchange::missing_in(const state_answer& answer) const {
    std::vector<content_reference> missing;
    for (const auto& [collection, update] : answer.updates) {
        for (const auto& [name, reference] : update.references) {
            if (is_missing(reference)) {
                missing.push_back(reference);
            }
        }
    }
    if (answer.configuration_reference && is_missing(*answer.configuration_reference)) {
        missing.push_back(*answer.configuration_reference);
    }
    return missing;
}

void content_exchange::resolve(state_answer& answer, time_point asked_at, const endpoint& sender) {
    waiting_answer waiting{sender, {}, asked_at};
    waiting.answer.daemon = answer.daemon;
    for (auto update = answer.updates.begin(); update != answer.updates.end();) {
        const std::map<std::string, content_reference>& references = update->second.references;
        const bool is_complete =
            std::none_of(references.begin(), references.end(),
                         [this](const std::map<std::string, content_reference>::value_type& entry) {
                             return is_missing(entry.second);
                         });
        if (is_complete) {
            ++update;
            continue;
        }
        if (update->first == store_collection::configuration) {
            waiting.answer.configuration_age = std::exchange(answer.configuration_age, std::nullopt);
        }
        if (update->first == store_collection::instances) {
            waiting.answer.instances_age = std::exchange(answer.instances_age, std::nullopt);
        }
        waiting.answer.updates.insert(answer.updates.extract(update++));
    }
    if (answer.configuration_reference && is_missing(*answer.configuration_reference)) {
        waiting.answer.configuration = std::exchange(answer.configuration, std::nullopt);
        waiting.answer.configuration_reference = std::exchange(answer.configuration_reference, std::nullopt);
    }
    error reason;
    if (!fill_in(answer, reason)) {
        answer.updates.clear();
        answer.configuration.reset();
        on_failed(sender, reason);
        return;
    }
    const std::vector<content_reference> missing = missing_in(waiting.answer);
    // A transfer in progress is brought to its end first, so that a burst of changes can't prevent that.
    if (missing.empty() || awaits(sender)) {
        return;
    }
    waiting_.insert_or_assign(sender.to_string(), std::move(waiting));
    for (const content_reference& reference : missing) {
        if (!receiver_.receive(reference, sender)) {
            waiting_.erase(sender.to_string());
            on_failed(sender, {error_code::too_large, "content_bytes", std::to_string(reference.bytes),
                               std::to_string(settings_.receiver.max_content_bytes)});
            return;
        }
    }
}

bool content_exchange::awaits(const endpoint& sender) const {
    return waiting_.count(sender.to_string()) > 0;
}

bool content_exchange::fill_in(state_answer& answer, error& reason) {
    for (auto& [collection, update] : answer.updates) {
        for (store_event& event : update.events) {
            const auto reference = update.references.find(event.object.name);
            if (reference != update.references.end() &&
                !fill_in(collection, event.object, reference->second, reason)) {
                return false;
            }
        }
        for (stored_object& object : update.objects) {
            const auto reference = update.references.find(object.name);
            if (reference != update.references.end() &&
                !fill_in(collection, object, reference->second, reason)) {
                return false;
            }
        }
        update.references.clear();
    }
    if (answer.configuration && answer.configuration_reference) {
        const content_reference reference = *answer.configuration_reference;
        answer.configuration_reference.reset();
        return fill_in(store_collection::configuration, *answer.configuration, reference, reason);
    }
    return true;
}

bool content_exchange::fill_in(store_collection collection, stored_object& object,
                               const content_reference& reference, error& reason) {
    const std::shared_ptr<const std::string> text = contents_.find(reference.digest);
    if (text == nullptr) {
        reason = {error_code::not_found, "content", to_string(reference.digest), "a recent content"};
        return false;
    }
    std::optional<nlohmann::json> content = parse_json(*text, settings_.receiver.max_content_bytes, reason);
    if (!content) {
        return false;
    }
    object.content = std::move(*content);
    note_reference(collection, object, reference);
    return true;
}

void content_exchange::on_received() {
    for (auto entry = waiting_.begin(); entry != waiting_.end();) {
        const std::vector<content_reference> missing = missing_in(entry->second.answer);
        const bool is_on_its_way =
            std::any_of(missing.begin(), missing.end(), [this](const content_reference& reference) {
                return receiver_.is_receiving(reference.digest);
            });
        if (is_on_its_way) {
            ++entry;
            continue;
        }
        waiting_answer complete = std::move(entry->second);
        entry = waiting_.erase(entry);
        error reason;
        // Fails when the contents of one answer are more than the cache holds.
        if (fill_in(complete.answer, reason)) {
            on_complete(complete.answer, complete.asked_at);
        } else {
            on_failed(complete.sender, reason);
        }
    }
}

void content_exchange::on_transfer_failed(const content_digest& digest, const endpoint& sender,
                                          const error& reason) {
    waiting_.erase(sender.to_string());
    on_failed(sender, reason);
    // Another daemon whose answer refers to the same content goes on with it.
    for (const auto& [address, waiting] : waiting_) {
        const std::vector<content_reference> missing = missing_in(waiting.answer);
        const auto wanted =
            std::find_if(missing.begin(), missing.end(), [&digest](const content_reference& reference) {
                return reference.digest == digest;
            });
        if (wanted != missing.end()) {
            static_cast<void>(receiver_.receive(*wanted, waiting.sender));
            return;
        }
    }
}

void content_exchange::on_request(std::string_view message, content_answer_handler respond) {
    sender_.on_request(message, std::move(respond));
}

void content_exchange::tick() {
    sender_.tick();
    receiver_.tick();
}

} // namespace gentianhill
