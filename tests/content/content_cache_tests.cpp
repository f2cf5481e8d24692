#include "gentianhill/content/content_cache.h"
#include "gentianhill/content/content_codec.h"

#include <doctest/doctest.h>

#include <string>

using namespace gentianhill;

namespace {

/// Text of many lines of which one can be changed.
std::string lines(std::size_t changed) {
    std::string text;
    for (std::size_t line = 0; line < 2000; ++line) {
        text += "line " + std::to_string(line * 7919 % 10007) + (line == changed ? " changed\n" : "\n");
    }
    return text;
}

struct content_cache_fixture {
    content_cache_settings settings{100'000, 20'000};
    content_cache cache{settings};
    error reason;
};

} // namespace

// Guards against a change that costs as much as the whole text.
TEST_CASE("content_codec_text_with_base_costs_its_difference") {
    const std::string base = lines(5000);
    const std::string text = lines(700);
    error reason;
    const std::optional<std::string> alone = compress_content(text, "", reason);
    const std::optional<std::string> difference = compress_content(text, base, reason);
    REQUIRE(alone);
    REQUIRE(difference);
    CHECK(difference->size() * 10 < alone->size());
    CHECK(decompress_content(*alone, "", text.size(), reason) == text);
    CHECK(decompress_content(*difference, base, text.size(), reason) == text);
}

// Guards against bytes that are not valid and are taken for a text.
TEST_CASE("content_codec_bytes_that_are_not_valid_are_refused") {
    const std::string base = lines(5000);
    const std::string text = lines(700);
    error reason;
    std::string bytes = *compress_content(text, base, reason);
    CHECK(!decompress_content("no frame", "", 10, reason));
    CHECK(!decompress_content(bytes, base, text.size() - 1, reason));
    CHECK(!decompress_content(bytes, base, text.size() + 1, reason));
    CHECK(!decompress_content(bytes.substr(0, bytes.size() / 2), base, text.size(), reason));
    CHECK(!decompress_content(bytes, base, std::size_t(1) << 40U, reason));
    CHECK(reason.code == error_code::too_large);
    // Without the base the result differs or is refused.
    CHECK(decompress_content(bytes, "", text.size(), reason) != text);
}

// Guards against memory that grows with the number of versions.
TEST_CASE_FIXTURE(content_cache_fixture, "content_cache_beyond_its_limit_drops_the_oldest") {
    const content_reference first = cache.add(lines(1));
    for (std::size_t version = 2; version < 12; ++version) {
        static_cast<void>(cache.add(lines(version)));
    }
    CHECK(cache.find(first.digest) == nullptr);
    CHECK(cache.newest(100).size() * lines(1).size() <= settings.max_bytes);
    const content_reference large = cache.add(std::string(settings.max_bytes + 1, 'x'));
    CHECK(cache.find(large.digest) != nullptr);
}

// Guards against a text that is in use and dropped because it was first added long ago.
TEST_CASE_FIXTURE(content_cache_fixture, "content_cache_text_added_again_counts_as_new") {
    const content_reference first = cache.add(lines(1));
    static_cast<void>(cache.add(lines(2)));
    CHECK(cache.add(lines(1)) == first);
    CHECK(cache.newest(1).front() == first.digest);
}

// Guards against a compressed form that its receiver can't read.
TEST_CASE_FIXTURE(content_cache_fixture, "content_cache_encoding_uses_a_base_that_both_have") {
    const content_reference base = cache.add(lines(1));
    const content_reference text = cache.add(lines(2));
    const std::shared_ptr<const content_encoding> alone =
        cache.encode(text.digest, {digest_of("unknown")}, reason);
    REQUIRE(alone != nullptr);
    CHECK(!alone->base);
    const std::shared_ptr<const content_encoding> difference =
        cache.encode(text.digest, {digest_of("unknown"), base.digest}, reason);
    REQUIRE(difference != nullptr);
    CHECK(difference->base == base.digest);
    CHECK(cache.encode(text.digest, {base.digest}, reason) == difference);
    CHECK(cache.encode(digest_of("unknown"), {}, reason) == nullptr);
    CHECK(reason.code == error_code::not_found);
}

// Guards against compressed forms that are kept by number, whatever their size.
TEST_CASE_FIXTURE(content_cache_fixture, "content_cache_compressed_forms_are_bounded_in_bytes") {
    std::vector<std::weak_ptr<const content_encoding>> made;
    for (std::size_t version = 1; version <= 6; ++version) {
        const content_reference text = cache.add(lines(version));
        made.push_back(cache.encode(text.digest, {}, reason));
    }
    std::size_t bytes = 0;
    for (const std::weak_ptr<const content_encoding>& form : made) {
        bytes += form.expired() ? 0 : form.lock()->bytes.size();
    }
    CHECK(bytes > 0);
    CHECK(bytes <= settings.max_encoding_bytes);
    CHECK(!made.back().expired());
}

// Guards against a digest that is read wrongly.
TEST_CASE("content_digest_text_form_is_read_back") {
    const content_digest digest = digest_of("text");
    CHECK(read_digest(to_string(digest)) == digest);
    CHECK(read_digest(to_string(content_digest{0, 1})) == content_digest{0, 1});
    CHECK(!read_digest("12"));
    CHECK(!read_digest(std::string(32, 'g')));
    CHECK(!read_digest("-000000000000000-000000000000000"));
}
