#include "gentianhill/teams/caller_check.h"

#include <array>
#include <utility>

namespace gentianhill {

namespace {

using verdict_name = std::pair<caller_verdict, std::string_view>;
constexpr std::array<verdict_name, 3> verdict_names{{
    {caller_verdict::allowed, "allowed"},
    {caller_verdict::denied, "denied"},
    {caller_verdict::unknown, "unknown"},
}};

} // namespace

std::string_view to_string(caller_verdict verdict) {
    for (const verdict_name& entry : verdict_names) {
        if (entry.first == verdict) {
            return entry.second;
        }
    }
    return "?";
}

} // namespace gentianhill
