#include "gentianhill/promotion/coordinator_ranking.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace gentianhill {

namespace {

struct scored_candidate {
    std::uint64_t score = 0;
    const coordinator_candidate* candidate = nullptr;
};

std::uint64_t score_of(std::string_view group, const std::string& daemon) {
    const std::uint64_t group_hash = XXH3_64bits(group.data(), group.size());
    return XXH3_64bits_withSeed(daemon.data(), daemon.size(), group_hash);
}

} // namespace

std::vector<std::string> rank_coordinators(std::string_view group,
                                           const std::vector<coordinator_candidate>& candidates,
                                           std::size_t count) {
    std::vector<scored_candidate> scored;
    scored.reserve(candidates.size());
    for (const coordinator_candidate& candidate : candidates) {
        scored.push_back(scored_candidate{score_of(group, candidate.daemon), &candidate});
    }
    std::sort(scored.begin(), scored.end(), [](const scored_candidate& left, const scored_candidate& right) {
        return std::tie(left.score, left.candidate->daemon) > std::tie(right.score, right.candidate->daemon);
    });

    // The first pass takes the best candidate of each zone, the second pass the best of the rest.
    std::vector<std::string> ranked;
    std::vector<std::string_view> zones;
    for (const bool needs_new_zone : {true, false}) {
        for (scored_candidate& entry : scored) {
            if (ranked.size() == count) {
                return ranked;
            }
            const bool is_used_zone =
                entry.candidate != nullptr &&
                std::find(zones.begin(), zones.end(), entry.candidate->zone) != zones.end();
            if (entry.candidate == nullptr || (needs_new_zone && is_used_zone)) {
                continue;
            }
            ranked.push_back(entry.candidate->daemon);
            zones.push_back(entry.candidate->zone);
            entry.candidate = nullptr;
        }
    }
    return ranked;
}

std::optional<std::size_t> coordinator_rank(std::string_view group, std::string_view daemon,
                                            const std::vector<coordinator_candidate>& candidates,
                                            std::size_t count) {
    const std::vector<std::string> ranked = rank_coordinators(group, candidates, count);
    const std::vector<std::string>::const_iterator found = std::find(ranked.begin(), ranked.end(), daemon);
    if (found == ranked.end()) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(found - ranked.begin());
}

} // namespace gentianhill
