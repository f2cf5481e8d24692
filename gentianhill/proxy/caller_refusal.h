#pragma once

#include "gentianhill/session/statement.h"
#include "gentianhill/teams/caller_check.h"

#include <string_view>

namespace gentianhill {

/// Outcome by which a statement is refused whose caller may not use its route, or may not be known to.
[[nodiscard]] statement_outcome caller_refusal(caller_verdict verdict, bool in_transaction);

/// Text of that refusal; says nothing about the key.
[[nodiscard]] std::string_view caller_detail(caller_verdict verdict);

} // namespace gentianhill
