#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace gentianhill {

/// Appends fields to a compact message: integers in 7 bits a byte, texts with their length. Texts may hold
/// any bytes.
class byte_writer {
public:
    void integer(std::uint64_t value);
    void boolean(bool value) { integer(value ? 1U : 0U); }
    void text(std::string_view value);
    /// Message written so far, which is empty afterwards.
    [[nodiscard]] std::string take() { return std::move(bytes_); }

private:
    std::string bytes_;
};

/// Reads the fields of a message in the order in which they were written. After a field that is missing,
/// incomplete or out of range, ok() is false and all further fields are neutral values.
class byte_reader {
public:
    /// `bytes` must outlive the reader.
    explicit byte_reader(std::string_view bytes) : rest_(bytes) {}

    /// Integer of at most `high`.
    [[nodiscard]] std::uint64_t integer(std::uint64_t high = UINT64_MAX);
    [[nodiscard]] bool boolean() { return integer(1) == 1; }
    /// Text of at most `max_length` bytes.
    [[nodiscard]] std::string text(std::size_t max_length);
    [[nodiscard]] bool ok() const { return ok_; }
    /// True when all fields were valid and nothing is left.
    [[nodiscard]] bool finish() const { return ok_ && rest_.empty(); }
    /// Makes all further fields neutral, because of a value that is not valid.
    void fail() { ok_ = false; }

private:
    std::string_view rest_;
    bool ok_ = true;
};

} // namespace gentianhill
