#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/endpoint.h"
#include "gentianhill/core/time.h"
#include "standins/database/sql_statement.h"

#include <nlohmann/json.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace gentianhill::standins {

/// Body of a call with the two fields that every call carries.
struct request_envelope {
    /// Identifier chosen by the sender, a string or an integer; echoed in the answer.
    nlohmann::json request_id;
    /// Run of the sender: "daemon/incarnation", or the name of an instance.
    std::string source;
    /// The whole body.
    nlohmann::json body;
};

struct status_request {
    /// Answer once the accepted term is above this.
    term_number after_term = 0;
    /// Answer once (log_term, position) is above this.
    log_position after;
    /// Longest time to hold the request; zero answers at once.
    duration wait{0};
};

struct execute_request {
    term_number term = 0;
    std::vector<sql_statement> statements;
    bool read_only = false;
    bool in_transaction = false;
};

struct promote_request {
    term_number term = 0;
    std::vector<std::string> members;
};

struct follow_request {
    term_number term = 0;
    std::string primary;
    /// Absent when the address is to be taken from the settings.
    std::optional<endpoint> primary_address;
    bool admit = false;
    /// State that the admission was decided for; empty when the sender names none.
    std::string state_id;
};

struct replicate_request {
    term_number term = 0;
    /// Last entry that the replica has.
    log_position after;
    duration wait{0};
};

/// Longest time that a request may ask to be held.
constexpr duration max_wait = std::chrono::seconds{30};

/// Reads a body. Errors: bad_json, too_large, bad_type, missing_field, out_of_range.
[[nodiscard]] std::optional<request_envelope> read_envelope(std::string_view text, error& reason);

/// Each reads the fields of one call. Errors: as of object_reader, with the name of the field.
[[nodiscard]] std::optional<status_request> read_status(const request_envelope& envelope, error& reason);
[[nodiscard]] std::optional<execute_request> read_execute(const request_envelope& envelope, error& reason);
[[nodiscard]] std::optional<term_number> read_term(const request_envelope& envelope, error& reason);
[[nodiscard]] std::optional<promote_request> read_promote(const request_envelope& envelope, error& reason);
[[nodiscard]] std::optional<follow_request> read_follow(const request_envelope& envelope, error& reason);
[[nodiscard]] std::optional<replicate_request> read_replicate(const request_envelope& envelope,
                                                              error& reason);

} // namespace gentianhill::standins
