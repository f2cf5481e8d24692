#include "gentianhill/core/rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace gentianhill {

std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate) {
    const XXH64_hash_t seed = XXH3_64bits(subject.data(), subject.size());
    return XXH3_64bits_withSeed(candidate.data(), candidate.size(), seed);
}

std::vector<std::string> rendezvous_order(std::string_view subject, std::vector<std::string> candidates) {
    std::vector<std::pair<std::uint64_t, std::string>> weighted;
    weighted.reserve(candidates.size());
    for (std::string& candidate : candidates) {
        const std::uint64_t weight = rendezvous_weight(subject, candidate);
        weighted.emplace_back(weight, std::move(candidate));
    }
    std::sort(weighted.begin(), weighted.end(), std::greater<>{});
    std::vector<std::string> names;
    names.reserve(weighted.size());
    for (std::pair<std::uint64_t, std::string>& entry : weighted) {
        names.push_back(std::move(entry.second));
    }
    return names;
}

} // namespace gentianhill
