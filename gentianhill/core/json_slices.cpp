#include "gentianhill/core/json_slices.h"

#include <algorithm>
#include <cstddef>

namespace gentianhill {

namespace {

constexpr std::string_view whitespace = " \t\r\n";
constexpr std::string_view value_end = ",]} \t\r\n";

/// Position in a text of which the parts are taken one after the other.
class slice_scanner {
public:
    explicit slice_scanner(std::string_view text) : text_(text) {}

    /// Skips whitespace, then the character if it is next; true if it was.
    bool skip(char expected) {
        skip_whitespace();
        if (position_ >= text_.size() || text_[position_] != expected) {
            return false;
        }
        ++position_;
        return true;
    }

    /// True if only whitespace is left.
    bool is_at_end() {
        skip_whitespace();
        return position_ >= text_.size();
    }

    /// Takes a value; nothing if there is none or it does not end.
    std::optional<std::string_view> take_value() {
        skip_whitespace();
        const std::size_t begin = position_;
        if (begin >= text_.size()) {
            return std::nullopt;
        }
        const char first = text_[begin];
        const bool is_complete = first == '"'                   ? skip_string()
                                 : first == '{' || first == '[' ? skip_nested()
                                                                : skip_plain();
        return is_complete ? std::optional(text_.substr(begin, position_ - begin)) : std::nullopt;
    }

private:
    void skip_whitespace() {
        position_ = std::min(text_.find_first_not_of(whitespace, position_), text_.size());
    }

    bool skip_string() {
        for (++position_; position_ < text_.size(); ++position_) {
            if (text_[position_] == '\\') {
                // The escaped character may be a quote.
                ++position_;
            } else if (text_[position_] == '"') {
                ++position_;
                return true;
            }
        }
        return false;
    }

    bool skip_nested() {
        std::size_t depth = 0;
        while (position_ < text_.size()) {
            const char next = text_[position_];
            if (next == '"') {
                if (!skip_string()) {
                    return false;
                }
                continue;
            }
            ++position_;
            if (next == '{' || next == '[') {
                ++depth;
            } else if ((next == '}' || next == ']') && --depth == 0) {
                return true;
            }
        }
        return false;
    }

    bool skip_plain() {
        const std::size_t begin = position_;
        position_ = std::min(text_.find_first_of(value_end, position_), text_.size());
        return position_ > begin;
    }

    std::string_view text_;
    std::size_t position_ = 0;
};

} // namespace

std::optional<std::vector<json_member>> split_json_object(std::string_view text) {
    slice_scanner scanner(text);
    std::vector<json_member> members;
    if (!scanner.skip('{')) {
        return std::nullopt;
    }
    if (scanner.skip('}')) {
        return scanner.is_at_end() ? std::optional(members) : std::nullopt;
    }
    do {
        const std::optional<std::string_view> name = scanner.take_value();
        if (!name || name->front() != '"' || !scanner.skip(':')) {
            return std::nullopt;
        }
        const std::optional<std::string_view> value = scanner.take_value();
        if (!value) {
            return std::nullopt;
        }
        members.push_back({name->substr(1, name->size() - 2), *value});
    } while (scanner.skip(','));
    return scanner.skip('}') && scanner.is_at_end() ? std::optional(members) : std::nullopt;
}

std::optional<std::vector<std::string_view>> split_json_array(std::string_view text) {
    slice_scanner scanner(text);
    std::vector<std::string_view> elements;
    if (!scanner.skip('[')) {
        return std::nullopt;
    }
    if (scanner.skip(']')) {
        return scanner.is_at_end() ? std::optional(elements) : std::nullopt;
    }
    do {
        const std::optional<std::string_view> element = scanner.take_value();
        if (!element) {
            return std::nullopt;
        }
        elements.push_back(*element);
    } while (scanner.skip(','));
    return scanner.skip(']') && scanner.is_at_end() ? std::optional(elements) : std::nullopt;
}

} // namespace gentianhill
