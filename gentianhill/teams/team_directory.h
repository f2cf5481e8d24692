#pragma once

#include "gentianhill/teams/key_digest.h"
#include "gentianhill/teams/team.h"

#include <cstddef>
#include <map>
#include <memory>
#include <string>

namespace gentianhill {

/// Teams of one configuration, found by the keys of their callers.
class team_directory {
public:
    /// Adds a team; false if there is one of that name already.
    [[nodiscard]] bool add(const std::shared_ptr<const team>& added);
    /// Gives a team another key; false if a team has that key already.
    [[nodiscard]] bool add_key(const key_digest& key, const std::shared_ptr<const team>& holder);

    /// Returns the team that holds a key; null when there is none.
    [[nodiscard]] std::shared_ptr<const team> find(const key_digest& key) const;
    /// Teams by name.
    [[nodiscard]] const std::map<std::string, std::shared_ptr<const team>, std::less<>>& teams() const {
        return teams_;
    }
    [[nodiscard]] std::size_t key_count() const { return holders_.size(); }

private:
    std::map<std::string, std::shared_ptr<const team>, std::less<>> teams_;
    std::map<key_digest, std::shared_ptr<const team>> holders_;
};

} // namespace gentianhill
