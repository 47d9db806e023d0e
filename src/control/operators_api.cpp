#include "control/operators_api.h"

#include "control/fleet_views.h"
#include "manifest/manifest.h"
#include "scheduler/reconfigure.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <charconv>
#include <optional>

namespace clementine::control {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr std::string_view base_version_header = "Clementine-Base-Version";
constexpr std::string_view request_id_header = "Clementine-Request-Id";
constexpr std::string_view version_query = "?version=";
constexpr std::string_view id_query = "?id=";

http_response json_response(http::status status, const json::value& body) {
    return make_response(status, json::serialize(body) + "\n", "application/json");
}

http_response error_response(http::status status, std::string_view reason) {
    return json_response(status, json::object{{"error", reason}});
}

json::array fault_list(const std::vector<ini_fault>& faults) {
    json::array out;
    for (const auto& fault : faults)
        out.push_back(
            json::object{{"line", fault.line}, {"key", fault.key}, {"reason", fault.reason}});
    return out;
}

http_response faults_response(const std::vector<ini_fault>& faults) {
    return json_response(http::status::unprocessable_entity,
                         json::object{{"errors", fault_list(faults)}});
}

http_response header_fault_response(std::string_view header, std::string reason) {
    return faults_response({{0, std::string(header), std::move(reason)}});
}

std::optional<std::uint64_t> parse_number(std::string_view text) {
    std::uint64_t out = 0;
    const auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), out);
    if (error != std::errc{} || stop != text.data() + text.size())
        return std::nullopt;
    return out;
}

// Request ids appear in logs and files, so only printable ASCII without spaces is allowed.
bool is_request_id(std::string_view text) {
    return !text.empty() && text.size() <= store::max_request_id_bytes &&
           std::ranges::all_of(text, [](char c) { return c > ' ' && c < 127; });
}

struct result_renderer {
    http_response operator()(const store::accepted& value) const {
        return json_response(http::status::ok, json::object{{"version", value.version}});
    }
    http_response operator()(const store::version_conflict& value) const {
        return json_response(
            http::status::conflict,
            json::object{{"version", value.version}, {"request_id", value.request_id}});
    }
    http_response operator()(const store::done&) const {
        return json_response(http::status::ok, json::object{});
    }
    http_response operator()(const store::request_id_reused&) const {
        return header_fault_response(request_id_header,
                                     "already used by a request with different content");
    }
    http_response operator()(const store::too_many_requests&) const {
        return error_response(http::status::service_unavailable, "too many changes in one day");
    }
    http_response operator()(const store::unknown_command&) const {
        return error_response(http::status::internal_server_error, "unknown command");
    }
};

http_response render_manifest(const store::state& state) {
    return json_response(http::status::ok, json::object{{"version", state.manifest.version},
                                                        {"request_id", state.manifest.request_id},
                                                        {"manifest", state.manifest.text}});
}

http_response render_history(const store::state& state) {
    json::array records;
    for (const auto& item : state.history)
        records.push_back(json::object{{"version", item.version},
                                       {"base_version", item.base_version},
                                       {"request_id", item.request_id},
                                       {"accepted_at_ms", item.accepted_at},
                                       {"bytes", item.bytes}});
    return json_response(http::status::ok, json::object{{"history", std::move(records)}});
}

http_response render_maintenance(const store::state& state) {
    json::object out{{"mode", to_name(state.maintenance.mode)},
                     {"request_id", state.maintenance.request_id},
                     {"changed_at_ms", state.maintenance.changed_at}};
    if (state.fleet)
        out["wave"] = render_waves(*state.fleet);
    return json_response(http::status::ok, std::move(out));
}

http_response check_manifest(const std::string& text) {
    const auto parsed = manifest::parse_manifest(text);
    if (!parsed.ok())
        return faults_response(parsed.faults);
    return json_response(http::status::ok, json::object{{"warnings", fault_list(parsed.warnings)}});
}

// Changes that the running fleet cannot apply. Skipped for a base version that is not current: a
// resent or conflicting request gets its own answer when it is proposed.
std::vector<ini_fault> unsupported_changes(const store::state& state,
                                           const store::set_manifest& change,
                                           const manifest::manifest& next) {
    std::vector<ini_fault> out;
    if (!state.fleet || change.base_version != state.manifest.version)
        return out;
    for (auto& reason : scheduler::unsupported_changes(*state.fleet, next))
        out.push_back({0, "", std::move(reason)});
    return out;
}

// Renders all items, or only the one with the given id or name.
http_response list_response(std::string_view name, json::array items, const std::string& id) {
    if (!id.empty()) {
        const auto is_other = [&id](const json::value& item) {
            const auto* given = item.as_object().if_contains("name");
            return item.at("id") != json::string(id) &&
                   (given == nullptr || *given != json::string(id));
        };
        items.erase(std::remove_if(items.begin(), items.end(), is_other), items.end());
        if (items.empty())
            return error_response(http::status::not_found, "no such id in " + std::string(name));
    }
    return json_response(http::status::ok, json::object{{name, std::move(items)}});
}

constexpr std::string_view explain_prefix = "/v1/explain/";

// True for paths whose content comes from the scheduler.
bool needs_scheduler(std::string_view path) {
    return path == "/v1/vms" || path == "/v1/pools" || path == "/v1/jobs" ||
           path.starts_with(explain_prefix);
}

http_response method_not_allowed(std::string_view allowed) {
    auto out = error_response(http::status::method_not_allowed, "method not allowed");
    out.set(http::field::allow, allowed);
    return out;
}

} // namespace

operators_api::operators_api(std::string node, replica_host& host,
                             const dissemination& manifest_dissemination,
                             std::function<std::string(const std::string&)> operators_address)
    : node_(std::move(node)), host_(host), dissemination_(manifest_dissemination),
      operators_address_(std::move(operators_address)) {}

void operators_api::handle(const http_request& request, const http_respond& respond) {
    const std::string target(request.target());
    const auto path = target.substr(0, target.find('?'));
    const bool is_get = request.method() == http::verb::get || request.method() == http::verb::head;
    const bool is_post = request.method() == http::verb::post;
    if (path == "/v1/manifest" && is_post)
        return apply_manifest(request, respond);
    if (path == "/v1/manifest/check")
        return respond(is_post ? check_manifest(request.body()) : method_not_allowed("POST"));
    if (path == "/v1/maintenance/start" || path == "/v1/maintenance/pause") {
        if (!is_post)
            return respond(method_not_allowed("POST"));
        return set_maintenance(path.ends_with("start") ? store::maintenance_mode::running
                                                       : store::maintenance_mode::paused,
                               request, respond);
    }
    const bool known = path == "/v1/manifest" || path == "/v1/status" || path == "/v1/history" ||
                       path == "/v1/maintenance" || needs_scheduler(path);
    if (!known)
        return respond(error_response(http::status::not_found, "unknown path"));
    if (!is_get)
        return respond(method_not_allowed(path == "/v1/manifest" ? "GET, POST" : "GET"));
    if (needs_scheduler(path))
        return read_fleet(path, target, respond);
    if (path == "/v1/manifest")
        return read(target, respond, render_manifest);
    if (path == "/v1/history")
        return read(target, respond, render_history);
    if (path == "/v1/maintenance")
        return read(target, respond, render_maintenance);
    read(target, respond,
         [this, target](const store::state& state) { return render_status(state, target); });
}

void operators_api::apply_manifest(const http_request& request, const http_respond& respond) {
    const auto base = parse_number(request[base_version_header]);
    if (!base)
        return respond(
            header_fault_response(base_version_header, "missing, or not a whole number"));
    const std::string id(request[request_id_header]);
    if (!is_request_id(id))
        return respond(header_fault_response(
            request_id_header, "missing, too long, or not printable ASCII without spaces"));
    if (request.body().size() > store::max_manifest_bytes)
        return respond(error_response(http::status::payload_too_large, "manifest too long"));
    const auto parsed = manifest::parse_manifest(request.body());
    if (!parsed.ok())
        return respond(faults_response(parsed.faults));
    const std::string target(request.target());
    auto change = store::set_manifest{id, *base, request.body(), wall_clock_ms()};
    host_.read([this, target, respond, change = std::move(change),
                next = parsed.value](const store::state* state, host_refusal reason) mutable {
        if (state == nullptr)
            return respond(refusal_response(reason, target));
        const auto faults = unsupported_changes(*state, change, next);
        if (!faults.empty())
            return respond(faults_response(faults));
        propose(std::move(change), target, respond);
    });
}

void operators_api::set_maintenance(store::maintenance_mode mode, const http_request& request,
                                    const http_respond& respond) {
    const std::string id(request[request_id_header]);
    if (!is_request_id(id))
        return respond(header_fault_response(
            request_id_header, "missing, too long, or not printable ASCII without spaces"));
    propose(store::set_maintenance{id, mode, wall_clock_ms()}, std::string(request.target()),
            respond);
}

void operators_api::propose(store::command change, const std::string& target,
                            const http_respond& respond) {
    host_.propose(std::move(change), [this, target, respond](const propose_outcome& outcome) {
        if (const auto* reason = std::get_if<host_refusal>(&outcome))
            return respond(refusal_response(*reason, target));
        respond(std::visit(result_renderer{}, std::get<store::apply_result>(outcome)));
    });
}

void operators_api::read(const std::string& target, const http_respond& respond,
                         std::function<http_response(const store::state&)> render) {
    host_.read([this, target, respond, render = std::move(render)](const store::state* state,
                                                                   host_refusal reason) {
        respond(state == nullptr ? refusal_response(reason, target) : render(*state));
    });
}

void operators_api::read_fleet(const std::string& path, const std::string& target,
                               const http_respond& respond) {
    const auto query = target.find(id_query);
    const auto id = query == std::string::npos ? "" : target.substr(query + id_query.size());
    read(target, respond,
         [this, path, id](const store::state& state) { return render_fleet(state, path, id); });
}

http_response operators_api::render_fleet(const store::state& state, const std::string& path,
                                          const std::string& id) const {
    if (!state.fleet)
        return error_response(http::status::not_found, "no manifest has been accepted yet");
    if (path == "/v1/vms")
        return list_response("vms", render_vms(*state.fleet), id);
    if (path == "/v1/pools")
        return list_response("pools", render_pools(*state.fleet), id);
    if (path == "/v1/jobs")
        return list_response("jobs", render_jobs(*state.fleet), id);
    const auto rest = std::string_view(path).substr(explain_prefix.size());
    const auto slash = rest.find('/');
    if (slash == std::string_view::npos)
        return error_response(http::status::not_found, "expected /v1/explain/KIND/ID");
    return explain(state, rest.substr(0, slash), rest.substr(slash + 1));
}

http_response operators_api::explain(const store::state& state, std::string_view kind,
                                     std::string_view name) const {
    if (decision_loop_ == nullptr)
        return error_response(http::status::not_implemented,
                              "scheduling is disabled: the settings contain no platform");
    std::optional<std::string> reason;
    if (kind == "vm") {
        if (const auto vm = find_vm(*state.fleet, name))
            reason = decision_loop_->explain_vm(state, *vm);
    } else if (kind == "pool") {
        if (const auto pool = find_pool(*state.fleet, name))
            reason = decision_loop_->explain_pool(state, *pool);
    } else if (kind == "job") {
        if (const auto job = find_job(*state.fleet, name))
            reason = decision_loop_->explain_job(state, *job);
    }
    if (!reason)
        return error_response(http::status::not_found, "no such vm, pool or job");
    return json_response(http::status::ok,
                         json::object{{"kind", kind}, {"id", name}, {"reason", *reason}});
}

// A redirect to this node would loop, so a leader without its lease answers "no leader".
http_response operators_api::refusal_response(host_refusal reason,
                                              const std::string& target) const {
    const auto leader = host_.status().leader;
    if (reason == host_refusal::not_leader && !leader.empty() && leader != node_) {
        const auto address = operators_address_(leader);
        if (!address.empty()) {
            auto out = error_response(http::status::temporary_redirect, "not the leader");
            out.set(http::field::location, "http://" + address + target);
            return out;
        }
    }
    auto out = error_response(http::status::service_unavailable, reason == host_refusal::not_leader
                                                                     ? std::string_view("no leader")
                                                                     : to_name(reason));
    out.set(http::field::retry_after, "1");
    return out;
}

// "?version=N" selects the version whose progress is reported; the default is the accepted one.
http_response operators_api::render_status(const store::state& state,
                                           const std::string& target) const {
    const auto status = host_.status();
    const auto query = target.find(version_query);
    const auto version = query == std::string::npos
                             ? std::optional<std::uint64_t>(state.manifest.version)
                             : parse_number(target.substr(query + version_query.size()));
    if (!version)
        return error_response(http::status::bad_request, "version is not a whole number");
    const auto in_force = dissemination_.report_in_force(*version);
    json::array missing;
    for (const auto& name : in_force.missing)
        missing.emplace_back(name);
    json::array replicas;
    for (const auto& member : status.members) {
        const auto it =
            std::ranges::find(status.progress, member.id, &consensus::member_progress::id);
        const bool self = member.id == status.id;
        replicas.push_back(
            json::object{{"node", member.node},
                         {"id", member.id},
                         {"voter", member.voter},
                         {"active", self || (it != status.progress.end() && it->active)}});
    }
    return json_response(http::status::ok,
                         json::object{{"leader", node_},
                                      {"term", status.term},
                                      {"accepted", state.manifest.version},
                                      {"request_id", state.manifest.request_id},
                                      {"in_force", json::object{{"version", *version},
                                                                {"nodes", in_force.nodes_in_force},
                                                                {"of", in_force.known_nodes},
                                                                {"missing", std::move(missing)}}},
                                      {"replicas", std::move(replicas)},
                                      {"maintenance", to_name(state.maintenance.mode)}});
}

} // namespace clementine::control
