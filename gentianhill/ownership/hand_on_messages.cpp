#include "gentianhill/ownership/hand_on_messages.h"

#include "gentianhill/core/byte_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace gentianhill {

namespace {

/// Version of the message format. A daemon refuses messages of another one.
constexpr std::uint64_t format_version = 2;
constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_values = 65'536;
constexpr std::size_t max_rows = 1'048'576;
/// Longest age in a message; a longer one is sent as this one.
constexpr duration max_age = std::chrono::hours(24);
constexpr std::size_t max_answer_text_bytes = 16U << 20U;
constexpr std::array<std::string_view, 7> refusal_names{
    "none",     "draining", "overloaded", "old_configuration", "unknown_group", "unknown_transaction",
    "malformed"};

void write_age(byte_writer& writer, time_point moment, time_point now) {
    writer.integer(static_cast<std::uint64_t>(std::clamp(now - moment, duration(0), max_age).count()));
}

duration read_duration(byte_reader& reader) {
    return duration(static_cast<std::int64_t>(reader.integer(static_cast<std::uint64_t>(max_age.count()))));
}

void write_duration(byte_writer& writer, duration length) {
    writer.integer(static_cast<std::uint64_t>(std::clamp(length, duration(0), max_age).count()));
}

template <typename enumeration>
enumeration read_enumeration(byte_reader& reader, enumeration last) {
    return static_cast<enumeration>(reader.integer(static_cast<std::uint64_t>(last)));
}

void write_position(byte_writer& writer, const std::optional<log_position>& position) {
    writer.boolean(position.has_value());
    if (position) {
        writer.integer(position->term);
        writer.integer(position->position);
    }
}

std::optional<log_position> read_position(byte_reader& reader) {
    if (!reader.boolean()) {
        return std::nullopt;
    }
    log_position position;
    position.term = reader.integer();
    position.position = reader.integer();
    return position;
}

void write_statement(byte_writer& writer, const hand_on_request& request, time_point now) {
    const statement& sent = request.client_statement;
    writer.integer(static_cast<std::uint64_t>(sent.kind));
    writer.text(sent.id);
    writer.text(sent.text);
    writer.text(sent.name);
    writer.text(sent.argument);
    writer.boolean(sent.writes);
    write_age(writer, request.received_at, now);
    writer.boolean(request.prepared.has_value());
    if (request.prepared) {
        writer.text(request.prepared->shape);
        writer.boolean(request.prepared->writes);
    }
    writer.boolean(request.values.has_value());
    if (request.values) {
        writer.integer(request.values->size());
        for (const session_state::value_map::value_type& value : *request.values) {
            writer.text(value.first);
            writer.text(value.second);
        }
    }
}

void read_statement(byte_reader& reader, hand_on_request& request, time_point now) {
    statement& read = request.client_statement;
    read.kind = read_enumeration(reader, statement_kind::malformed);
    read.id = reader.text(max_hand_on_bytes);
    read.text = reader.text(max_hand_on_bytes);
    read.name = reader.text(max_hand_on_bytes);
    read.argument = reader.text(max_hand_on_bytes);
    read.writes = reader.boolean();
    request.received_at = now - read_duration(reader);
    if (reader.boolean()) {
        prepared_statement prepared;
        prepared.shape = reader.text(max_hand_on_bytes);
        prepared.writes = reader.boolean();
        request.prepared = std::move(prepared);
    }
    if (reader.boolean()) {
        session_state::value_map values;
        const std::uint64_t count = reader.integer(max_values);
        for (std::uint64_t index = 0; index < count && reader.ok(); ++index) {
            std::string name = reader.text(max_hand_on_bytes);
            values.insert_or_assign(std::move(name), reader.text(max_hand_on_bytes));
        }
        request.values = std::move(values);
    }
    switch (read.kind) {
    case statement_kind::read:
    case statement_kind::write:
    case statement_kind::execute:
    case statement_kind::commit:
        break;
    default:
        // All others are answered by the daemon of the session.
        reader.fail();
    }
}

void write_route(byte_writer& writer, const route& sent) {
    writer.text(sent.name);
    writer.text(sent.database);
    writer.text(sent.group);
    writer.integer(static_cast<std::uint64_t>(sent.consistency));
    write_duration(writer, sent.timeout);
    write_duration(writer, sent.target_latency);
    writer.integer(static_cast<std::uint64_t>(std::max<std::int64_t>(sent.priority, 0)));
    write_duration(writer, sent.max_staleness);
}

std::shared_ptr<const route> read_route(byte_reader& reader) {
    const std::shared_ptr<route> read = std::make_shared<route>();
    read->name = reader.text(max_name_bytes);
    read->database = reader.text(max_name_bytes);
    read->group = reader.text(max_name_bytes);
    read->consistency = read_enumeration(reader, consistency_level::read_your_writes);
    read->timeout = read_duration(reader);
    read->target_latency = read_duration(reader);
    read->priority = static_cast<std::int64_t>(reader.integer(INT64_MAX));
    read->max_staleness = read_duration(reader);
    return read;
}

void write_session(byte_writer& writer, const hand_on_request& request, time_point now) {
    writer.text(request.team);
    writer.integer(request.configuration_version);
    write_route(writer, *request.selected_route);
    writer.boolean(request.in_transaction);
    writer.boolean(request.reads_only);
    writer.text(request.begin_id);
    write_age(writer, request.begun_at, now);
    write_position(writer, request.session_position);
    const bool has_fresh_after = request.fresh_after != time_point{};
    writer.boolean(has_fresh_after);
    if (has_fresh_after) {
        write_age(writer, request.fresh_after, now);
    }
}

void read_session(byte_reader& reader, hand_on_request& request, time_point now) {
    request.team = reader.text(max_name_bytes);
    request.configuration_version = reader.integer();
    request.selected_route = read_route(reader);
    request.in_transaction = reader.boolean();
    request.reads_only = reader.boolean();
    request.begin_id = reader.text(max_hand_on_bytes);
    request.begun_at = now - read_duration(reader);
    request.session_position = read_position(reader);
    if (reader.boolean()) {
        request.fresh_after = now - read_duration(reader);
    }
}

std::nullopt_t not_valid(error& reason, std::string_view what) {
    reason = error{error_code::bad_value, std::string(what), "", "a message of this version"};
    return std::nullopt;
}

} // namespace

std::string_view to_string(hand_on_refusal refusal) {
    return refusal_names.at(static_cast<std::size_t>(refusal));
}

std::string hand_on_request::encode(time_point now) const {
    byte_writer writer;
    writer.integer(format_version);
    writer.integer(static_cast<std::uint64_t>(kind));
    writer.text(daemon);
    writer.text(incarnation);
    writer.integer(handle);
    writer.text(owner_incarnation);
    if (kind == hand_on_kind::run || kind == hand_on_kind::resume) {
        write_statement(writer, *this, now);
    }
    if (kind == hand_on_kind::run) {
        write_session(writer, *this, now);
    }
    return writer.take();
}

std::optional<hand_on_request> hand_on_request::decode(std::string_view bytes, time_point now,
                                                       error& reason) {
    byte_reader reader(bytes);
    if (reader.integer() != format_version) {
        return not_valid(reason, "version");
    }
    hand_on_request request;
    request.kind = read_enumeration(reader, hand_on_kind::probe);
    request.daemon = reader.text(max_name_bytes);
    request.incarnation = reader.text(max_name_bytes);
    request.handle = reader.integer();
    request.owner_incarnation = reader.text(max_name_bytes);
    if (request.kind == hand_on_kind::run || request.kind == hand_on_kind::resume) {
        read_statement(reader, request, now);
    }
    if (request.kind == hand_on_kind::run) {
        read_session(reader, request, now);
    }
    if (!reader.finish()) {
        return not_valid(reason, "hand_on_request");
    }
    return request;
}

std::string hand_on_answer::encode() const {
    byte_writer writer;
    writer.integer(format_version);
    writer.text(daemon);
    writer.text(incarnation);
    writer.integer(static_cast<std::uint64_t>(refusal));
    writer.integer(handle);
    writer.integer(static_cast<std::uint64_t>(result.outcome));
    writer.text(result.detail);
    writer.text(result.signature);
    writer.integer(static_cast<std::uint64_t>(result.state));
    write_position(writer, result.position);
    writer.integer(result.rows.size());
    for (const std::string& row : result.rows) {
        writer.text(row);
    }
    return writer.take();
}

std::optional<hand_on_answer> hand_on_answer::decode(std::string_view bytes, error& reason) {
    byte_reader reader(bytes);
    if (reader.integer() != format_version) {
        return not_valid(reason, "version");
    }
    hand_on_answer answer;
    answer.daemon = reader.text(max_name_bytes);
    answer.incarnation = reader.text(max_name_bytes);
    answer.refusal = read_enumeration(reader, hand_on_refusal::malformed);
    answer.handle = reader.integer();
    answer.result.outcome = read_enumeration(reader, statement_outcome::in_doubt);
    answer.result.detail = reader.text(max_answer_text_bytes);
    answer.result.signature = reader.text(max_answer_text_bytes);
    answer.result.state = read_enumeration(reader, transaction_state::failed);
    answer.result.position = read_position(reader);
    const std::uint64_t rows = reader.integer(max_rows);
    for (std::uint64_t index = 0; index < rows && reader.ok(); ++index) {
        answer.result.rows.push_back(reader.text(max_answer_text_bytes));
    }
    if (!reader.finish()) {
        return not_valid(reason, "hand_on_answer");
    }
    return answer;
}

} // namespace gentianhill
