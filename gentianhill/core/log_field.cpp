#include "gentianhill/core/log_field.h"

#include <fmt/format.h>

namespace gentianhill {

log_field::log_field(std::string_view field_name, double field_value)
    : name(field_name), value(fmt::format("{:.6g}", field_value)) {}

} // namespace gentianhill
