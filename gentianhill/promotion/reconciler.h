#pragma once

#include "gentianhill/consistency/group_view.h"
#include "gentianhill/core/endpoint.h"

#include <string>
#include <vector>

namespace gentianhill {

/// A `/v1/follow` request to send.
struct follow_request {
    /// Instance to send it to.
    std::string instance;
    /// Term of the primary.
    term_number term = 0;
    /// Instance to follow.
    std::string primary;
    /// Address of the instance to follow.
    endpoint primary_address;
    /// True when the instance lost its state and may count in majorities again once it has caught up.
    bool admit = false;
    /// State identifier of the instance when the request was created. An instance with another state must
    /// reject `admit`, since it may have acknowledged more entries since.
    std::string state_id;
};

/// Decisions of reconcile().
struct reconciliation {
    /// Requests to send now.
    std::vector<follow_request> follow_requests;
    /// Instances at a higher term than the primary, because a fence reached only a minority. They reject
    /// follow requests until a primary is promoted at a term above theirs.
    std::vector<std::string> ahead_of_primary;
    /// Instances that wait for admission until a majority has sent reports newer than their loss of state.
    std::vector<std::string> waiting_for_admission;
};

/// Decides which instances are requested to follow the current primary. An instance that lost its state is
/// admitted only when a majority of the group, excluding it, reported the primary's term in answers to
/// requests sent after this daemon learned of the loss.
[[nodiscard]] reconciliation reconcile(const group_view& view);

} // namespace gentianhill
