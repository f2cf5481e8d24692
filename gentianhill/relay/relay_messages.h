#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/content/content_digest.h"
#include "gentianhill/core/error.h"
#include "gentianhill/core/time.h"
#include "gentianhill/metadata/metadata_store.h"
#include "gentianhill/metadata/store_version.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace gentianhill {

/// Asks a daemon for the changes of the collections since the versions that the sender has.
struct state_request {
    /// Name of the sender.
    std::string daemon;
    /// Version of the sender's state by collection; a collection without a state is missing.
    std::map<store_collection, store_version> versions;
    /// Time for which the answer may be held back while there are no changes.
    duration wait{0};
    /// False when only a notice of changes is wanted, because another source delivers them.
    bool with_content = true;
    /// Version of the configuration in effect at the sender, when a higher one is wanted.
    std::optional<std::uint64_t> configuration_version;
    /// True when the answer may name the contents of large objects instead of holding them.
    bool takes_references = false;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader.
    [[nodiscard]] static std::optional<state_request> from_json(const nlohmann::json& value, error& reason);
};

/// State of one collection, or its changes since a revision.
struct collection_update {
    /// Version of the store as of which the state is complete.
    store_version version;
    /// Revision of the same era after which `events` are all changes; nothing when `objects` is the whole
    /// collection.
    std::optional<std::uint64_t> from;
    std::vector<store_event> events;
    std::vector<stored_object> objects;
    /// Contents that are not in the message, by the names of their objects, whose content is null.
    std::map<std::string, content_reference> references;
};

/// Answer to a state_request.
struct state_answer {
    /// Name of the daemon that answers.
    std::string daemon;
    /// True while the store answers that daemon, directly or through its own sources.
    bool store_reachable = false;
    /// Time since the store's last answer, when this answer was made.
    duration age{0};
    /// True when the receiver lacks changes, whether or not the answer contains them.
    bool has_news = false;
    /// Collections whose version is newer than the receiver's; empty when it asked for no content.
    std::map<store_collection, collection_update> updates;
    /// True when the receiver stated a version of some collection that is newer than that of this daemon.
    bool is_behind = false;
    /// Configuration in effect, when the receiver wants it and no update holds it. It may be newer than the
    /// store's, which may have been restored from a copy.
    std::optional<stored_object> configuration;
    /// Content of `configuration` when it is not in the message.
    std::optional<content_reference> configuration_reference{};
    /// Time since a moment as of which the receiver's configuration is complete once it has applied this
    /// answer, when the answer was made; nothing when that is not known.
    std::optional<duration> configuration_age{};
    /// Time from a moment as of which the receiver's list of instances is complete once it has applied this
    /// answer to the receipt of the request; nothing when that is not known.
    std::optional<duration> instances_age{};

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader; out_of_range for more objects than an answer may hold.
    [[nodiscard]] static std::optional<state_answer> from_json(const nlohmann::json& value, error& reason);
};

/// What a daemon needs to know about a group.
struct evidence_need {
    /// The primary must still be trusted.
    bool trust = false;
    /// Greatest age of a read point; nothing when none is needed.
    std::optional<duration> max_point_age;
};

/// Asks a daemon for evidence about a group's primary.
struct evidence_request {
    /// Name of the sender.
    std::string daemon;
    std::string group;
    evidence_need need;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader.
    [[nodiscard]] static std::optional<evidence_request> from_json(const nlohmann::json& value,
                                                                   error& reason);
};

/// Log position of the primary, which covers every commit acknowledged before it was asked for.
struct aged_position {
    log_position position;
    /// Time since it was asked for, when the message was made.
    duration age{0};
};

/// Answer to an evidence_request. All times are relative to the moment at which the answer was made, so that
/// the receiver can count them from its own request without synchronised clocks.
struct evidence_answer {
    /// Name of the daemon that answers.
    std::string daemon;
    /// Primary and term that the evidence is about; empty and 0 when none is known.
    std::string primary;
    term_number term = 0;
    /// Time for which the primary is trusted from now on; negative when the trust has ended.
    duration trust_left{0};
    /// Positions that may be used as read points, oldest first.
    std::vector<aged_position> points;
    /// Keys of members that together hold every acknowledged commit; empty when that is not known.
    std::vector<std::string> settled_members;
    /// Era of the metadata store in which that became known.
    std::uint64_t settled_era = 0;

    [[nodiscard]] nlohmann::json to_json() const;
    /// Errors: those of object_reader; out_of_range for more points or members than an answer may hold.
    [[nodiscard]] static std::optional<evidence_answer> from_json(const nlohmann::json& value, error& reason);
};

} // namespace gentianhill
