#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Rendezvous weight of a candidate for a subject; the same on every daemon.
[[nodiscard]] std::uint64_t rendezvous_weight(std::string_view subject, std::string_view candidate);

/// Orders candidates by their weight for a subject, highest first. The order of the others does not change
/// when a candidate joins or leaves.
[[nodiscard]] std::vector<std::string> rendezvous_order(std::string_view subject,
                                                        std::vector<std::string> candidates);

} // namespace gentianhill
