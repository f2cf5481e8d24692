#pragma once

#include "gentianhill/admission/connection_pool.h"
#include "gentianhill/backend/backend_connection.h"

#include <memory>
#include <string>
#include <string_view>

namespace gentianhill {

class instance_gateway;

/// A statement connection that one request or transaction holds. Gives it back when destroyed; a connection
/// with an unfinished or mismatched exchange, or an open transaction, is closed instead.
class connection_lease {
public:
    connection_lease(instance_gateway& gateway, connection_pool::connection_id id,
                     std::shared_ptr<backend_connection> connection);
    ~connection_lease();
    connection_lease(const connection_lease&) = delete;
    connection_lease& operator=(const connection_lease&) = delete;

    /// Sends one call; one at a time. The handler is called once, also when the lease has gone meanwhile,
    /// but not after the gateway has gone.
    void call(std::string_view path, nlohmann::json body, duration timeout,
              backend_connection::answer_handler on_answer);
    /// Keeps the connection for a transaction.
    void pin();
    /// The instance has ended the transaction.
    void unpin();
    /// True while the connection can carry another exchange.
    [[nodiscard]] bool is_usable() const;
    /// Name of the instance.
    [[nodiscard]] const std::string& instance() const { return instance_; }

private:
    std::weak_ptr<bool> gateway_alive_;
    instance_gateway& gateway_;
    connection_pool::connection_id id_;
    std::shared_ptr<backend_connection> connection_;
    std::string instance_;
};

} // namespace gentianhill
