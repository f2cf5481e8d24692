#pragma once

#include "gentianhill/consistency/group_view.h"
#include "gentianhill/core/endpoint.h"

#include <string>
#include <vector>

namespace gentianhill {

/// A `/v1/follow` request to be sent.
struct follow_request {
    /// Instance to send it to.
    std::string instance;
    /// Term of the primary.
    term_number term = 0;
    /// Instance to follow and its address.
    std::string primary;
    endpoint primary_address;
    /// True when the instance lost its state and may count again once it has caught up.
    bool admit = false;
    /// State for which the order was made; an instance with another state must reject `admit`, since it may
    /// have acknowledged more in between.
    std::string state_id;
};

/// Decisions of reconcile().
struct reconciliation {
    /// Requests to send now.
    std::vector<follow_request> follow_requests;
    /// Instances at a higher term than the primary: a fence reached a minority only. They reject follow until
    /// a new term is promoted above theirs.
    std::vector<std::string> ahead_of_primary;
    /// Instances that wait for admission until reports newer than their loss of state arrive from a majority.
    std::vector<std::string> waiting_for_admission;
};

/// Decides which instances must be told to follow the current primary. An instance without its state is
/// admitted only when a majority of the group, not counting it, reported the primary's term in requests sent
/// after its loss of state was known here.
[[nodiscard]] reconciliation reconcile(const group_view& view);

} // namespace gentianhill
