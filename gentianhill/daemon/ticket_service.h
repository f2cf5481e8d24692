#pragma once

#include "gentianhill/daemon/daemon_context.h"
#include "gentianhill/operators/operator_hooks.h"
#include "gentianhill/store/object_store.h"
#include "gentianhill/store/prefix_watch.h"
#include "gentianhill/tickets/ticket_state.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace gentianhill {

/// The tickets that are in effect at this daemon: learned from the platform's service and from peers, never
/// lowered.
class ticket_service {
public:
    ticket_service(daemon_context& context, object_store& store);
    ticket_service(const ticket_service&) = delete;
    ticket_service& operator=(const ticket_service&) = delete;

    /// Called with the subjects that a ticket raised, after the view has changed.
    std::function<void(const std::vector<std::string>& subjects)> on_raised;
    /// Called for a ticket that was new to this daemon, to pass it on.
    std::function<void(const nlohmann::json& accepted)> on_new_ticket;

    /// Begins or ends to follow the platform's tickets.
    void set_watching(bool watching);
    /// Applies a ticket that the platform or a peer holds. Returns true when it was new.
    /// Errors: those of ticket_from_json; nothing changes then.
    bool apply(const nlohmann::json& accepted, error& reason);
    /// Checks a ticket against the view and creates it once under its number.
    void submit(const ticket& submitted, const operator_answer& answer);
    /// Reads a ticket back from the platform.
    void show(ticket_number number, const operator_answer& answer);
    /// Tickets above a number that are still in effect, in ascending order and at most `max_bytes`; `more`
    /// tells whether some were left out.
    [[nodiscard]] std::vector<nlohmann::json> after(ticket_number number, std::size_t max_bytes,
                                                    bool& more) const;

    [[nodiscard]] const ticket_state& view() const { return view_; }
    /// True once the platform's list or a peer has been read.
    [[nodiscard]] bool is_loaded() const { return loaded_; }

private:
    void forget_superseded();

    daemon_context& context_;
    object_store& store_;
    prefix_watch watch_;
    ticket_state view_;
    /// Tickets with at least one subject in effect; enough to rebuild an equal view elsewhere.
    std::map<ticket_number, nlohmann::json> accepted_;
    bool loaded_ = false;
};

} // namespace gentianhill
