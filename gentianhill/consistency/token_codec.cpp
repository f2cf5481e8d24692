#include "gentianhill/consistency/token_codec.h"

#include <fmt/format.h>
#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/params.h>

#include <algorithm>
#include <cassert>
#include <utility>

namespace gentianhill {

namespace {

// Layout: version; per group the length of its name, the name, and term and position as varints of 7 bits per
// byte; then the signature of all preceding bytes.
constexpr std::uint8_t format_version = 1;
constexpr std::size_t max_group_bytes = 127;
// Reserved for later advances: enough for terms below 2^28 and positions below 2^56.
constexpr std::size_t reserved_term_bytes = 4;
constexpr std::size_t reserved_position_bytes = 8;
// Base64 encodes three bytes as four characters.
constexpr std::size_t max_token_bytes = token_codec::max_text_bytes / 4 * 3;

void append_varint(std::vector<std::uint8_t>& bytes, std::uint64_t value) {
    while (value >= 0x80U) {
        bytes.push_back(static_cast<std::uint8_t>(value | 0x80U));
        value >>= 7U;
    }
    bytes.push_back(static_cast<std::uint8_t>(value));
}

std::size_t varint_size(std::uint64_t value) {
    std::size_t count = 1;
    while (value >= 0x80U) {
        value >>= 7U;
        ++count;
    }
    return count;
}

std::optional<std::uint64_t> read_varint(const std::vector<std::uint8_t>& bytes, std::size_t& at,
                                         std::size_t end) {
    std::uint64_t value = 0;
    for (unsigned shift = 0; at < end && shift < 64; shift += 7) {
        const std::uint64_t part = bytes[at] & 0x7FU;
        // The tenth byte holds only one bit of a 64-bit number; further bits would overflow.
        if (shift == 63 && part > 1) {
            return std::nullopt;
        }
        value |= part << shift;
        if ((bytes[at++] & 0x80U) == 0) {
            return value;
        }
    }
    return std::nullopt;
}

std::string to_base64url(const std::vector<std::uint8_t>& bytes) {
    std::string text(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()), bytes.data(),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    std::replace(text.begin(), text.end(), '+', '-');
    std::replace(text.begin(), text.end(), '/', '_');
    text.erase(std::find(text.begin(), text.end(), '='), text.end());
    return text;
}

bool is_base64url(char character) {
    return (character >= 'A' && character <= 'Z') || (character >= 'a' && character <= 'z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_';
}

std::optional<std::vector<std::uint8_t>> from_base64url(std::string_view text) {
    // EVP_DecodeBlock skips white space, so the alphabet is checked first.
    if (text.size() % 4 == 1 || !std::all_of(text.begin(), text.end(), &is_base64url)) {
        return std::nullopt;
    }
    std::string padded{text};
    std::replace(padded.begin(), padded.end(), '-', '+');
    std::replace(padded.begin(), padded.end(), '_', '/');
    const std::size_t padding = (4 - padded.size() % 4) % 4;
    padded.append(padding, '=');
    std::vector<std::uint8_t> bytes(padded.size() / 4 * 3);
    const int length = EVP_DecodeBlock(bytes.data(), reinterpret_cast<const unsigned char*>(padded.data()),
                                       static_cast<int>(padded.size()));
    if (length < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    // Reject non-zero unused bits at the end, which would allow several texts for one token.
    return to_base64url(bytes) == text ? std::optional{std::move(bytes)} : std::nullopt;
}

error bad_token(std::string_view text, std::string allowed) {
    constexpr std::size_t shown_bytes = 16;
    return error{error_code::bad_value, "token", std::string{text.substr(0, shown_bytes)},
                 std::move(allowed)};
}

error too_large_token(std::size_t bytes) {
    return error{error_code::too_large, "token", fmt::format("{} bytes", bytes),
                 fmt::format("at most {} bytes", token_codec::max_text_bytes)};
}

} // namespace

token_codec::token_codec(token_codec_settings settings)
    : settings_(std::move(settings)),
      signing_(create_keyed_mac(settings_.signing_key)),
      previous_(create_keyed_mac(settings_.previous_key)) {}

std::optional<token_codec> token_codec::create(token_codec_settings settings, error& reason) {
    const std::string allowed = fmt::format("at least {} bytes", min_key_bytes);
    if (settings.signing_key.size() < min_key_bytes) {
        reason = error{error_code::bad_value, "signing_key",
                       fmt::format("{} bytes", settings.signing_key.size()), allowed};
        return std::nullopt;
    }
    if (!settings.previous_key.empty() && settings.previous_key.size() < min_key_bytes) {
        reason = error{error_code::bad_value, "previous_key",
                       fmt::format("{} bytes", settings.previous_key.size()), allowed};
        return std::nullopt;
    }
    return token_codec{std::move(settings)};
}

token_codec::keyed_mac token_codec::create_keyed_mac(const std::string& key) {
    if (key.empty()) {
        return nullptr;
    }
    EVP_MAC* mac = EVP_MAC_fetch(nullptr, "HMAC", nullptr);
    EVP_MAC_CTX* context = EVP_MAC_CTX_new(mac);
    EVP_MAC_free(mac);
    std::string digest = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters{
        OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest.data(), 0),
        OSSL_PARAM_construct_end()};
    const int ready = EVP_MAC_init(context, reinterpret_cast<const unsigned char*>(key.data()), key.size(),
                                   parameters.data());
    assert(ready == 1);
    static_cast<void>(ready);
    return keyed_mac{context, &EVP_MAC_CTX_free};
}

token_codec::signature token_codec::sign(const keyed_mac& key, const std::uint8_t* data, std::size_t length) {
    // Copy the initialised context: setting up HMAC for each token took most of the signing time.
    const keyed_mac context{EVP_MAC_CTX_dup(key.get()), &EVP_MAC_CTX_free};
    std::array<std::uint8_t, EVP_MAX_MD_SIZE> digest{};
    std::size_t digest_length = 0;
    const bool made = EVP_MAC_update(context.get(), data, length) == 1 &&
                      EVP_MAC_final(context.get(), digest.data(), &digest_length, digest.size()) == 1;
    assert(made && digest_length >= signature_bytes);
    static_cast<void>(made);
    signature result{};
    std::copy_n(digest.begin(), signature_bytes, result.begin());
    return result;
}

bool token_codec::has_valid_signature(const std::uint8_t* data, std::size_t length,
                                      const std::uint8_t* received) const {
    const signature current = sign(signing_, data, length);
    if (CRYPTO_memcmp(current.data(), received, signature_bytes) == 0) {
        return true;
    }
    if (previous_ == nullptr) {
        return false;
    }
    const signature previous = sign(previous_, data, length);
    return CRYPTO_memcmp(previous.data(), received, signature_bytes) == 0;
}

std::optional<std::string> token_codec::encode(const session_token& token, error& reason) const {
    std::vector<std::uint8_t> bytes;
    bytes.reserve(max_token_bytes);
    bytes.push_back(format_version);
    for (const session_position& entry : token.positions()) {
        if (entry.group.size() > max_group_bytes) {
            reason = too_large_token(entry.group.size());
            return std::nullopt;
        }
        bytes.push_back(static_cast<std::uint8_t>(entry.group.size()));
        bytes.insert(bytes.end(), entry.group.begin(), entry.group.end());
        append_varint(bytes, entry.position.term);
        append_varint(bytes, entry.position.position);
    }
    if (bytes.size() + signature_bytes > max_token_bytes) {
        reason = too_large_token((bytes.size() + signature_bytes + 2) / 3 * 4);
        return std::nullopt;
    }
    const signature made = sign(signing_, bytes.data(), bytes.size());
    bytes.insert(bytes.end(), made.begin(), made.end());
    return to_base64url(bytes);
}

std::optional<session_token> token_codec::decode(std::string_view text, error& reason) const {
    if (text.size() > max_text_bytes) {
        reason = too_large_token(text.size());
        return std::nullopt;
    }
    const std::optional<std::vector<std::uint8_t>> bytes = from_base64url(text);
    if (!bytes || bytes->size() <= signature_bytes) {
        reason = bad_token(text, "the token of an earlier answer, unchanged");
        return std::nullopt;
    }
    // The signature is verified before any other byte is parsed.
    const std::size_t end = bytes->size() - signature_bytes;
    if (!has_valid_signature(bytes->data(), end, bytes->data() + end)) {
        reason = error{error_code::bad_signature, "token", {}, "a token signed by this deployment"};
        return std::nullopt;
    }
    if ((*bytes)[0] != format_version) {
        reason = bad_token(text, fmt::format("a token of version {}", format_version));
        return std::nullopt;
    }
    return read_positions(*bytes, end, reason);
}

std::optional<session_token> token_codec::read_positions(const std::vector<std::uint8_t>& bytes,
                                                         std::size_t end, error& reason) const {
    session_token token;
    std::size_t at = 1;
    while (at < end) {
        const std::size_t length = bytes[at++];
        if (length == 0 || length > end - at) {
            reason = bad_token({}, "complete positions");
            return std::nullopt;
        }
        const std::string_view group{reinterpret_cast<const char*>(bytes.data() + at), length};
        at += length;
        const std::optional<std::uint64_t> term = read_varint(bytes, at, end);
        const std::optional<std::uint64_t> position = term ? read_varint(bytes, at, end) : std::nullopt;
        if (!position) {
            reason = bad_token({}, "complete positions");
            return std::nullopt;
        }
        if (settings_.is_known_group && !settings_.is_known_group(group)) {
            reason = error{error_code::token_foreign_group, "token", std::string{group},
                           "groups of this deployment"};
            return std::nullopt;
        }
        if (!token.advance(group, log_position{*term, *position}, reason)) {
            return std::nullopt;
        }
    }
    return token;
}

bool token_codec::has_room_for(const session_token& token, std::string_view group) const {
    std::size_t bytes = 1 + signature_bytes;
    bool is_named = false;
    for (const session_position& entry : token.positions()) {
        is_named = is_named || entry.group == group;
        bytes += 1 + entry.group.size() + std::max(reserved_term_bytes, varint_size(entry.position.term)) +
                 std::max(reserved_position_bytes, varint_size(entry.position.position));
    }
    if (!is_named) {
        bytes += 1 + group.size() + reserved_term_bytes + reserved_position_bytes;
    }
    const std::size_t groups = token.positions().size() + (is_named ? 0 : 1);
    return bytes <= max_token_bytes && groups <= session_token::max_groups && group.size() <= max_group_bytes;
}

} // namespace gentianhill
