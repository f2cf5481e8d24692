#include "gentianhill/proxy/term_record.h"

#include <fmt/format.h>

#include <utility>

namespace gentianhill {

term_record::term_record(metadata_store& store, const collection_replica& replica, const duty_lease& lease,
                         logger& log, std::string group)
    : store_(store), replica_(replica), lease_(lease), log_(log), group_(std::move(group)) {}

std::string term_record::object_name(std::uint64_t era) const {
    return fmt::format("era-{}-term-{}", era, group_);
}

std::optional<term_number> term_record::recorded() const {
    const auto found = replica_.objects().find(object_name(lease_.era()));
    if (found == replica_.objects().end()) {
        return std::nullopt;
    }
    const nlohmann::json& content = found->second.content;
    const nlohmann::json::const_iterator term =
        content.is_object() ? content.find("term") : nlohmann::json::const_iterator{};
    return content.is_object() && term != content.end() && term->is_number_unsigned()
               ? std::optional(term->get<term_number>())
               : std::nullopt;
}

void term_record::write(term_number term) {
    stored_object object;
    object.name = object_name(lease_.era());
    object.content = {{"term", term}};
    store_.put(
        store_collection::duties, object,
        [&log = log_, group = group_, term, era = lease_.era()](const store_answer& answer) {
            log.write(
                log_level::info, "failover", "term_recorded",
                {{"group", group}, {"term", term}, {"era", era}, {"outcome", to_string(answer.outcome)}});
        });
}

} // namespace gentianhill
