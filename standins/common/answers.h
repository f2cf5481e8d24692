#pragma once

#include "gentianhill/core/error.h"
#include "gentianhill/http2/message.h"

#include <nlohmann/json.hpp>

namespace gentianhill::standins {

/// HTTP status that goes with an error code.
[[nodiscard]] int status_of(error_code code);

/// Answer with a JSON body; text that is not UTF-8 is replaced.
[[nodiscard]] http2::response json_answer(int status, const nlohmann::json& body);

/// Answer with the body {"error": {...}} and the status of the code.
[[nodiscard]] http2::response error_answer(const error& reason);

} // namespace gentianhill::standins
