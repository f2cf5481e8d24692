#include "gentianhill/routing/route_table.h"

#include <utility>

namespace gentianhill {

bool route_table::apply(proxy_configuration configuration) {
    if (current_ && configuration.version <= current_->version) {
        return false;
    }
    current_ = std::move(configuration);
    return true;
}

std::shared_ptr<const route> route_table::find(std::string_view database) const {
    if (!current_) {
        return nullptr;
    }
    const auto found = current_->routes.find(database);
    return found == current_->routes.end() ? nullptr : found->second;
}

} // namespace gentianhill
