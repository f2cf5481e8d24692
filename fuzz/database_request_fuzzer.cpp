#include "gentianhill/core/object_reader.h"
#include "standins/database/database_faults.h"
#include "standins/database/database_requests.h"
#include "standins/database/sql_engine.h"

#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string_view>

using namespace gentianhill;
using namespace gentianhill::standins;

namespace {

void require(bool condition) {
    if (!condition) {
        std::abort();
    }
}

/// A reader gives a result or a reason that names a field, never both or neither.
template <typename result>
void check(const std::optional<result>& read, const error& reason) {
    require(read.has_value() == !reason.failed());
    require(read.has_value() || !reason.field.empty());
}

template <typename result>
void read_with(std::optional<result> (*reader)(const request_envelope&, error&),
               const request_envelope& envelope) {
    error reason;
    const std::optional<result> read = reader(envelope, reason);
    check(read, reason);
}

/// A failed batch must leave no transaction open.
void run_statements(const request_envelope& envelope) {
    error reason;
    const std::optional<execute_request> request = read_execute(envelope, reason);
    if (!request) {
        return;
    }
    sql_engine engine;
    const batch_mode mode = request->read_only ? batch_mode::read_only : batch_mode::read_write;
    const std::optional<std::vector<statement_result>> results =
        engine.run_batch(request->statements, mode, reason);
    check(results, reason);
    require(!engine.in_transaction());
}

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text{reinterpret_cast<const char*>(data), size};
    error reason;
    const std::optional<request_envelope> envelope = read_envelope(text, reason);
    check(envelope, reason);
    if (envelope) {
        read_with(&read_status, *envelope);
        read_with(&read_term, *envelope);
        read_with(&read_promote, *envelope);
        read_with(&read_follow, *envelope);
        read_with(&read_replicate, *envelope);
        run_statements(*envelope);
    }
    error control_reason;
    database_faults faults;
    require(faults.update(text, control_reason) == !control_reason.failed());
    return 0;
}
