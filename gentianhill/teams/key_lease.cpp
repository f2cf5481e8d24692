#include "gentianhill/teams/key_lease.h"

namespace gentianhill {

void key_lease::confirm(time_point moment) {
    if (!confirmed_at_ || *confirmed_at_ < moment) {
        confirmed_at_ = moment;
    }
}

bool key_lease::covers(time_point received_at) const {
    return !is_limited() || (confirmed_at_ && received_at - *confirmed_at_ <= revoke_limit_);
}

} // namespace gentianhill
