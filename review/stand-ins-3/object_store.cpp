#include "object_store.h"

#include <algorithm>
#include <cstdlib>

namespace review {

namespace {

constexpr int done = 200;
constexpr int missing = 404;
constexpr int conflict = 409;
constexpr int gone = 410;

std::uint64_t number_in(const std::map<std::string, std::string>& query, const std::string& name) {
    const auto found = query.find(name);
    return found == query.end() ? 0 : std::strtoull(found->second.c_str(), nullptr, 10);
}

} // namespace

object_store::object_store(event_poll& loop) : loop_(loop), server_(loop, 0) {
    server_.on_request = [this](const http_request& request, const http_server::responder& respond) {
        handle(request, respond);
    };
}

void object_store::record(const std::string& kind, const nlohmann::json& object, bool deleted) {
    history_.push_back({kind, revision_, {{"Object", object}, {"Deleted", deleted}}});
    std::list<waiting> open;
    open.swap(watches_);
    for (waiting& each : open) {
        const nlohmann::json events = events_after(each.kind, each.revision);
        if (events.empty()) {
            watches_.push_back(std::move(each));
        } else {
            each.respond(done, nlohmann::json{{"events", events}, {"StoreRevision", revision_}}.dump());
        }
    }
}

void object_store::write(const std::string& kind, const std::string& name, const nlohmann::json& spec) {
    const auto present = objects_.find({kind, name});
    if (present != objects_.end() && present->second.at("spec") == spec) {
        return;
    }
    ++revision_;
    const std::uint64_t created = present == objects_.end()
                                      ? revision_
                                      : present->second.at("meta").at("CreatedRev").get<std::uint64_t>();
    const nlohmann::json object = {
        {"meta", {{"Name", name}, {"Revision", revision_}, {"CreatedRev", created}}}, {"spec", spec}};
    objects_[{kind, name}] = object;
    record(kind, object, false);
}

void object_store::remove(const std::string& kind, const std::string& name) {
    const auto present = objects_.find({kind, name});
    if (present == objects_.end()) {
        return;
    }
    nlohmann::json object = present->second;
    objects_.erase(present);
    object["meta"]["Revision"] = ++revision_;
    record(kind, object, true);
}

nlohmann::json object_store::events_after(const std::string& kind, std::uint64_t revision) const {
    nlohmann::json events = nlohmann::json::array();
    for (const change& entry : history_) {
        if (entry.kind == kind && entry.revision > revision) {
            events.push_back(entry.event);
        }
    }
    return events;
}

void object_store::handle(const http_request& request, const http_server::responder& respond) {
    const std::string prefix = "/objects/";
    if (request.path.rfind(prefix, 0) != 0) {
        respond(missing, "{}");
        return;
    }
    const std::string rest = request.path.substr(prefix.size());
    const std::size_t slash = rest.find('/');
    const std::string kind = rest.substr(0, slash);
    const std::string name = slash == std::string::npos ? "" : rest.substr(slash + 1);
    if (request.method == "POST" || request.method == "PUT") {
        put(request, {kind, name}, respond);
    } else if (request.method == "DELETE") {
        take_out(request, {kind, name}, respond);
    } else if (!name.empty()) {
        const auto found = objects_.find({kind, name});
        respond(found == objects_.end() ? missing : done,
                found == objects_.end() ? "{}" : found->second.dump());
    } else if (request.query.count("Watch") > 0) {
        watch(request, kind, respond);
    } else {
        list(request, kind, respond);
    }
}

void object_store::put(const http_request& request, const key& target,
                       const http_server::responder& respond) {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    const std::string name = body.at("meta").at("Name");
    const auto present = objects_.find({target.first, name});
    if (request.method == "POST") {
        if (present != objects_.end()) {
            respond(conflict, present->second.dump());
            return;
        }
    } else if (present == objects_.end()) {
        respond(missing, "{}");
        return;
    } else if (body.at("meta").contains("Revision") &&
               body.at("meta").at("Revision") != present->second.at("meta").at("Revision")) {
        respond(conflict, present->second.dump());
        return;
    }
    write(target.first, name, body.at("spec"));
    if (on_write) {
        on_write(target.first, name, body.at("spec"));
    }
    respond(done, objects_.at({target.first, name}).dump());
}

void object_store::take_out(const http_request& request, const key& target,
                            const http_server::responder& respond) {
    const auto present = objects_.find(target);
    if (present == objects_.end()) {
        respond(missing, "{}");
        return;
    }
    const std::uint64_t expected = number_in(request.query, "Revision");
    if (expected != 0 && present->second.at("meta").at("Revision") != expected) {
        respond(conflict, present->second.dump());
        return;
    }
    remove(target.first, target.second);
    respond(done, "{}");
}

void object_store::list(const http_request& request, const std::string& kind,
                        const http_server::responder& respond) {
    nlohmann::json items = nlohmann::json::array();
    const auto after = request.query.find("after");
    for (const auto& [object_key, object] : objects_) {
        if (object_key.first == kind && (after == request.query.end() || object_key.second > after->second)) {
            items.push_back(object);
        }
    }
    respond(done, nlohmann::json{{"items", items}, {"HasMore", false}, {"StoreRevision", revision_}}.dump());
}

void object_store::watch(const http_request& request, const std::string& kind,
                         const http_server::responder& respond) {
    const std::uint64_t from = number_in(request.query, "Watch");
    if (from > revision_) {
        respond(gone, "{}");
        return;
    }
    const nlohmann::json events = events_after(kind, from);
    if (!events.empty()) {
        respond(done, nlohmann::json{{"events", events}, {"StoreRevision", revision_}}.dump());
        return;
    }
    const std::uint64_t number = ++last_watch_;
    watches_.push_back({number, kind, from, respond});
    loop_.call_after(milliseconds(number_in(request.query, "WaitMs")), [this, number] {
        const auto found = std::find_if(watches_.begin(), watches_.end(),
                                        [number](const waiting& each) { return each.number == number; });
        if (found != watches_.end()) {
            const waiting ended = *found;
            watches_.erase(found);
            const nlohmann::json none = nlohmann::json::array();
            ended.respond(done, nlohmann::json{{"events", none}, {"StoreRevision", revision_}}.dump());
        }
    });
}

} // namespace review
