#pragma once

#include "event_poll.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace review {

/// A way from one daemon to a port of 127.0.0.1 that can be cut. While it is cut, bytes are held up, as a
/// partition does; they arrive when it heals, unless their sender has reset the connection or has ended.
class cut_link {
public:
    /// The loop must outlive the link.
    cut_link(event_poll& loop, std::uint16_t target);
    cut_link(const cut_link&) = delete;
    cut_link& operator=(const cut_link&) = delete;

    [[nodiscard]] std::uint16_t port() const { return port_; }
    void cut() { is_cut_ = true; }
    void heal();
    /// True while bytes of the daemon are held up.
    [[nodiscard]] bool holds_bytes() const;

private:
    struct passage {
        std::shared_ptr<channel> daemon;
        std::shared_ptr<channel> target;
    };
    void pass_on(std::uint64_t number);

    event_poll& loop_;
    std::uint16_t target_;
    std::uint16_t port_ = 0;
    bool is_cut_ = false;
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, passage> passages_;
};

} // namespace review
