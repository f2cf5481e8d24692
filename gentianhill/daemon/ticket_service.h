#pragma once

#include "gentianhill/daemon/daemon_context.h"
#include "gentianhill/operators/operator_hooks.h"
#include "gentianhill/store/object_store.h"
#include "gentianhill/store/prefix_watch.h"
#include "gentianhill/tickets/ticket_state.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <optional>
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

    /// Calls its argument once the tickets of the other daemons are known as of the present era of the store,
    /// so that a number that the store lost is not accepted again. Must be set before the first submission.
    std::function<void(std::function<void()> on_compared)> await_comparison;

    /// Begins or ends to follow the platform's tickets.
    void set_watching(bool watching);
    /// Applies a ticket that the platform or a peer holds. Returns true when it was new.
    /// Errors: those of ticket_from_json; nothing changes then.
    bool apply(const nlohmann::json& accepted, error& reason);
    /// Checks a ticket against the view and creates it once under its number. Waits until the tickets of the
    /// other daemons are known.
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
    /// True if the number is known to have other content.
    [[nodiscard]] bool is_taken(const ticket& submitted) const;
    /// Answers an invalid ticket; returns true if it may be created.
    [[nodiscard]] bool is_acceptable(const ticket& submitted, const operator_answer& answer);
    /// Reads the era of the store, with retries until the given time, then waits for the comparison.
    void learn_era(const ticket& submitted, const operator_answer& answer, time_point until);
    void create(const ticket& submitted, const operator_answer& answer);
    void on_created(const ticket& submitted, const std::vector<std::string>& warnings,
                    const std::optional<std::uint64_t>& era, const create_result& result,
                    const operator_answer& answer);
    void accept(const ticket& submitted, const std::vector<std::string>& warnings,
                const operator_answer& answer);
    void not_stored(ticket_number number, const error& reason, const operator_answer& answer);
    void forget_superseded();
    /// Creates tickets in effect again that the platform no longer holds, one after the other.
    void schedule_recreation();
    void recreate_next(ticket_number after);
    void on_recreated(ticket_number number, const nlohmann::json& content, const create_result& result);
    /// Reports two contents that were accepted under one number.
    void log_number_conflict(ticket_number number, const nlohmann::json& held,
                             const nlohmann::json& other) const;

    daemon_context& context_;
    object_store& store_;
    prefix_watch watch_;
    ticket_state view_;
    /// Tickets with at least one subject in effect; enough to rebuild an equal view elsewhere.
    /// A number has several contents only if a restored platform accepted it again.
    std::multimap<ticket_number, nlohmann::json> accepted_;
    bool loaded_ = false;
    bool recreating_ = false;
    timer recreation_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
