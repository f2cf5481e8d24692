#include "gentianhill/teams/team_directory.h"

namespace gentianhill {

bool team_directory::add(const std::shared_ptr<const team>& added) {
    return teams_.emplace(added->name, added).second;
}

bool team_directory::add_key(const key_digest& key, const std::shared_ptr<const team>& holder) {
    return holders_.emplace(key, holder).second;
}

std::shared_ptr<const team> team_directory::find(const key_digest& key) const {
    const std::map<key_digest, std::shared_ptr<const team>>::const_iterator found = holders_.find(key);
    return found == holders_.end() ? nullptr : found->second;
}

} // namespace gentianhill
