#pragma once

#include "gentianhill/consistency/log_position.h"
#include "gentianhill/core/logger.h"
#include "gentianhill/core/time.h"
#include "gentianhill/failover/observed_era.h"
#include "gentianhill/metadata/metadata_store.h"
#include "gentianhill/metadata/store_version.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace gentianhill {

/// Timing of the lease on the failover duty.
struct duty_lease_settings {
    /// Validity of a claim for its holder, counted from when the claim was sent. A promotion calls the
    /// platform about 0.6 s after its claim.
    duration tenure = std::chrono::milliseconds(2000);
    /// Time after which a claim that was not released may be taken over, counted from when this process first
    /// read it. Exceeds `tenure` by more than a call to the platform can be in flight (0.8 s) plus the time
    /// it needs to take effect (0.6 s), so that no call of the previous holder takes effect under the next
    /// one.
    duration takeover_after = std::chrono::milliseconds(4000);
    /// Minimum time between the end of one holder's claim and the claim of another; zero if the platform
    /// requires none.
    duration turn_spacing{0};
};

/// Reason why a claim was not granted.
enum class claim_refusal : std::uint8_t { none, held_by_other, lost_race, store_unreachable, spacing };

/// Returns the name of a refusal as it appears in logs.
[[nodiscard]] std::string_view to_string(claim_refusal reason);

/// Lease on the duty of promoting instances, shared by all daemons.
///
/// The lease is one object of the metadata store. It is claimed by a conditional write only when a promotion
/// is needed, and released afterwards. The fencing token is made of the store's era and the revision of the
/// claim, so it increases monotonically, even if the object is deleted or the store restored in between.
///
/// Each era of the store has an object of its own, so that a delayed write of an earlier era cannot replace a
/// claim whose revision the restored store has given out again. The first claim in an era waits until claims
/// of earlier eras, which the restore may have removed, are over.
class duty_lease {
public:
    using claim_handler = std::function<void(std::optional<std::uint64_t> token, claim_refusal reason)>;

    /// `store` and `log` must outlive the lease. `holder` is the daemon's name; `incarnation` distinguishes
    /// successive processes of the same daemon.
    duty_lease(metadata_store& store, logger& log, const duty_lease_settings& settings, std::string holder,
               std::string incarnation);

    /// Clock that keeps running while the host is suspended.
    std::function<time_point()> now;

    /// Term of a group that led it in the present era of the store once promotions of earlier eras were over;
    /// nothing if that is not known. May be empty.
    std::function<std::optional<term_number>(const std::string& group)> find_base_term;

    /// Claims the duty in order to promote an instance of `group` to `term`. `done` receives the fencing
    /// token, or the reason for the refusal.
    void claim(const std::string& group, term_number term, claim_handler done);
    /// True while the claim is valid. Must be checked immediately before each action. A restore of the store
    /// does not end the tenure, because other daemons wait for its end before the first claim in a new era.
    [[nodiscard]] bool is_held() const;
    /// Fencing token of the most recent granted claim.
    [[nodiscard]] std::uint64_t token() const { return token_; }
    /// Releases the duty, so that others need not wait for a takeover. `promoted_term` is the term known to
    /// lead the group now; without it the recorded term is restored to its value before the claim.
    void release(std::optional<term_number> promoted_term);
    /// Stops acting without releasing the duty, because requests sent under it may still be in flight. Every
    /// daemon, including this one, has to wait for `takeover_after` before it can claim the duty again.
    /// Unless a promotion `may_take_effect`, the recorded term is restored to its value before the claim.
    void abandon(bool may_take_effect);
    /// Repeats the write that ends a claim until the store has answered it; call it regularly.
    void tick();
    /// Reads from the store the highest term of `group` that any holder of the duty has promoted or may have
    /// promoted: 0 if there is none, no value if the store does not answer. In an era above 0 a restore may
    /// have removed earlier terms, so there is no value without a base term or a promotion of
    /// the present era.
    void read_promoted_term(const std::string& group, std::function<void(std::optional<term_number>)> done);
    /// Records that a state of the store relayed by another daemon is of `era`.
    void observe_era(std::uint64_t era);
    /// Newest era of the store that this process knows of; 0 while there is none.
    [[nodiscard]] std::uint64_t era() const { return era_.number(); }
    /// Time since which this process knows of that era.
    [[nodiscard]] time_point era_since() const { return era_.since(); }
    /// Time by which claims of earlier eras, and calls made under them, are over. Requires an era above 0.
    [[nodiscard]] time_point earlier_claims_end() const { return era_.since() + settings_.takeover_after; }

private:
    /// Version of another holder's claim and when this process first read it.
    struct observation {
        store_version version;
        time_point first_seen;
    };

    void on_duty_read(const store_answer& answer, const claim_handler& done);
    [[nodiscard]] claim_refusal check_claim(const stored_object& object);
    void write_claim(std::uint64_t revision, const claim_handler& done);
    void on_written(const store_answer& answer, const claim_handler& done);
    void read_back(const claim_handler& done);
    [[nodiscard]] bool is_own_claim(const stored_object& object) const;
    /// Writes how the claim has ended, unless another holder has replaced it.
    void write_end(bool is_active);
    void send_end();
    void grant(std::uint64_t revision, const claim_handler& done);
    /// Term of `group` in an answer to a read of the object of `era`.
    std::optional<term_number> promoted_term(const store_answer& answer, std::uint64_t era,
                                             const std::string& group);
    /// Records the era of an answer to a call that was sent when the known era was `era`; true if it is the
    /// same, so that the answer speaks about the object of that era.
    bool is_of_era(const store_answer& answer, std::uint64_t era);

    metadata_store& store_;
    logger& log_;
    duty_lease_settings settings_;
    std::string holder_;
    std::string incarnation_;
    observed_era era_;
    std::optional<observation> other_claim_;
    std::string group_;
    /// Term to which an instance of `group_` may be promoted under the claim.
    term_number term_ = 0;
    /// Recorded terms by group, as read before the claim.
    nlohmann::json terms_ = nlohmann::json::object();
    /// Sequence number of the claim within this process; identifies it when the answer to a write is lost.
    std::uint64_t claim_number_ = 0;
    std::optional<time_point> sent_at_;
    bool held_ = false;
    /// Object that ends the most recent claim, until the store has answered its write.
    std::optional<stored_object> unwritten_end_;
    bool is_writing_end_ = false;
    time_point next_end_write_at_;
    /// After `abandon`, this process makes no claim before this time.
    std::optional<time_point> abandoned_until_;
    /// Era in which the current or most recent claim was decided.
    std::uint64_t claim_era_ = 0;
    /// Revision of the most recent granted claim.
    std::uint64_t claim_revision_ = 0;
    std::uint64_t token_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
