#include "http_server.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>
#include <sstream>

namespace review {

namespace {

constexpr int listen_queue = 128;
constexpr int hexadecimal = 16;

std::string decode_url(const std::string& text) {
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::strtol(text.substr(i + 1, 2).c_str(), nullptr, hexadecimal));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::string lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

/// Takes a whole request out of the bytes received; false if it is not complete.
bool take_request(std::string& input, http_request& request) {
    const std::size_t head_end = input.find("\r\n\r\n");
    if (head_end == std::string::npos) {
        return false;
    }
    std::istringstream head(input.substr(0, head_end));
    std::string target;
    head >> request.method >> target;
    std::string line;
    std::getline(head, line);
    while (std::getline(head, line)) {
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos) {
            std::string value = line.substr(std::min(colon + 2, line.size()));
            value.erase(std::remove(value.begin(), value.end(), '\r'), value.end());
            request.headers[lower(line.substr(0, colon))] = value;
        }
    }
    const auto length = request.headers.find("content-length");
    const std::size_t body_size =
        length == request.headers.end() ? 0 : std::strtoull(length->second.c_str(), nullptr, 10);
    const std::size_t body_begin = head_end + 4;
    if (input.size() < body_begin + body_size) {
        return false;
    }
    request.body = input.substr(body_begin, body_size);
    input.erase(0, body_begin + body_size);
    const std::size_t mark = target.find('?');
    request.path = decode_url(target.substr(0, mark));
    if (mark != std::string::npos) {
        std::istringstream pairs(target.substr(mark + 1));
        for (std::string pair; std::getline(pairs, pair, '&');) {
            const std::size_t equals = pair.find('=');
            request.query[pair.substr(0, equals)] =
                equals == std::string::npos ? "" : decode_url(pair.substr(equals + 1));
        }
    }
    return true;
}

} // namespace

http_server::http_server(event_poll& loop, std::uint16_t port)
    : loop_(loop), port_(port), listener_(listen_on_loopback(port_, listen_queue)) {
    accept();
}

void http_server::stop_accepting() {
    loop_.unwatch(listener_);
}

void http_server::accept() {
    accept_all(loop_, listener_, [this](int descriptor) {
        const std::uint64_t number = ++last_number_;
        const std::shared_ptr<channel> opened = std::make_shared<channel>(loop_, descriptor);
        connections_.emplace(number, opened);
        opened->on_input = [this, number] { on_input(number); };
        opened->on_end = [this, number] {
            loop_.call_after(milliseconds(0), [this, number] { connections_.erase(number); });
        };
    });
}

void http_server::on_input(std::uint64_t number) {
    http_request request;
    if (!take_request(connections_.at(number)->input, request)) {
        return;
    }
    const std::weak_ptr<channel> asked = connections_.at(number);
    on_request(request, [asked](int status, const std::string& body) {
        const std::shared_ptr<channel> open = asked.lock();
        if (open != nullptr && open->is_open()) {
            open->send("HTTP/1.1 " + std::to_string(status) + " -\r\nContent-Type: application/json\r\n" +
                       "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        }
    });
}

} // namespace review
