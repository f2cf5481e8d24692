#include "gentianhill/proxy/departed_instances.h"

#include <utility>

namespace gentianhill {

departed_instances::departed_instances(instance_network& network, logger& log,
                                       std::function<time_point()> clock, duration limit)
    : network_(network), log_(log), clock_(std::move(clock)), limit_(limit), gap_at_(clock_()) {}

void departed_instances::add(const listed_instance& listed, const instance_pool_settings& pool) {
    departed& added = instances_[listed.id];
    added.instance = std::make_unique<proxy_instance>(listed, network_, log_, pool, clock_);
    added.instance->on_failure = [this](proxy_instance& instance, disconnect_reason reason) {
        departed& failed = instances_.at(instance.listed().id);
        // A leaving instance that is not listed any more and has never answered since has left.
        const bool has_left =
            instance.listed().draining && !failed.has_answered && reason == disconnect_reason::timed_out;
        failed.has_ended = failed.has_ended || has_left || reason == disconnect_reason::refused;
    };
    added.instance->on_connection_attempt = [this] {
        if (on_connection_attempt) {
            on_connection_attempt();
        }
    };
    added.removed_at = clock_();
}

std::optional<listed_instance> departed_instances::remove(const std::string& id) {
    const std::map<std::string, departed>::iterator found = instances_.find(id);
    if (found == instances_.end()) {
        return std::nullopt;
    }
    const listed_instance entry = found->second.instance->listed();
    removed_.push_back(std::move(found->second.instance));
    instances_.erase(found);
    removed_.back()->on_failure = nullptr;
    removed_.back()->close_all();
    return entry;
}

proxy_instance* departed_instances::find(const std::string& id) {
    const std::map<std::string, departed>::iterator found = instances_.find(id);
    return found == instances_.end() ? nullptr : found->second.instance.get();
}

std::vector<listed_instance> departed_instances::entries() const {
    std::vector<listed_instance> result;
    for (const std::map<std::string, departed>::value_type& entry : instances_) {
        result.push_back(entry.second.instance->listed());
    }
    return result;
}

std::vector<departed_instances::resolution> departed_instances::tick(bool may_probe) {
    removed_.clear();
    const time_point current = clock_();
    std::vector<resolution> resolved;
    for (std::map<std::string, departed>::value_type& entry : instances_) {
        departed& checked = entry.second;
        checked.instance->tick();
        if (!checked.has_answered && may_probe) {
            checked.has_answered = checked.instance->control_connection() != nullptr;
        }
        if (checked.has_ended || current - checked.removed_at >= limit_) {
            resolved.push_back({entry.first, checked.has_ended});
        }
    }
    for (const resolution& over : resolved) {
        static_cast<void>(remove(over.id));
    }
    return resolved;
}

void departed_instances::on_list_gap() {
    gap_at_ = clock_();
    are_known_ = false;
}

bool departed_instances::on_record_read(time_point gap, bool names_known_only) {
    if (gap != gap_at_ || are_known_) {
        return false;
    }
    are_known_ = names_known_only || gap_age() >= limit_;
    return are_known_ && !names_known_only;
}

} // namespace gentianhill
