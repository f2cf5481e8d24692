#pragma once

#include <string>
#include <utility>
#include <vector>

namespace gentianhill {

/// Label names and values of one metric series.
using metric_labels = std::vector<std::pair<std::string, std::string>>;

/// Labels as in the Prometheus text format, such as {group="wheeldb"}; empty without labels.
[[nodiscard]] std::string format_labels(const metric_labels& labels);

} // namespace gentianhill
