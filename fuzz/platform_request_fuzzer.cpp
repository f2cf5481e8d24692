#include "standins/platform/platform_requests.h"

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>

using namespace gentianhill;
using namespace gentianhill::standins;

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

void read_path(const std::string& path) {
    error reason;
    const std::optional<request_target> target = read_target(path, reason);
    require(target.has_value() == !reason.failed());
    if (!target) {
        return;
    }
    static_cast<void>(query_number(*target, "after", 1000, reason));
    error key_reason;
    require(is_valid_key(target->path, key_reason) == !key_reason.failed());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    read_path(std::string{text});
    error put_reason;
    require(read_put(text, put_reason).has_value() == !put_reason.failed());
    error hosts_reason;
    require(read_hosts(text, hosts_reason).has_value() == !hosts_reason.failed());
    return 0;
}
