#include "gentianhill/core/signal_mask.h"

#include <csignal>

namespace gentianhill {

namespace {

void change_mask(int how, int signal_number) {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, signal_number);
    sigprocmask(how, &signals, nullptr);
}

} // namespace

void block_signal(int signal_number) {
    change_mask(SIG_BLOCK, signal_number);
}

void unblock_signal(int signal_number) {
    change_mask(SIG_UNBLOCK, signal_number);
}

} // namespace gentianhill
