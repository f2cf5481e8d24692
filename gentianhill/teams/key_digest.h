#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace gentianhill {

/// Stands for the key of a caller. Keys are secrets, so only their digests are kept and compared: HMAC-SHA256
/// under a secret that is drawn at the start of the process, which makes the time of a comparison and the
/// digest itself say nothing about a key.
class key_digest {
public:
    explicit key_digest(std::string_view key);

    friend bool operator==(const key_digest& a, const key_digest& b) { return a.bytes_ == b.bytes_; }
    friend bool operator<(const key_digest& a, const key_digest& b) { return a.bytes_ < b.bytes_; }

private:
    static constexpr std::size_t size = 32;
    std::array<std::uint8_t, size> bytes_{};
};

} // namespace gentianhill
