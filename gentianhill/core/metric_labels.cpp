#include "gentianhill/core/metric_labels.h"

namespace gentianhill {

std::string format_labels(const metric_labels& labels) {
    if (labels.empty()) {
        return {};
    }
    std::string text = "{";
    for (const std::pair<std::string, std::string>& label : labels) {
        if (text.size() > 1) {
            text += ',';
        }
        text += label.first + "=\"";
        for (const char character : label.second) {
            if (character == '\n') {
                text += "\\n";
                continue;
            }
            if (character == '"' || character == '\\') {
                text += '\\';
            }
            text += character;
        }
        text += '"';
    }
    text += '}';
    return text;
}

} // namespace gentianhill
