#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/time.h"
#include "gentianhill/metadata/store_port.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// Times of the lease on the failover duty.
struct duty_lease_settings {
    /// Time from the sending of a claim for which its holder may act. A promotion calls the platform about
    /// 0.6 s after its claim.
    duration tenure = std::chrono::milliseconds(2000);
    /// Time after which a claim that nobody released may be taken over, counted from when it was first seen
    /// here. It exceeds `tenure` by more than a call to the platform can be under way (0.8 s) and take
    /// effect (0.6 s), so that no call of the former holder takes effect during the turn of the next.
    duration takeover_after = std::chrono::milliseconds(4000);
    /// Shortest time between the turns of two holders; zero when the platform asks for none.
    duration turn_spacing{0};
};

/// Why a claim was not granted.
enum class claim_refusal : std::uint8_t { none, held_by_other, lost_race, store_unreachable, spacing };

/// Name of a refusal for logs.
[[nodiscard]] std::string_view to_string(claim_refusal reason);

/// Lease on the duty of promoting instances: one object of the metadata store, claimed by conditional writes
/// only when there is something to do, and released afterwards. The fencing token is the store's revision of
/// the claim, which only rises, also when the object was deleted in between.
class duty_lease {
public:
    using claim_handler = std::function<void(std::optional<std::uint64_t> token, claim_refusal reason)>;

    /// `store` and `log` must outlive the lease. `holder` is the daemon's name, `incarnation` tells its
    /// processes apart.
    duty_lease(store_port& store, logger& log, const duty_lease_settings& settings, std::string holder,
               std::string incarnation);

    /// Time that counts while the host is suspended.
    std::function<time_point()> now;

    /// Asks for the duty to promote an instance of `group` to `term`; answers with the fencing token, or with
    /// the reason why not.
    void claim(const std::string& group, term_number term, claim_handler done);
    /// True while the holder may act; ask again right before each action.
    [[nodiscard]] bool is_held() const;
    /// Token of the claim that is held.
    [[nodiscard]] std::uint64_t token() const { return token_; }
    /// Gives the duty back, so that others need not wait for the tenure to end. `leading` is the term of
    /// the group that is known to lead now; without it the store's record stays as it was before the claim.
    void release(std::optional<term_number> promoted_term);
    /// Stops to act without giving the duty back: what was ordered under it may still be on its way. Others,
    /// and this holder, claim it again only when it can be taken over.
    void abandon();
    /// Asks the store for the highest term of `group` that any holder of the duty has promoted, or may have;
    /// 0 for none, and nothing when the store does not answer.
    void read_promoted_term(const std::string& group, std::function<void(std::optional<term_number>)> done);

private:
    struct observation {
        std::uint64_t revision = 0;
        time_point first_seen;
    };

    void on_duty_read(const store_answer& answer, const claim_handler& done);
    [[nodiscard]] claim_refusal check_claim(const stored_object& object);
    void write_claim(std::uint64_t revision, const claim_handler& done);
    void on_written(const store_answer& answer, const claim_handler& done);
    void read_back(const claim_handler& done);
    [[nodiscard]] bool is_own_claim(const stored_object& object) const;
    void grant(std::uint64_t revision, const claim_handler& done);

    store_port& store_;
    logger& log_;
    duty_lease_settings settings_;
    std::string holder_;
    std::string incarnation_;
    std::optional<observation> other_claim_;
    std::string group_;
    /// Term that may be promoted under the claim.
    term_number term_ = 0;
    /// Terms by group, as the claimed object has them.
    nlohmann::json terms_ = nlohmann::json::object();
    /// Number of the claim within this process; tells claims apart when an answer is lost.
    std::uint64_t claim_number_ = 0;
    std::optional<time_point> sent_at_;
    bool held_ = false;
    /// Own claims wait until then after the duty was abandoned.
    std::optional<time_point> abandoned_until_;
    std::uint64_t token_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
