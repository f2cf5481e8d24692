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
    /// Key that signed tokens before a rotation; still accepted. Empty when there is none.
    std::string previous_key;
    /// True for the groups of this deployment; when empty every group is accepted.
    std::function<bool(std::string_view)> knows_group;
};

/// Text form of session tokens: base64url of a version, the positions and a truncated HMAC-SHA256.
class token_codec {
public:
    /// Longest text of a token, in bytes.
    static constexpr std::size_t max_text_bytes = 256;
    /// Shortest signing key, in bytes; HMAC keys shorter than the signature weaken it.
    static constexpr std::size_t min_key_bytes = 16;

    /// Checks the keys. Errors: bad_value, naming the key's setting.
    [[nodiscard]] static std::optional<token_codec> create(token_codec_settings settings, error& reason);

    /// Signed text of a token. Errors: too_large when the names of the groups do not fit.
    [[nodiscard]] std::optional<std::string> encode(const session_token& token, error& reason) const;
    /// Token of a text. Errors: bad_value, too_large, bad_signature, token_foreign_group.
    [[nodiscard]] std::optional<session_token> decode(std::string_view text, error& reason) const;
    /// True when the token still fits after any later advance in `group`; checked before a statement is sent,
    /// so that a write that is done always has a token to answer with.
    [[nodiscard]] bool has_room_for(const session_token& token, std::string_view group) const;

private:
    static constexpr std::size_t signature_bytes = 16;
    using signature = std::array<std::uint8_t, signature_bytes>;
    using keyed_mac = std::shared_ptr<evp_mac_ctx_st>;

    explicit token_codec(token_codec_settings settings);
    [[nodiscard]] static keyed_mac prepare(const std::string& key);
    [[nodiscard]] static signature sign(const keyed_mac& key, const std::uint8_t* data, std::size_t length);
    [[nodiscard]] bool is_signed(const std::uint8_t* data, std::size_t length,
                                 const std::uint8_t* found) const;
    [[nodiscard]] std::optional<session_token> read_positions(const std::vector<std::uint8_t>& bytes,
                                                              std::size_t end, error& reason) const;

    token_codec_settings settings_;
    keyed_mac signing_;
    keyed_mac previous_;
};

} // namespace gentianhill
