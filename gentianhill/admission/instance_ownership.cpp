#include "gentianhill/admission/instance_ownership.h"

#include <xxhash.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace gentianhill {

namespace {

std::uint64_t rendezvous_score(std::string_view instance, const std::string& daemon) {
    const std::uint64_t seed = XXH3_64bits(instance.data(), instance.size());
    return XXH3_64bits_withSeed(daemon.data(), daemon.size(), seed);
}

const owner_candidate* find_highest_score(const std::vector<owner_candidate>& members,
                                          std::string_view instance, const std::string_view* zone) {
    const owner_candidate* best = nullptr;
    std::uint64_t best_score = 0;
    for (const owner_candidate& member : members) {
        if (zone != nullptr && member.zone != *zone) {
            continue;
        }
        const std::uint64_t score = rendezvous_score(instance, member.daemon);
        if (best == nullptr || score > best_score) {
            best = &member;
            best_score = score;
        }
    }
    return best;
}

} // namespace

instance_ownership::instance_ownership(const instance_ownership_settings& settings) : settings_(settings) {}

void instance_ownership::set_members(std::vector<owner_candidate> members, time_point now) {
    std::sort(members.begin(), members.end());
    members.erase(std::unique(members.begin(), members.end()), members.end());
    if (!has_members_) {
        has_members_ = !members.empty();
        members_ = std::move(members);
        return;
    }
    // A membership equal to the one in effect cancels the pending change.
    if (members == members_) {
        has_pending_ = false;
        return;
    }
    if (!has_pending_ || members != pending_members_) {
        pending_members_ = std::move(members);
        pending_since_ = now;
        has_pending_ = true;
    }
}

bool instance_ownership::apply_stable_members(time_point now) {
    if (!has_pending_ || now - pending_since_ < settings_.stable_time) {
        return false;
    }
    members_ = std::move(pending_members_);
    pending_members_.clear();
    has_pending_ = false;
    return true;
}

std::optional<std::string_view> instance_ownership::owner_of(std::string_view instance,
                                                             std::string_view zone) const {
    const owner_candidate* owner = find_highest_score(members_, instance, &zone);
    if (owner == nullptr) {
        owner = find_highest_score(members_, instance, nullptr);
    }
    return owner == nullptr ? std::nullopt : std::optional<std::string_view>{owner->daemon};
}

} // namespace gentianhill
