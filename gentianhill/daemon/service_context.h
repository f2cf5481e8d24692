#pragma once

#include "gentianhill/admission/retry_budget.h"
#include "gentianhill/admission/retry_policy.h"
#include "gentianhill/caller/caller_message.h"
#include "gentianhill/consistency/replica_selector.h"
#include "gentianhill/consistency/token_codec.h"
#include "gentianhill/daemon/daemon_context.h"
#include "gentianhill/daemon/group_runtime.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gentianhill {

class request_task;

/// What the tasks that serve callers share.
struct service_context {
    daemon_context& daemon;
    token_codec codec;
    replica_selector selector;
    retry_policy policy;
    retry_budget budget;
    /// Group of that name, or null.
    std::function<group_runtime*(const std::string&)> find_group;
    /// Greatest age of data that the team accepts when a request names none.
    std::function<std::optional<duration>(const std::string& team)> team_max_age;
    /// Tasks that have not answered yet. Shared, because a task may outlive the daemon.
    std::shared_ptr<std::set<request_task*>> open_tasks = std::make_shared<std::set<request_task*>>();
};

} // namespace gentianhill
