#pragma once

#include "gentianhill/core/time.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Collections of objects in the metadata store.
enum class store_collection : std::uint8_t { instances, configuration, duties, proxies };

/// Name of a collection for logs.
[[nodiscard]] std::string_view to_string(store_collection which);

/// One object of the store.
struct stored_object {
    std::string name;
    /// Revision of the last change; 0 for an object that is not stored yet.
    std::uint64_t revision = 0;
    nlohmann::json content;
};

/// Change of one object.
struct store_event {
    stored_object object;
    bool deleted = false;
};

/// How a call to the store ended.
enum class store_outcome : std::uint8_t {
    done,
    not_found,
    /// The object has another revision, or exists already; the answer may carry it.
    conflict,
    /// The history from which a watch should go on is gone.
    history_lost,
    /// The store refused the call; nothing was done.
    refused,
    /// No answer; a change may have been made, or may be made later.
    unknown,
};

/// Name of an outcome.
[[nodiscard]] std::string_view to_string(store_outcome outcome);

/// Answer of the store.
struct store_answer {
    store_outcome outcome = store_outcome::unknown;
    /// The object concerned, for get and put.
    std::optional<stored_object> object;
    /// One page of a list.
    std::vector<stored_object> items;
    /// True when the list goes on after the last item.
    bool has_more = false;
    /// What a watch has seen.
    std::vector<store_event> events;
    /// Revision of the store from which a watch goes on.
    std::uint64_t revision = 0;
};

/// Calls to the metadata store; another package fills them. Each call answers exactly once.
struct metadata_store {
    using handler = std::function<void(const store_answer&)>;

    /// Lists the objects of a collection after a name; empty from the start. A list of proxies may be seconds
    /// old.
    std::function<void(store_collection which, const std::string& after, handler done)> list;
    /// Waits for changes after a revision, for `wait` at most.
    std::function<void(store_collection which, std::uint64_t revision, duration wait, handler done)> watch;
    /// Reads one object.
    std::function<void(store_collection which, const std::string& name, handler done)> get;
    /// Creates an object of revision 0, or replaces the object that still has the revision given.
    std::function<void(store_collection which, const stored_object& object, handler done)> put;
    /// Removes an object.
    std::function<void(store_collection which, const std::string& name, handler done)> remove;
};

} // namespace gentianhill
