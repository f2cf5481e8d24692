#include "gentianhill/proxy/caller_refusal.h"

namespace gentianhill {

statement_outcome caller_refusal(caller_verdict verdict, bool in_transaction) {
    if (verdict == caller_verdict::denied) {
        return statement_outcome::denied;
    }
    // The client may try another daemon, which may know more.
    return in_transaction ? statement_outcome::aborted : statement_outcome::busy;
}

std::string_view caller_detail(caller_verdict verdict) {
    return verdict == caller_verdict::denied ? "no team holds the key"
                                             : "not known whether the key is still valid";
}

} // namespace gentianhill
