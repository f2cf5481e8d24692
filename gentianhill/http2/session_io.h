#pragma once

#include <event2/bufferevent.h>
#include <nghttp2/nghttp2.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace gentianhill::http2 {

/// Body that nghttp2 reads while it sends a message; must live until the stream closes.
struct body_source {
    /// Bytes to send.
    std::string bytes;
    /// Bytes handed to nghttp2 so far.
    std::size_t sent = 0;

    /// Data provider that reads this body.
    [[nodiscard]] nghttp2_data_provider provider();
};

/// Header field that refers to memory owned by the caller until the submit call returns.
[[nodiscard]] nghttp2_nv header_field(std::string_view name, std::string_view value);

/// Feeds all received bytes to the session; returns the count, or -1 when the session has failed.
[[nodiscard]] std::int64_t receive_into(nghttp2_session* session, bufferevent* transport);

/// Writes all frames that the session has pending; returns the count, or -1 when the session has failed.
[[nodiscard]] std::int64_t send_from(nghttp2_session* session, bufferevent* transport);

/// Submits the settings frame and a connection window large enough for whole bodies.
void submit_settings(nghttp2_session* session, std::uint32_t max_streams);

/// Disables the delay of small segments; answers are short and latency counts.
void set_no_delay(int socket);

} // namespace gentianhill::http2
