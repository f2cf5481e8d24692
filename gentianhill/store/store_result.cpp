#include "gentianhill/store/store_result.h"

#include <array>
#include <utility>

namespace gentianhill {

namespace {

constexpr std::array store_outcome_names{
    std::pair{store_outcome::found, std::string_view{"found"}},
    std::pair{store_outcome::stored, std::string_view{"stored"}},
    std::pair{store_outcome::removed, std::string_view{"removed"}},
    std::pair{store_outcome::not_found, std::string_view{"not_found"}},
    std::pair{store_outcome::version_conflict, std::string_view{"version_conflict"}},
    std::pair{store_outcome::platform_unavailable, std::string_view{"platform_unavailable"}},
    std::pair{store_outcome::unknown, std::string_view{"unknown"}},
    std::pair{store_outcome::bad_answer, std::string_view{"bad_answer"}},
};

constexpr std::array update_outcome_names{
    std::pair{update_outcome::stored, std::string_view{"stored"}},
    std::pair{update_outcome::unchanged, std::string_view{"unchanged"}},
    std::pair{update_outcome::conflicts, std::string_view{"conflicts"}},
    std::pair{update_outcome::platform_unavailable, std::string_view{"platform_unavailable"}},
    std::pair{update_outcome::bad_answer, std::string_view{"bad_answer"}},
};

constexpr std::array create_outcome_names{
    std::pair{create_outcome::created, std::string_view{"created"}},
    std::pair{create_outcome::already_there_same, std::string_view{"already_there_same"}},
    std::pair{create_outcome::already_there_other, std::string_view{"already_there_other"}},
    std::pair{create_outcome::unavailable, std::string_view{"unavailable"}},
    std::pair{create_outcome::bad_answer, std::string_view{"bad_answer"}},
};

template <typename table, typename value>
std::string_view find_name(const table& names, value wanted) {
    for (const std::pair<value, std::string_view>& entry : names) {
        if (entry.first == wanted) {
            return entry.second;
        }
    }
    return "unexpected";
}

} // namespace

std::string_view to_string(store_outcome outcome) {
    return find_name(store_outcome_names, outcome);
}

std::string_view to_string(update_outcome outcome) {
    return find_name(update_outcome_names, outcome);
}

std::string_view to_string(create_outcome outcome) {
    return find_name(create_outcome_names, outcome);
}

} // namespace gentianhill
