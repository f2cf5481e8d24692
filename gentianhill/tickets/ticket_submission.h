#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/tickets/ticket.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>

namespace gentianhill {

/// What a submission does next.
enum class submission_step : std::uint8_t {
    /// Create the object with if_version 0.
    create,
    /// Read the object.
    read_back,
    /// The ticket is stored.
    accepted,
    /// The number holds another ticket.
    number_taken,
    /// Neither could be established in the allowed number of calls.
    unknown,
};

/// Name of a step.
[[nodiscard]] std::string_view to_string(submission_step step);

/// Decides how a ticket is created once under its number although answers may be lost: a create whose
/// outcome is uncertain is resolved by reading back and comparing content.
class ticket_submission {
public:
    /// Calls to the platform before the submission gives up with `unknown`.
    static constexpr std::uint32_t default_max_calls = 6;

    explicit ticket_submission(const ticket& submitted, std::uint32_t max_calls = default_max_calls);

    /// Next call to make, or the result.
    [[nodiscard]] submission_step next() const { return next_; }
    /// Content to store.
    [[nodiscard]] const nlohmann::json& content() const { return content_; }
    /// Answer of a create: no failure, version_conflict (the object exists), or a transport error.
    void on_create(const error& result);
    /// Answer of a read: the stored content, not_found, or another error.
    void on_read(const std::optional<nlohmann::json>& stored, const error& result);

private:
    void advance(submission_step step);

    nlohmann::json content_;
    std::uint32_t calls_left_;
    submission_step next_ = submission_step::create;
};

} // namespace gentianhill
