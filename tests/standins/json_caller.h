#pragma once

#include "gentianhill/http2/client.h"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace gentianhill::standins {

/// libevent starts timers at the time at which its loop last woke up, so they can end early by the time that
/// the callbacks before took.
constexpr duration timer_slack = std::chrono::milliseconds{5};

/// One connection to a stand-in, on the loop of the test.
class json_caller {
public:
    struct outcome {
        bool done = false;
        int status = 0;
        nlohmann::json body;
        std::string text;
        error reason;

        [[nodiscard]] std::string error_name() const {
            return body.is_object() ? body.value("/error/code"_json_pointer, std::string{}) : std::string{};
        }
    };
    using pending = std::shared_ptr<outcome>;

    json_caller(event_loop& loop, const endpoint& server, std::string source = "test")
        : loop_(loop), source_(std::move(source)) {
        http2::client_settings settings;
        settings.server = server;
        client_ = std::make_unique<http2::client>(loop, settings);
    }

    /// Sends a request without waiting.
    pending send(const std::string& method, const std::string& path, const std::string& body,
                 duration timeout = std::chrono::seconds{5}) {
        pending result = std::make_shared<outcome>();
        client_->send(http2::request{method, path, body}, timeout,
                      [result](std::optional<http2::response> reply, const error& reason) {
                          result->done = true;
                          result->reason = reason;
                          if (reply) {
                              result->status = reply->status;
                              result->text = reply->body;
                              result->body = nlohmann::json::parse(reply->body, nullptr, false);
                          }
                      });
        return result;
    }

    /// Sends a database call with its envelope.
    pending start(const std::string& path, nlohmann::json body, duration timeout = std::chrono::seconds{5}) {
        body["request_id"] = "r" + std::to_string(next_request_++);
        body["source"] = source_;
        return send("POST", path, body.dump(), timeout);
    }

    outcome wait(const pending& result) {
        REQUIRE(loop_.run_until([&result] { return result->done; }, std::chrono::seconds{6}));
        return *result;
    }

    outcome request(const std::string& method, const std::string& path, const nlohmann::json& body) {
        return wait(send(method, path, body.is_null() ? std::string{} : body.dump()));
    }

    outcome call(const std::string& path, nlohmann::json body) { return wait(start(path, std::move(body))); }

    /// Runs one statement.
    outcome execute(std::uint64_t term, const std::string& sql, bool read_only = false,
                    bool transaction = false) {
        return wait(start_execute(term, sql, read_only, transaction));
    }

    pending start_execute(std::uint64_t term, const std::string& sql, bool read_only = false,
                          bool transaction = false, duration timeout = std::chrono::seconds{5}) {
        nlohmann::json body{{"term", term}, {"read_only", read_only}};
        body["statements"] = nlohmann::json::array({nlohmann::json{{"sql", sql}}});
        if (transaction) {
            body["transaction"] = true;
        }
        return start("/v1/execute", std::move(body), timeout);
    }

    /// Rows of a single SELECT.
    nlohmann::json rows(std::uint64_t term, const std::string& sql) {
        const outcome result = execute(term, sql, true);
        REQUIRE(result.status == 200);
        return result.body["results"][0]["rows"];
    }

    void close() { client_->close(); }
    [[nodiscard]] bool is_closed() const { return client_->is_closed(); }

private:
    event_loop& loop_;
    std::string source_;
    std::unique_ptr<http2::client> client_;
    int next_request_ = 1;
};

} // namespace gentianhill::standins
