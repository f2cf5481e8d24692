#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/core/object_reader.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace gentianhill {

/// Sender of a message between daemons; part of every request and of every answer.
struct peer_envelope {
    /// Name of the daemon.
    std::string daemon;
    /// Its availability zone.
    std::string zone;
    /// Rises with each start of the daemon.
    std::uint64_t incarnation = 0;
    /// Hybrid logical clock timestamp as text.
    std::string clock;
    /// True once the daemon takes no new work.
    bool draining = false;

    /// Complete JSON form.
    [[nodiscard]] nlohmann::json to_json() const;
    /// JSON form without name, zone and incarnation, for a connection on which the receiver knows them.
    [[nodiscard]] nlohmann::json to_short_json() const;
    /// Reads either form; `known` is the sender as known on this connection, if any.
    /// Errors: those of object_reader, below `path`; missing_field for a short form of an unknown sender.
    [[nodiscard]] static std::optional<peer_envelope> from_json(const nlohmann::json& value,
                                                                const std::string& path,
                                                                const std::optional<peer_envelope>& known,
                                                                error& reason);
};

} // namespace gentianhill
