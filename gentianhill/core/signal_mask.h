#pragma once

namespace gentianhill {

/// Blocks a signal in the calling thread: it stays pending until unblock_signal(). Used from the start of a
/// process until the handler of the signal is installed, since its default action may end the process.
void block_signal(int signal_number);
/// Unblocks a signal, also one that was blocked before the process started; a pending one is delivered.
void unblock_signal(int signal_number);

} // namespace gentianhill
