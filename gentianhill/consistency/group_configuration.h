#pragma once

#include "gentianhill/core/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace gentianhill {

/// One instance of a database group, as set by configuration.
struct instance_configuration {
    /// Name within the group.
    std::string name;
    /// Address of its backend server.
    endpoint address;
    /// Availability zone of its backend server.
    std::string zone;
    /// Connection limit that the instance enforces.
    std::uint32_t connections = 0;
    /// Statements that it runs at the same time.
    std::uint32_t slots = 0;
};

/// One database group, as set by configuration.
struct group_configuration {
    /// Name of the group.
    std::string name;
    /// All members; majorities are counted over these, reachable or not.
    std::vector<instance_configuration> instances;

    /// Smallest number of members that is a majority.
    [[nodiscard]] std::size_t majority() const { return instances.size() / 2 + 1; }
    /// Returns the member with this name, or null when there is none.
    [[nodiscard]] const instance_configuration* find(const std::string& instance) const {
        for (const instance_configuration& candidate : instances) {
            if (candidate.name == instance) {
                return &candidate;
            }
        }
        return nullptr;
    }
};

} // namespace gentianhill
