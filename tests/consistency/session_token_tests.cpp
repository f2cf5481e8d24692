#include "gentianhill/consistency/session_token.h"
#include "gentianhill/consistency/token_codec.h"

#include <doctest/doctest.h>

#include <random>

using namespace gentianhill;

namespace {

const std::string first_key = "first-key-0123456789";
const std::string second_key = "second-key-0123456789";

struct token_fixture {
    error reason;
    instance_report report;
    token_codec codec = *token_codec::create({first_key, {}, {}}, reason);
};

} // namespace

// Guards against serving a session from an instance that lacks entries the session has seen.
TEST_CASE_FIXTURE(token_fixture, "check_eligibility_all_orders_of_terms_and_positions_match_the_rules") {
    report.last_entry = {3, 50};
    report.term_start = 40;
    CHECK(check_eligibility(report, {3, 50}) == eligibility::eligible);
    CHECK(check_eligibility(report, {3, 51}) == eligibility::behind);
    CHECK(check_eligibility(report, {4, 1}) == eligibility::behind);
    CHECK(check_eligibility(report, {2, 40}) == eligibility::eligible);
    CHECK(check_eligibility(report, {2, 41}) == eligibility::ahead_of_history);
    CHECK(check_eligibility(report, {}) == eligibility::eligible);
    report.initialised = false;
    CHECK(check_eligibility(report, {}) == eligibility::behind);
}

// Guards against a merge that drops the position of a group.
TEST_CASE_FIXTURE(token_fixture, "merge_overlapping_groups_keeps_the_maximum_of_each") {
    session_token token{"orders-db", {2, 9}};
    session_token other{"wheeldb", {1, 4}};
    REQUIRE(other.advance("orders-db", {1, 99}, reason));
    REQUIRE(token.merge(other, reason));
    CHECK(token.position_in("orders-db") == log_position{2, 9});
    CHECK(token.position_in("wheeldb") == log_position{1, 4});
    CHECK(token.position_in("elsewhere") == log_position{});
}

// Guards against a token that grows without limit, and against a rejected merge that is partly applied.
TEST_CASE_FIXTURE(token_fixture, "merge_ninth_group_is_too_large_and_changes_nothing") {
    session_token token;
    for (char name = 'a'; name < 'i'; ++name) {
        REQUIRE(token.advance(std::string(1, name), {1, 1}, reason));
    }
    session_token other{"a", {7, 7}};
    REQUIRE(other.advance("z", {1, 1}, reason));
    const session_token before = token;
    CHECK_FALSE(token.merge(other, reason));
    CHECK(reason.code == error_code::too_large);
    CHECK(token == before);
}

// Guards against positions that change when a token is encoded and decoded.
TEST_CASE_FIXTURE(token_fixture, "codec_any_token_survives_the_round_trip") {
    std::mt19937_64 random{11};
    for (int round = 0; round < 500; ++round) {
        session_token token;
        const std::uint64_t groups = random() % 5;
        for (std::uint64_t group = 0; group < groups; ++group) {
            REQUIRE(token.advance("group-" + std::to_string(random() % 9),
                                  {random() >> (random() % 64), random() >> (random() % 64)}, reason));
        }
        const std::optional<std::string> text = codec.encode(token, reason);
        REQUIRE(text);
        CHECK(text->size() <= token_codec::max_text_bytes);
        const std::optional<session_token> read = codec.decode(*text, reason);
        REQUIRE(read);
        CHECK(*read == token);
    }
}

// Guards against forged or damaged tokens that are accepted as a session.
TEST_CASE_FIXTURE(token_fixture, "codec_any_changed_character_is_refused") {
    const std::string text = *codec.encode(session_token{"wheeldb", {3, 70000}}, reason);
    for (std::size_t at = 0; at < text.size(); ++at) {
        std::string changed = text;
        changed[at] = changed[at] == 'A' ? 'B' : 'A';
        CHECK_FALSE(codec.decode(changed, reason));
        CHECK_FALSE(codec.decode(text.substr(0, at), reason));
    }
    CHECK_FALSE(codec.decode("", reason));
    CHECK(reason.code == error_code::bad_value);
    CHECK_FALSE(codec.decode("not base64!", reason));
    CHECK(reason.code == error_code::bad_value);
    CHECK_FALSE(codec.decode(text + "====", reason));
    CHECK(reason.code == error_code::bad_value);
    CHECK_FALSE(codec.decode(std::string(257, 'A'), reason));
    CHECK(reason.code == error_code::too_large);
}

// Guards against sessions that fail during a key rotation, and against old keys that remain valid after it.
TEST_CASE_FIXTURE(token_fixture, "codec_rotated_key_accepts_the_previous_one_only_while_it_is_set") {
    const std::string text = *codec.encode(session_token{"wheeldb", {1, 2}}, reason);
    const token_codec rotating = *token_codec::create({second_key, first_key, {}}, reason);
    const token_codec rotated = *token_codec::create({second_key, {}, {}}, reason);
    CHECK(rotating.decode(text, reason));
    CHECK_FALSE(rotated.decode(text, reason));
    CHECK(reason.code == error_code::bad_signature);
    CHECK(rotated.decode(*rotating.encode(session_token{"wheeldb", {1, 2}}, reason), reason));
    CHECK_FALSE(token_codec::create({"short", {}, {}}, reason));
    CHECK(reason.field == "signing_key");
}

// Guards against treating the token of another deployment as a new session.
TEST_CASE_FIXTURE(token_fixture, "codec_group_of_another_deployment_is_token_foreign_group") {
    token_codec_settings settings{first_key, {}, [](std::string_view group) { return group == "wheeldb"; }};
    const token_codec limited = *token_codec::create(settings, reason);
    CHECK(limited.decode(*codec.encode(session_token{"wheeldb", {1, 2}}, reason), reason));
    CHECK_FALSE(limited.decode(*codec.encode(session_token{"orders-db", {1, 2}}, reason), reason));
    CHECK(reason.code == error_code::token_foreign_group);
    CHECK(reason.value == "orders-db");
}

// Guards against an executed write whose token cannot be encoded.
TEST_CASE_FIXTURE(token_fixture, "codec_token_with_room_encodes_after_any_later_advance") {
    session_token token;
    int admitted = 0;
    for (int group = 0; group < 20; ++group) {
        const std::string name = "orders-db-" + std::string(1, static_cast<char>('a' + group));
        if (codec.has_room_for(token, name)) {
            REQUIRE(token.advance(name, {1, 1}, reason));
            ++admitted;
        }
    }
    CHECK(admitted == 7);
    const session_token named = token;
    for (const session_position& entry : named.positions()) {
        REQUIRE(token.advance(entry.group, {(1ULL << 28U) - 1, (1ULL << 56U) - 1}, reason));
    }
    CHECK(codec.encode(token, reason));
    CHECK_FALSE(codec.encode(session_token{std::string(180, 'g'), {1, 1}}, reason));
    CHECK(reason.code == error_code::too_large);
}
