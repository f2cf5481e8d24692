#include "gentianhill/tickets/ticket_compaction.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace gentianhill {

std::vector<ticket_number> compactable_tickets(const std::vector<ticket>& accepted, std::size_t keep_latest) {
    // Highest ticket of each subject.
    std::map<std::string, ticket_number> highest;
    std::vector<ticket_number> numbers;
    for (const ticket& item : accepted) {
        numbers.push_back(item.number);
        for (const std::pair<const std::string, ticket_subject>& subject : item.subjects) {
            ticket_number& number = highest[subject.first];
            number = std::max(number, item.number);
        }
    }
    std::sort(numbers.begin(), numbers.end());
    const std::size_t deletable = numbers.size() > keep_latest ? numbers.size() - keep_latest : 0;
    // Tickets below that which set no subject in effect.
    std::vector<ticket_number> result;
    for (const ticket& item : accepted) {
        const bool in_effect =
            std::any_of(item.subjects.begin(), item.subjects.end(),
                        [&highest, &item](const std::pair<const std::string, ticket_subject>& subject) {
                            return highest.at(subject.first) == item.number;
                        });
        const bool is_old = deletable > 0 && item.number <= numbers[deletable - 1];
        if (!in_effect && is_old) {
            result.push_back(item.number);
        }
    }
    std::sort(result.begin(), result.end());
    return result;
}

} // namespace gentianhill
