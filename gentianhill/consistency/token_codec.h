#pragma once

#include "gentianhill/consistency/session_token.h"
#include "gentianhill/core/error.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

struct evp_mac_ctx_st;

namespace gentianhill {

/// Keys of the session tokens; equal on all daemons of a deployment.
struct token_codec_settings {
    /// Key that signs new tokens; at least `token_codec::min_key_bytes` bytes.
    std::string signing_key;
    /// Signing key before the last rotation; its tokens are still accepted. Empty when there is none.
    std::string previous_key;
    /// Returns true for the groups of this deployment; when empty, every group is accepted.
    std::function<bool(std::string_view)> is_known_group;
};

/// Text form of session tokens: base64url of a version, the positions and a truncated HMAC-SHA256.
class token_codec {
public:
    /// Maximum length of an encoded token, in bytes.
    static constexpr std::size_t max_text_bytes = 256;
    /// Minimum length of a signing key, in bytes; an HMAC key shorter than the signature weakens it.
    static constexpr std::size_t min_key_bytes = 16;

    /// Creates a codec after checking the keys. Errors: bad_value, with the setting of the invalid key.
    [[nodiscard]] static std::optional<token_codec> create(token_codec_settings settings, error& reason);

    /// Encodes and signs a token. Errors: too_large when the names of the groups do not fit.
    [[nodiscard]] std::optional<std::string> encode(const session_token& token, error& reason) const;
    /// Verifies and decodes a token. Errors: bad_value, too_large, bad_signature, token_foreign_group.
    [[nodiscard]] std::optional<session_token> decode(std::string_view text, error& reason) const;
    /// True when the token can be encoded after any later advance in `group`. Checked before a statement is
    /// sent, so that an executed write can always be answered with a token.
    [[nodiscard]] bool has_room_for(const session_token& token, std::string_view group) const;

private:
    static constexpr std::size_t signature_bytes = 16;
    using signature = std::array<std::uint8_t, signature_bytes>;
    using keyed_mac = std::shared_ptr<evp_mac_ctx_st>;

    explicit token_codec(token_codec_settings settings);
    [[nodiscard]] static keyed_mac create_keyed_mac(const std::string& key);
    [[nodiscard]] static signature sign(const keyed_mac& key, const std::uint8_t* data, std::size_t length);
    [[nodiscard]] bool has_valid_signature(const std::uint8_t* data, std::size_t length,
                                           const std::uint8_t* received) const;
    [[nodiscard]] std::optional<session_token> read_positions(const std::vector<std::uint8_t>& bytes,
                                                              std::size_t end, error& reason) const;

    token_codec_settings settings_;
    keyed_mac signing_;
    keyed_mac previous_;
};

} // namespace gentianhill
