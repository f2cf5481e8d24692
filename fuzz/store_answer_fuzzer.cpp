#include "platform/entries.h"
#include "platform/http_store.h"

#include <cstddef>
#include <cstdint>
#include <string>

using namespace gentianhill;
using namespace gentianhill::platform;

// Answers of the store, and the entries and configurations in them, from any writer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string body(reinterpret_cast<const char*>(data), size);
    for (const int status : {200, 409}) {
        const store_answer answer = parse_store_response(status, body);
        for (const stored_object& object : answer.items) {
            error instance_reason;
            static_cast<void>(parse_instance(object, instance_reason));
            error configuration_reason;
            static_cast<void>(parse_configuration(object, configuration_reason));
        }
    }
    return 0;
}
