#include "gentianhill/session/statement.h"

#include <array>
#include <utility>

namespace gentianhill {

namespace {

using outcome_name = std::pair<statement_outcome, std::string_view>;
constexpr std::array<outcome_name, 15> outcome_names{{
    {statement_outcome::done, "done"},
    {statement_outcome::busy, "busy"},
    {statement_outcome::aborted, "aborted"},
    {statement_outcome::lagging, "lagging"},
    {statement_outcome::read_only, "read_only"},
    {statement_outcome::misrouted, "misrouted"},
    {statement_outcome::connection_limit, "connection_limit"},
    {statement_outcome::no_statement, "no_statement"},
    {statement_outcome::unknown_database, "unknown_database"},
    {statement_outcome::too_large, "too_large"},
    {statement_outcome::malformed, "malformed"},
    {statement_outcome::denied, "denied"},
    {statement_outcome::failed, "failed"},
    {statement_outcome::timed_out, "timed_out"},
    {statement_outcome::in_doubt, "in_doubt"},
}};

} // namespace

std::string_view to_string(statement_outcome outcome) {
    for (const outcome_name& entry : outcome_names) {
        if (entry.first == outcome) {
            return entry.second;
        }
    }
    return "unknown";
}

statement_result make_refusal(statement_outcome outcome, std::string_view detail, transaction_state state) {
    statement_result result;
    result.outcome = outcome;
    result.detail = detail;
    result.state = state;
    return result;
}

} // namespace gentianhill
