#include "gentianhill/teams/key_digest.h"

#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <cstdlib>

namespace gentianhill {

namespace {

using process_secret = std::array<std::uint8_t, 32>;

const process_secret& secret() {
    static const process_secret drawn = [] {
        process_secret value{};
        // Without random numbers the digests could be computed by others, so there is nothing to go on with.
        if (RAND_bytes(value.data(), static_cast<int>(value.size())) != 1) {
            std::abort();
        }
        return value;
    }();
    return drawn;
}

} // namespace

key_digest::key_digest(std::string_view key) {
    unsigned int written = 0;
    const unsigned char* text = reinterpret_cast<const unsigned char*>(key.data());
    if (HMAC(EVP_sha256(), secret().data(), static_cast<int>(secret().size()), text, key.size(),
             bytes_.data(), &written) == nullptr ||
        written != bytes_.size()) {
        std::abort();
    }
}

} // namespace gentianhill
