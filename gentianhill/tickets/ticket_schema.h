#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/tickets/ticket.h"
#include "gentianhill/tickets/ticket_state.h"

#include <nlohmann/json.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill {

/// Largest ticket in bytes; objects of the platform hold 1 MB.
inline constexpr std::size_t max_ticket_bytes = 1'000'000;
/// Largest ticket number; larger ones are not exact in JSON tools that use floating point.
inline constexpr ticket_number max_ticket_number = (ticket_number{1} << 53U) - 1;
/// Largest step from the highest number in effect. A mistyped number near the maximum would leave no higher
/// number for later tickets.
inline constexpr ticket_number max_number_step = 1'000'000;

/// Reads and checks a ticket as a whole; nothing is used of one that is refused.
/// Errors: those of parse_json and object_reader, with the path of the offending field; bad_value for
/// fields that contradict each other.
[[nodiscard]] std::optional<ticket> parse_ticket(std::string_view text, error& reason);
[[nodiscard]] std::optional<ticket> ticket_from_json(const nlohmann::json& value, error& reason);

/// Reads the state of one subject. Errors: as parse_ticket(), with paths below `path`.
[[nodiscard]] std::optional<ticket_subject> subject_from_json(std::string_view subject,
                                                              const nlohmann::json& value,
                                                              const std::string& path, error& reason);

/// Checks a valid ticket against the view in effect before it is created.
/// Errors: superseded (all its subjects have higher tickets), out_of_range (max_number_step), bad_value (an
/// address belongs to another group, or a group changes more than one instance: majorities before and after
/// would not overlap).
[[nodiscard]] bool check_ticket(const ticket& checked, const ticket_state& view, error& reason);

/// What is allowed and probably not meant, one sentence each.
[[nodiscard]] std::vector<std::string> ticket_warnings(const ticket& checked, const ticket_state& view);

} // namespace gentianhill
