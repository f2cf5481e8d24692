#include "gentianhill/content/content_messages.h"

#include "gentianhill/core/byte_codec.h"

namespace gentianhill {

namespace {

/// Version of the message format. A daemon refuses messages of another one.
constexpr std::uint64_t format_version = 1;
constexpr std::size_t max_name_bytes = 256;
constexpr std::size_t max_bases = 16;
constexpr std::size_t max_content_bytes = 64U << 20U;
constexpr std::size_t max_part_bytes = 1U << 20U;

void write_digest(byte_writer& writer, const content_digest& digest) {
    writer.integer(digest.high);
    writer.integer(digest.low);
}

content_digest read_digest(byte_reader& reader) {
    content_digest digest;
    digest.high = reader.integer();
    digest.low = reader.integer();
    return digest;
}

void write_optional(byte_writer& writer, const std::optional<content_digest>& digest) {
    writer.boolean(digest.has_value());
    if (digest) {
        write_digest(writer, *digest);
    }
}

std::optional<content_digest> read_optional(byte_reader& reader) {
    return reader.boolean() ? std::optional(read_digest(reader)) : std::nullopt;
}

std::size_t read_size(byte_reader& reader) {
    return static_cast<std::size_t>(reader.integer(max_content_bytes));
}

bool read_version(byte_reader& reader) {
    return reader.integer() == format_version;
}

error malformed(std::string_view what, std::string_view bytes) {
    return {error_code::bad_value, std::string(what), std::to_string(bytes.size()) + " bytes",
            "a complete message of this version"};
}

} // namespace

std::string content_request::to_bytes() const {
    byte_writer writer;
    writer.integer(format_version);
    writer.text(daemon);
    write_digest(writer, wanted);
    writer.integer(bases.size());
    for (const content_digest& base : bases) {
        write_digest(writer, base);
    }
    write_optional(writer, encoding);
    writer.integer(offset);
    return writer.take();
}

std::optional<content_request> content_request::from_bytes(std::string_view bytes, error& reason) {
    byte_reader reader(bytes);
    const bool is_known = read_version(reader);
    content_request request;
    request.daemon = reader.text(max_name_bytes);
    request.wanted = read_digest(reader);
    const std::size_t bases = reader.integer(max_bases);
    for (std::size_t index = 0; index < bases && reader.ok(); ++index) {
        request.bases.push_back(read_digest(reader));
    }
    request.encoding = read_optional(reader);
    request.offset = read_size(reader);
    if (!is_known || !reader.finish() || request.daemon.empty()) {
        reason = malformed("content_request", bytes);
        return std::nullopt;
    }
    return request;
}

std::string content_part::to_bytes() const {
    byte_writer writer;
    writer.integer(format_version);
    writer.boolean(is_waiting);
    if (is_waiting) {
        return writer.take();
    }
    write_digest(writer, encoding);
    writer.integer(encoding_bytes);
    write_optional(writer, base);
    writer.integer(offset);
    writer.text(data);
    return writer.take();
}

std::optional<content_part> content_part::from_bytes(std::string_view bytes, error& reason) {
    byte_reader reader(bytes);
    const bool is_known = read_version(reader);
    content_part part;
    part.is_waiting = reader.boolean();
    if (!part.is_waiting) {
        part.encoding = read_digest(reader);
        part.encoding_bytes = read_size(reader);
        part.base = read_optional(reader);
        part.offset = read_size(reader);
        part.data = reader.text(max_part_bytes);
    }
    const bool is_inside = part.offset + part.data.size() <= part.encoding_bytes;
    if (!is_known || !reader.finish() || (!part.is_waiting && (part.data.empty() || !is_inside))) {
        reason = malformed("content_part", bytes);
        return std::nullopt;
    }
    return part;
}

} // namespace gentianhill
