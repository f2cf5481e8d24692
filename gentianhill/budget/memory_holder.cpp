#include "gentianhill/budget/memory_holder.h"

namespace gentianhill {

namespace {

constexpr std::size_t percent = 100;

} // namespace

memory_holder::memory_holder(memory_budget& budget, time_point now) : budget_(budget), progress_at_(now) {
    budget_.add(*this);
}

memory_holder::~memory_holder() {
    budget_.remove(*this);
}

bool memory_holder::may_keep(std::size_t added) const {
    const memory_budget_settings& settings = budget_.settings();
    const std::size_t kept = held(memory_use::session) + added;
    if (kept <= budget_.calm_bytes()) {
        return true;
    }
    return kept <= settings.total_bytes / percent * settings.session_percent &&
           budget_.used(memory_use::session) + added <=
               settings.total_bytes / percent * settings.sessions_percent;
}

} // namespace gentianhill
