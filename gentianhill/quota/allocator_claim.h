#pragma once

#include "gentianhill/core/logger.h"
#include "gentianhill/core/time.h"
#include "gentianhill/metadata/metadata_store.h"
#include "gentianhill/metadata/store_version.h"
#include "gentianhill/quota/quota_settings.h"
#include "gentianhill/quota/share_ledger.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace gentianhill {

/// Claim to allocate the shares of teams: one object of the metadata store, written under the condition of
/// its revision. It is renewed while it is held, and its holder may act only for `claim_tenure` after the
/// moment at which it sent the last write that the store confirmed. Another daemon takes over when the object
/// has not changed for that long since it read it, or when the holder has said that it will not act any more.
///
/// The object also lists the processes that may hold shares, so that the next allocator knows whom to ask.
/// Each era of the store has an object of its own.
class allocator_claim {
public:
    /// `store` and `log` must outlive the claim.
    allocator_claim(metadata_store& store, logger& log, const quota_settings& settings, std::string name,
                    std::string incarnation);

    /// Clock that also advances while the host is suspended; must be set.
    std::function<time_point()> now;
    /// Processes that may hold shares, and whether there can be no others; must be set.
    std::function<std::set<share_holder>()> holders;
    std::function<bool()> is_complete;
    /// Called when a new claim has been confirmed, with what the object listed before.
    std::function<void(const std::set<share_holder>& former_holders, bool is_complete)> on_granted;
    /// Called while another daemon holds the claim, to ask it whether it still allocates.
    std::function<void(const std::string& holder, std::uint64_t claim)> ask_holder;

    /// Tries to get the claim, since somebody needs an allocator and finds none.
    void want();
    /// Renews the claim, or tries to get it when it is wanted; call it periodically.
    void tick();
    /// Writes the list of holders soon, since one has to be added.
    void update_holders() { must_write_ = true; }
    /// True when a holder is in the list that the store has confirmed.
    [[nodiscard]] bool is_recorded(const share_holder& holder) const { return recorded_.count(holder) > 0; }
    /// The holder of a claim has said that it will not act under it any more.
    void on_holder_ended(const std::string& holder, std::uint64_t claim);
    /// The holder of the claim still allocates.
    void on_holder_alive();
    /// Answers whether this daemon acts under `claim`. If it does not, it never will.
    [[nodiscard]] bool answer_awaiting(std::uint64_t claim);
    /// Ends the claim of this daemon, if it has one; it wants none any more.
    void end();

    /// True while shares may be leased. Must be checked immediately before each answer.
    [[nodiscard]] bool may_act() const;
    /// True when the store has not confirmed the claim for longer than usual, so that it may soon end.
    [[nodiscard]] bool is_at_risk() const;
    /// Ends a claim that the store has not confirmed in time, so that another daemon may take over at once.
    void end_if_lapsed();
    /// False while the store does not answer this daemon.
    [[nodiscard]] bool is_store_reachable() const { return is_store_reachable_; }
    /// Claim under which shares are leased.
    [[nodiscard]] std::uint64_t number() const { return own_ ? own_->number : 0; }
    /// Daemon that holds the claim, as far as known.
    [[nodiscard]] std::optional<std::string> holder() const;

private:
    /// Claim of another process, or of a former one of this daemon, as the store has stated it.
    struct observed_claim {
        store_version version;
        std::string holder;
        std::string incarnation;
        std::uint64_t number = 0;
        std::set<share_holder> holders;
        bool is_complete = true;
        /// First time at which this process saw this version.
        time_point since;
    };
    struct own_claim {
        std::uint64_t number = 0;
        std::uint64_t era = 0;
        std::uint64_t revision = 0;
        std::set<share_holder> former_holders;
        bool former_is_complete = true;
        /// Time at which the last confirmed write was sent.
        std::optional<time_point> confirmed_at;
    };

    void read();
    void on_read(const store_answer& answer);
    void observe(const std::optional<stored_object>& object, std::uint64_t era);
    [[nodiscard]] bool has_ended() const;
    [[nodiscard]] bool is_free() const;
    void begin_claim();
    void write();
    void on_written(const store_answer& answer, time_point sent_at, std::uint64_t claim,
                    const std::set<share_holder>& written);
    void lose(std::string_view reason);
    [[nodiscard]] std::string object_name(std::uint64_t era) const;
    [[nodiscard]] nlohmann::json content(const std::set<share_holder>& listed) const;

    metadata_store& store_;
    logger& log_;
    quota_settings settings_;
    std::string name_;
    std::string incarnation_;
    std::uint64_t era_ = 0;
    std::optional<observed_claim> observed_;
    std::optional<own_claim> own_;
    /// Claim of another daemon that has ended, by its own word.
    std::string ended_holder_;
    std::uint64_t ended_number_ = 0;
    /// Highest number that this process has claimed, or will never act under.
    std::uint64_t last_own_number_ = 0;
    std::set<share_holder> recorded_;
    std::optional<time_point> wanted_until_;
    time_point next_call_;
    time_point next_question_;
    bool is_calling_ = false;
    bool must_write_ = false;
    bool is_store_reachable_ = true;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace gentianhill
