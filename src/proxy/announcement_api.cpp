#include "proxy/announcement_api.h"

#include <boost/asio/ip/address.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <array>
#include <cctype>

namespace clementine::proxy {

namespace json = boost::json;

namespace {

constexpr std::string_view path_prefix = "/v1/backend-servers/";
constexpr std::size_t max_id_length = 128;
constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_slots = 100'000;

constexpr std::array<std::string_view, 9> known_fields{
    "service",           "address",  "port", "slots", "connections",
    "availability_zone", "instance", "busy", "token"};

// Reads the fields of an announcement and records the first error.
class announcement_reader {
  public:
    announcement_reader(const json::object& object, std::string& reason)
        : object_(object), reason_(reason) {}

    std::string text(std::string_view key, bool required) {
        const auto* value = object_.if_contains(key);
        if (value == nullptr) {
            if (required)
                fail(key, "missing");
            return {};
        }
        const auto* string = value->if_string();
        if (string == nullptr || string->size() > max_announcement_text ||
            (required && string->empty())) {
            fail(key, "not a string of 1 to 256 bytes");
            return {};
        }
        return std::string(*string);
    }

    std::optional<int> number(std::string_view key, std::int64_t low, std::int64_t high) {
        const auto* value = object_.if_contains(key);
        if (value == nullptr)
            return std::nullopt;
        const auto* number = value->if_int64();
        if (number == nullptr || *number < low || *number > high) {
            fail(key,
                 "not a whole number from " + std::to_string(low) + " to " + std::to_string(high));
            return std::nullopt;
        }
        return static_cast<int>(*number);
    }

    int required_number(std::string_view key, std::int64_t low, std::int64_t high) {
        if (object_.if_contains(key) == nullptr)
            fail(key, "missing");
        return number(key, low, high).value_or(0);
    }

    void fail(std::string_view key, std::string_view what) {
        if (reason_.empty())
            reason_ = std::string(key) + ": " + std::string(what);
    }

  private:
    const json::object& object_;
    std::string& reason_;
};

void check_known_fields(const json::object& object, announcement_reader& reader) {
    for (const auto& item : object) {
        const std::string_view key(item.key().data(), item.key().size());
        if (std::ranges::find(known_fields, key) == known_fields.end())
            reader.fail(key, "unknown field");
    }
}

// Ids appear in URL paths and logs, so characters that need escaping there are rejected.
bool is_server_id(std::string_view id) {
    const auto is_allowed = [](unsigned char c) {
        return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
    };
    return !id.empty() && id.size() <= max_id_length && std::ranges::all_of(id, is_allowed);
}

api_response error_response(unsigned status, const std::string& reason) {
    api_response response;
    response.status = status;
    response.content_type = "application/json";
    response.body = json::serialize(json::object{{"error", reason}}) + '\n';
    return response;
}

} // namespace

std::optional<routing::announcement>
parse_announcement(const std::string& id, const std::string& body, std::string& reason) {
    json::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object()) {
        reason = error ? "body is not JSON: " + error.message() : "body is not a JSON object";
        return std::nullopt;
    }
    announcement_reader reader(value.get_object(), reason);
    check_known_fields(value.get_object(), reader);
    routing::announcement out;
    out.id = id;
    out.service = reader.text("service", true);
    out.address = reader.text("address", true);
    out.port = static_cast<unsigned short>(reader.required_number("port", 1, max_port));
    out.slots = reader.required_number("slots", 1, max_slots);
    out.connections = reader.required_number("connections", 1, max_slots);
    out.availability_zone = reader.text("availability_zone", true);
    out.instance = reader.text("instance", true);
    out.busy = reader.number("busy", 0, max_slots);
    out.token = reader.text("token", false);
    boost::system::error_code address_error;
    asio::ip::make_address(out.address, address_error);
    if (address_error)
        reader.fail("address", "not an IP address");
    if (!reason.empty())
        return std::nullopt;
    return out;
}

api_response announcement_api::make_response(const std::string& id,
                                             const routing::announce_reply& reply) const {
    using routing::announce_status;
    switch (reply.status) {
    case announce_status::malformed:
        return error_response(400, reply.reason);
    case announce_status::conflict:
        return error_response(409, reply.reason);
    case announce_status::unknown_target:
        return error_response(422, reply.reason);
    case announce_status::redirect: {
        if (reply.home.empty())
            return error_response(503, reply.reason);
        const auto address = address_of_(reply.home);
        if (!address)
            return error_response(503, "the address of home " + reply.home + " is not configured");
        auto response = error_response(307, "home is " + reply.home);
        response.fields.emplace_back("Location",
                                     "http://" + *address + std::string(path_prefix) + id);
        return response;
    }
    case announce_status::accepted:
        break;
    }
    json::object object{{"home", reply.home.empty() ? node_ : reply.home},
                        {"state", std::string(to_name(reply.state))},
                        {"token", reply.token},
                        {"renew_ms", reply.renew_ms},
                        {"lease_ms", lease_},
                        {"in_flight", reply.in_flight}};
    api_response response;
    response.content_type = "application/json";
    response.body = json::serialize(object) + '\n';
    return response;
}

api_response announcement_api::handle(const api_request& request) const {
    const std::string_view target = request.target;
    if (!target.starts_with(path_prefix))
        return error_response(404, "unknown path");
    const std::string id(target.substr(path_prefix.size()));
    if (!is_server_id(id))
        return error_response(400, "id: allowed are 1 to 128 letters, digits, '-', '_' and '.'");
    if (request.method == "PUT") {
        std::string reason;
        const auto message = parse_announcement(id, request.body, reason);
        if (!message)
            return error_response(400, reason);
        return make_response(id, dispatcher_.announce(*message));
    }
    if (request.method == "DELETE")
        return make_response(id, dispatcher_.leave(id));
    if (request.method == "GET")
        return make_response(id, dispatcher_.describe(id));
    auto response = error_response(405, "method not allowed");
    response.fields.emplace_back("Allow", "PUT, DELETE, GET");
    return response;
}

} // namespace clementine::proxy
