#include "gentianhill/daemon/connection_lease.h"

#include "gentianhill/daemon/instance_gateway.h"

#include <utility>

namespace gentianhill {

connection_lease::connection_lease(instance_gateway& gateway, connection_pool::connection_id id,
                                   std::shared_ptr<backend_connection> connection)
    : gateway_alive_(gateway.alive_),
      gateway_(gateway),
      id_(id),
      connection_(std::move(connection)),
      instance_(gateway.configuration_.name) {
    ++gateway_.in_flight_;
}

connection_lease::~connection_lease() {
    if (!gateway_alive_.expired()) {
        --gateway_.in_flight_;
        gateway_.give_back(id_, connection_->is_usable());
    }
}

void connection_lease::call(std::string_view path, nlohmann::json body, duration timeout,
                            backend_connection::answer_handler on_answer) {
    if (!gateway_alive_.expired()) {
        gateway_.pool_.begin_exchange(id_);
        gateway_.hooks_.on_sent();
    }
    const std::weak_ptr<bool> alive = gateway_alive_;
    instance_gateway* gateway = &gateway_;
    const connection_pool::connection_id id = id_;
    connection_->call(path, std::move(body), timeout,
                      [alive, gateway, id, on_answer = std::move(on_answer)](
                          std::optional<database_answer> answer, const backend_failure& failure) {
                          if (alive.expired()) {
                              return;
                          }
                          const bool complete =
                              answer.has_value() || failure.progress == request_progress::answered;
                          if (complete) {
                              gateway->pool_.end_exchange(id, true);
                          }
                          gateway->note_answer(answer, failure);
                          on_answer(std::move(answer), failure);
                      });
}

void connection_lease::pin() {
    if (!gateway_alive_.expired()) {
        gateway_.pool_.pin(id_);
    }
}

void connection_lease::unpin() {
    if (!gateway_alive_.expired()) {
        gateway_.pool_.unpin(id_);
    }
}

bool connection_lease::is_usable() const {
    return connection_->is_usable();
}

} // namespace gentianhill
