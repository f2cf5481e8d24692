#include "gentianhill/core/object_reader.h"
#include "gentianhill/metadata/collection_replica.h"
#include "gentianhill/relay/relay_messages.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

using namespace gentianhill;

// Messages of other daemons; a valid state is also applied.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    error reason;
    const std::optional<nlohmann::json> message = parse_json(text, 1U << 20U, reason);
    if (!message) {
        return 0;
    }
    error refused;
    static_cast<void>(state_request::from_json(*message, refused));
    error refused_request;
    static_cast<void>(evidence_request::from_json(*message, refused_request));
    error refused_evidence;
    static_cast<void>(evidence_answer::from_json(*message, refused_evidence));
    error refused_state;
    const std::optional<state_answer> answer = state_answer::from_json(*message, refused_state);
    if (!answer) {
        return 0;
    }
    for (const auto& [collection, update] : answer->updates) {
        collection_replica replica;
        replica.replace(update.objects, {update.version.era, update.from.value_or(0)});
        replica.apply({update.version.era, update.from.value_or(0)}, update.events, update.version.revision);
        static_cast<void>(replica.changes_since(update.version));
    }
    return 0;
}
