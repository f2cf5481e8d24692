#include "gentianhill/http2/session_io.h"

#include <event2/buffer.h>

#include <algorithm>
#include <array>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace gentianhill::http2 {

namespace {

constexpr std::int32_t window_bytes = 4 << 20;

ssize_t read_body(nghttp2_session* /*session*/, std::int32_t /*stream*/, std::uint8_t* buffer,
                  std::size_t length, std::uint32_t* flags, nghttp2_data_source* source,
                  void* /*user_data*/) {
    body_source* body = static_cast<body_source*>(source->ptr);
    const std::size_t count = std::min(length, body->bytes.size() - body->sent);
    std::copy_n(body->bytes.data() + body->sent, count, buffer);
    body->sent += count;
    if (body->sent == body->bytes.size()) {
        *flags |= NGHTTP2_DATA_FLAG_EOF;
    }
    return static_cast<ssize_t>(count);
}

} // namespace

nghttp2_data_provider body_source::provider() {
    nghttp2_data_provider result{};
    result.source.ptr = this;
    result.read_callback = &read_body;
    return result;
}

nghttp2_nv header_field(std::string_view name, std::string_view value) {
    nghttp2_nv field{};
    // nghttp2 copies both before the submit call returns and does not modify them.
    field.name = reinterpret_cast<std::uint8_t*>(const_cast<char*>(name.data()));
    field.namelen = name.size();
    field.value = reinterpret_cast<std::uint8_t*>(const_cast<char*>(value.data()));
    field.valuelen = value.size();
    field.flags = NGHTTP2_NV_FLAG_NONE;
    return field;
}

std::int64_t receive_into(nghttp2_session* session, bufferevent* transport) {
    evbuffer* input = bufferevent_get_input(transport);
    std::int64_t total = 0;
    while (evbuffer_get_length(input) > 0) {
        const std::size_t length = evbuffer_get_contiguous_space(input);
        const unsigned char* data = evbuffer_pullup(input, static_cast<ev_ssize_t>(length));
        const ssize_t consumed = nghttp2_session_mem_recv(session, data, length);
        if (consumed < 0) {
            return -1;
        }
        total += consumed;
        evbuffer_drain(input, static_cast<std::size_t>(consumed));
    }
    return total;
}

std::int64_t send_from(nghttp2_session* session, bufferevent* transport) {
    std::int64_t total = 0;
    while (true) {
        const std::uint8_t* data = nullptr;
        const ssize_t length = nghttp2_session_mem_send(session, &data);
        if (length < 0) {
            return -1;
        }
        if (length == 0) {
            return total;
        }
        total += length;
        bufferevent_write(transport, data, static_cast<std::size_t>(length));
    }
}

void submit_settings(nghttp2_session* session, std::uint32_t max_streams) {
    const std::array<nghttp2_settings_entry, 2> entries{
        nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, max_streams},
        nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window_bytes},
    };
    nghttp2_submit_settings(session, NGHTTP2_FLAG_NONE, entries.data(), entries.size());
    nghttp2_session_set_local_window_size(session, NGHTTP2_FLAG_NONE, 0, window_bytes);
}

void set_no_delay(int socket) {
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

} // namespace gentianhill::http2
