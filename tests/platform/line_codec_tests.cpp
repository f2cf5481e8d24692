#include "platform/line_codec.h"

#include <doctest/doctest.h>

using namespace gentianhill;
using namespace gentianhill::platform;

namespace {

std::string encode(const instance_command& command) {
    std::string out;
    append_command(out, command);
    return out;
}

} // namespace

// Guards against statement text that is altered when it is forwarded to an instance.
TEST_CASE("line_codec_client_statement_is_forwarded_unchanged") {
    const statement parsed = parse_query("5c0e WRITE 1a4 some data  with blanks");
    CHECK(parsed.kind == statement_kind::write);
    CHECK(encode(make_statement_command(parsed, "")) == "QUERY 5c0e WRITE 1a4 some data  with blanks\r\n");
    instance_command read = make_statement_command(parse_query("ab READ 1a4"), "");
    CHECK(parse_query("ab READ 1a4").kind == statement_kind::read);
    const statement text = parse_query("ab READ 1a4");
    read = make_statement_command(text, "");
    read.min_position = log_position{3, 1207};
    CHECK(encode(read) == "QUERY ab SINCE 3.1207 READ 1a4\r\n");
}

// Guards against executing a prepared statement by the client's name instead of the name shared by sessions.
TEST_CASE("line_codec_execute_uses_shared_name_and_client_arguments") {
    const statement parsed = parse_query("5c0e EXECUTE s1 1a4 xkqp wnzd");
    CHECK(parsed.name == "s1");
    const std::string shared = "wq2c";
    CHECK(encode(make_statement_command(parsed, shared)) == "QUERY 5c0e EXECUTE wq2c 1a4 xkqp wnzd\r\n");
}

// Guards against injection: lines of the proxy's own, such as PAUSE, or further lines inside a statement.
TEST_CASE("line_codec_invalid_query_is_malformed") {
    for (const char* text : {"",
                             "- READ a",
                             "id",
                             "id STATUS",
                             "id PAUSE 3",
                             "id RESET",
                             "id SINCE 1.2 READ a",
                             "id READ",
                             "id WRITE a",
                             "id BEGIN WRITE",
                             "id COMMIT now",
                             "id PREPARE s1 DROP x",
                             "id PREPARE s1 READ",
                             "id SET name",
                             "id EXECUTE s1",
                             "id READ a\r\nQUERY - STATUS",
                             "id READ \xff\xfe",
                             "id READ \xc3",
                             "i\nd READ a",
                             "i\td READ a",
                             "id SET na\nme value",
                             "id PREPARE s\n1 READ q",
                             "id EXECUTE s\r1 a",
                             "id DEALLOC s\n1",
                             "id\nREAD a",
                             "id BEGIN\nREAD",
                             "id COMMIT\n",
                             "id DEALLOC "}) {
        CAPTURE(text);
        CHECK(parse_query(text).kind == statement_kind::malformed);
    }
}

// Guards against valid UTF-8 text that is rejected.
TEST_CASE("line_codec_utf8_text_is_accepted") {
    CHECK(parse_query("id WRITE a \xe8\xbb\x8a\xe8\xbc\xaa").kind == statement_kind::write);
}

// Guards against results that a client can't parse.
TEST_CASE("line_codec_result_is_encoded_as_rows_signature_state") {
    statement_result result;
    result.rows = {"one", "two"};
    result.signature = "7.1f3";
    result.state = transaction_state::open;
    std::string out;
    append_result(out, result);
    CHECK(out == "DATAROW one\r\nDATAROW two\r\nCOMPLETE 7.1f3\r\nREADY T -\r\n");
    out.clear();
    append_result(out, make_refusal(statement_outcome::busy, "no_primary", transaction_state::idle));
    CHECK(out == "ERROR BUSY no_primary\r\nREADY I -\r\n");
}

// Guards against a row of another statement that is taken for a status.
TEST_CASE("line_codec_status_row_is_validated_and_parsed") {
    const std::optional<instance_status> status = parse_status_row("replica 3 3.1209 4 12 2 17");
    REQUIRE(status);
    CHECK(!status->is_primary);
    CHECK(status->term == 3);
    CHECK(status->log_end == log_position{3, 1209});
    CHECK(status->fenced_term == 4);
    CHECK(status->connections == 17);
    CHECK(!status->accepts_replication());
    CHECK(!parse_status_row("qhzkwmtrbelo"));
    CHECK(!parse_status_row("leader 3 3.1 0 0 0 0"));
    CHECK(!parse_status_row("primary x 3.1 0 0 0 0"));
}

// Guards against an error code of a newer instance that is taken for proof that the statement had no effect.
TEST_CASE("line_codec_unknown_error_code_maps_to_failed") {
    statement_result result;
    parse_error("SOMETHING new", result);
    CHECK(result.outcome == statement_outcome::failed);
    parse_error("READONLY i-7f3a", result);
    CHECK(result.outcome == statement_outcome::read_only);
    CHECK(result.detail == "i-7f3a");
}

// Guards against data that is refused or altered although only CR LF ends a line.
TEST_CASE("line_codec_control_characters_in_the_last_field_are_forwarded_unchanged") {
    for (const char* data :
         {"a\nb", "\n", "a\n", "a\rb", "a\r", "\ta", "a  b ", "a\nQUERY - STATUS", "\x01\x1b[0m\x7f"}) {
        CAPTURE(data);
        const std::string text(data);
        CHECK(encode(make_statement_command(parse_query("id WRITE i " + text), "")) ==
              "QUERY id WRITE i " + text + "\r\n");
        CHECK(encode(make_statement_command(parse_query("id READ " + text), "")) ==
              "QUERY id READ " + text + "\r\n");
        CHECK(encode(make_statement_command(parse_query("id EXECUTE s1 i " + text), "wq2c")) ==
              "QUERY id EXECUTE wq2c i " + text + "\r\n");
        CHECK(parse_query("id SET name " + text).argument == text);
        CHECK(parse_query("id PREPARE s1 READ " + text).argument == text);
    }
    const std::string with_nul("id WRITE i a\0b", 14);
    CHECK(encode(make_statement_command(parse_query(with_nul), "")) == "QUERY " + with_nul + "\r\n");
}

// Guards against a session value or shape that is altered when it is set on a connection to an instance.
TEST_CASE("line_codec_session_setup_is_sent_unchanged") {
    instance_command set;
    set.kind = command_kind::set_value;
    set.name = "name";
    set.argument = " a\nb\r";
    CHECK(encode(set) == "QUERY - SET name  a\nb\r\r\n");
    instance_command prepare;
    prepare.kind = command_kind::prepare;
    prepare.name = "rq";
    prepare.argument = "q\n2";
    CHECK(encode(prepare) == "QUERY - PREPARE rq READ q\n2\r\n");
}

// Guards against a limit that differs from the length of the line that is sent.
TEST_CASE("line_codec_fits_message_up_to_the_maximum_length_of_the_line") {
    const std::string id = "5c0e";
    const std::string name = "name";
    for (const command_kind kind : {command_kind::read, command_kind::write, command_kind::commit,
                                    command_kind::execute, command_kind::set_value, command_kind::prepare}) {
        const bool has_text =
            kind == command_kind::read || kind == command_kind::write || kind == command_kind::commit;
        instance_command command;
        command.kind = kind;
        command.id = id;
        command.name = has_text ? std::string_view{} : std::string_view(name);
        command.min_position = log_position{3, 1207};
        const std::string text(max_message_bytes + 2 - encode(command).size(), 'x');
        std::string_view& longest = has_text ? command.text : command.argument;
        longest = text;
        CHECK(encode(command).size() == max_message_bytes + 2);
        CHECK(fits_message(command));
        const std::string too_long = text + "x";
        longest = too_long;
        CHECK(!fits_message(command));
        longest = "x";
        CHECK(fits_message(command));
    }
}
