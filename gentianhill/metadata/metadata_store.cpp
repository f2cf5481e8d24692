#include "gentianhill/metadata/metadata_store.h"

#include <array>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::array<std::string_view, 5> collection_names{"instances", "configuration", "duties", "proxies",
                                                           "quotas"};
constexpr std::array<std::string_view, 6> outcome_names{"done",         "not_found", "conflict",
                                                        "history_lost", "refused",   "unknown"};

} // namespace

std::string_view to_string(store_collection collection) {
    return collection_names.at(static_cast<std::size_t>(collection));
}

std::string_view to_string(store_outcome outcome) {
    return outcome_names.at(static_cast<std::size_t>(outcome));
}

} // namespace gentianhill
