#include "gentianhill/tickets/ticket_submission.h"

#include <array>
#include <string_view>
#include <utility>

namespace gentianhill {

namespace {

using step_name = std::pair<submission_step, std::string_view>;

constexpr std::array step_names{
    step_name{submission_step::create, "create"},
    step_name{submission_step::read_back, "read_back"},
    step_name{submission_step::accepted, "accepted"},
    step_name{submission_step::number_taken, "number_taken"},
    step_name{submission_step::unknown, "unknown"},
};

bool is_call(submission_step step) {
    return step == submission_step::create || step == submission_step::read_back;
}

} // namespace

std::string_view to_string(submission_step step) {
    for (const step_name& entry : step_names) {
        if (entry.first == step) {
            return entry.second;
        }
    }
    return "unknown";
}

ticket_submission::ticket_submission(const ticket& submitted, std::uint32_t max_calls)
    : content_(submitted.to_json()), calls_left_(max_calls) {}

void ticket_submission::advance(submission_step step) {
    if (is_call(step)) {
        calls_left_ -= calls_left_ > 0 ? 1 : 0;
        next_ = calls_left_ > 0 ? step : submission_step::unknown;
        return;
    }
    next_ = step;
}

void ticket_submission::on_create(const error& result) {
    if (next_ != submission_step::create) {
        return;
    }
    if (!result.failed()) {
        advance(submission_step::accepted);
    } else if (certainly_not_processed(result.code)) {
        advance(submission_step::create);
    } else {
        // Either the answer was lost, or the object exists: possibly from an earlier attempt of ours.
        advance(submission_step::read_back);
    }
}

void ticket_submission::on_read(const std::optional<nlohmann::json>& stored, const error& result) {
    if (next_ != submission_step::read_back) {
        return;
    }
    if (stored) {
        advance(*stored == content_ ? submission_step::accepted : submission_step::number_taken);
    } else if (result.code == error_code::not_found) {
        // A create that is still under way cannot do harm: the number takes one content only.
        advance(submission_step::create);
    } else {
        advance(submission_step::read_back);
    }
}

} // namespace gentianhill
