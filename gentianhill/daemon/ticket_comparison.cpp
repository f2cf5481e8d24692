#include "gentianhill/daemon/ticket_comparison.h"

#include <algorithm>

namespace gentianhill {

void ticket_comparison::begin(std::uint64_t era, time_point now) {
    if (era_ == era) {
        return;
    }
    era_ = era;
    began_ = now;
    read_.clear();
}

void ticket_comparison::record(const std::string& daemon, std::uint64_t era) {
    if (era_ == era) {
        read_.insert(daemon);
    }
}

bool ticket_comparison::is_complete(const std::set<std::string>& daemons, time_point now) const {
    if (!era_) {
        return false;
    }
    return now - began_ >= settings_.limit ||
           std::includes(read_.begin(), read_.end(), daemons.begin(), daemons.end());
}

} // namespace gentianhill
