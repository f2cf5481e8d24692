#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/metrics.h"
#include "gentianhill/ownership/hand_on_messages.h"
#include "gentianhill/ownership/owner_selection.h"
#include "gentianhill/relay/relay_port.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

namespace gentianhill {

/// Timing of the statements that are handed on.
struct statement_forwarder_settings {
    /// A daemon with open statements that has sent nothing for this time is asked whether it is alive. More
    /// than a host that is out of processor time for a tenth of a second is silent.
    duration silence = std::chrono::milliseconds(150);
    /// Longest wait for the answer to that question; afterwards the daemon counts as lost.
    duration probe_timeout = std::chrono::milliseconds(250);
    /// Interval at which a daemon that is unavailable is asked whether it is back.
    duration recovery_interval = std::chrono::milliseconds(500);
    /// Interval at which an owner is told that this daemon, which has a transaction open there, is alive.
    duration keep_alive_interval = std::chrono::milliseconds(1000);
    /// Added to the time left of a statement for its answer to arrive.
    duration answer_margin = std::chrono::milliseconds(100);
    /// Owners that a statement is sent to one after the other, at most.
    std::uint32_t max_owners = 8;
    /// Largest message that starts at an owner; a statement with a longer session is run by its own daemon.
    std::size_t max_message_bytes = 256U << 10U;
};

/// Transaction that is open at the owner of its group.
struct remote_transaction {
    std::string owner;
    /// Incarnation of the owner's process; its transactions end with it.
    std::string incarnation;
    std::uint64_t handle = 0;
};

/// What has become of a statement that was handed on.
enum class hand_on_fate : std::uint8_t {
    /// The owner has answered.
    answered,
    /// It certainly did not run.
    not_run,
    /// It may have run.
    lost,
};

/// Outcome of a statement that was handed on.
struct hand_on_outcome {
    hand_on_fate fate = hand_on_fate::not_run;
    /// Reason of the last owner asked, when the fate is not_run.
    hand_on_refusal refusal = hand_on_refusal::none;
    statement_result result;
    /// Transaction that is open at the owner now.
    std::optional<remote_transaction> transaction;
};

/// Hands statements on to the owners of their groups and notices owners that are lost, frozen, slow or
/// silent.
class statement_forwarder {
public:
    using handler = std::function<void(hand_on_outcome outcome)>;

    /// `owners`, `port` and `log` must outlive the object.
    statement_forwarder(const statement_forwarder_settings& settings, owner_selection& owners,
                        relay_port& port, logger& log, metrics& registry, std::string incarnation);

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;

    /// Hands on a statement that may run at any owner; false if this daemon has to run it. A statement that
    /// `may_repeat` is sent to another owner when one is lost. `done` is called once, not from within this
    /// call.
    [[nodiscard]] bool run(hand_on_request request, bool may_repeat, handler done);
    /// Hands on a further statement of a transaction.
    void resume(const remote_transaction& transaction, hand_on_request request, handler done);
    /// Rolls a transaction back.
    void end(const remote_transaction& transaction);
    /// Asks silent owners whether they are alive; call it periodically.
    void tick();

private:
    struct pending {
        hand_on_request request;
        bool may_repeat = false;
        std::uint32_t owners_asked = 0;
        handler done;
        time_point sent_at;
    };
    /// What is known of another daemon.
    struct peer {
        /// Address, also after a daemon that stops has removed its entry.
        std::optional<endpoint> address;
        time_point last_heard;
        bool is_probed = false;
        time_point probed_at;
        /// Statements without an answer yet, by number.
        std::map<std::uint64_t, pending> open;
        /// Transactions open there, by incarnation and handle.
        std::set<std::pair<std::string, std::uint64_t>> handles;
    };

    [[nodiscard]] bool send_to_owner(pending statement);
    void send(const std::string& owner, pending statement);
    void on_reply(const std::string& owner, std::uint64_t number, const std::optional<std::string>& bytes,
                  const error& reason);
    void on_answer(const std::string& owner, pending statement, hand_on_answer answer);
    void on_not_run(const std::string& owner, pending statement, hand_on_refusal refusal);
    void on_lost(const std::string& owner, pending statement);
    void set_unavailable(const std::string& owner, std::string_view reason);
    void probe(const std::string& owner);
    void on_probed(const std::string& owner, const std::optional<std::string>& bytes, const error& reason);
    void fail_open_statements(const std::string& owner);
    /// Address of a daemon, if it is or was listed.
    [[nodiscard]] std::optional<endpoint> address_of(const std::string& name);
    void note_opened(const remote_transaction& transaction);
    void note_ended(const remote_transaction& transaction);
    /// Forgets the transactions of earlier processes of an owner, of which `incarnation` is the present one.
    void forget_earlier(const std::string& owner, const std::string& incarnation);
    /// Transaction that a further statement belongs to.
    [[nodiscard]] static remote_transaction transaction_of(const std::string& owner,
                                                           const hand_on_request& request);

    statement_forwarder_settings settings_;
    owner_selection& owners_;
    relay_port& port_;
    logger& log_;
    std::string incarnation_;
    std::map<std::string, peer> peers_;
    std::uint64_t last_number_ = 0;
    counter& handed_on_;
    counter& not_run_;
    counter& lost_;
    counter& run_here_;
    gauge& handles_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
