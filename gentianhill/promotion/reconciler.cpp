#include "gentianhill/promotion/reconciler.h"

#include <optional>

namespace gentianhill {

namespace {

// True when a majority that excludes the instance reported the term after its loss of state was known.
bool can_admit(const position_tracker& positions, const std::string& instance, term_number term) {
    const std::optional<time_point> lost_at = positions.state_loss_seen_at(instance);
    return lost_at && positions.current_term() == term &&
           positions.count_at_term(term, *lost_at, instance) >= positions.majority();
}

} // namespace

reconciliation reconcile(const group_view& view) {
    reconciliation result;
    const position_tracker& positions = view.positions();
    const std::optional<std::string> primary = positions.primary();
    const term_number term = positions.primary_term();
    const instance_configuration* primary_configuration =
        primary ? view.configuration().find(*primary) : nullptr;
    if (primary_configuration == nullptr) {
        return result;
    }

    for (const instance_configuration& instance : view.configuration().instances) {
        const instance_report* report = positions.report_of(instance.name);
        if (instance.name == *primary || report == nullptr) {
            continue;
        }
        follow_request request{instance.name,   term, *primary, primary_configuration->address, false,
                               report->state_id};
        if (!report->initialised) {
            // An instance that cannot be admitted yet still follows, so that it catches up in the meantime.
            request.admit = can_admit(positions, instance.name, term);
            if (!request.admit) {
                result.waiting_for_admission.push_back(instance.name);
            }
            if (request.admit || report->accepted_term < term || report->primary != *primary) {
                result.follow_requests.push_back(request);
            }
        } else if (report->accepted_term > term) {
            result.ahead_of_primary.push_back(instance.name);
        } else if (report->accepted_term < term || report->primary != *primary) {
            result.follow_requests.push_back(request);
        }
    }
    return result;
}

} // namespace gentianhill
