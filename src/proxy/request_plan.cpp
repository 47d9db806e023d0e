#include "proxy/request_plan.h"

#include "proxy/request_checks.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace clementine::proxy {

namespace {

// Limits the memory and log space that ids and keys from callers can use.
constexpr std::size_t max_id_length = 128;

constexpr std::array<std::string_view, 5> idempotent_methods{"GET", "HEAD", "OPTIONS", "PUT",
                                                             "DELETE"};

// Fields that are forwarded even if a Connection field lists them, because the proxy relies on
// them.
constexpr std::array<std::string_view, 4> end_to_end_fields{"host", "content-length",
                                                            "idempotency-key", "content-type"};

constexpr std::array<std::string_view, 9> hop_by_hop_fields{
    "connection", "keep-alive",     "proxy-connection", "te", "trailer", "upgrade",
    "expect",     "content-length", "transfer-encoding"};

char to_lower(char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

std::string_view trim_whitespace(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

template <class Number>
std::optional<Number> parse_number(std::string_view text) {
    Number number{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size())
        return std::nullopt;
    return number;
}

bool is_id(std::string_view text) {
    return text.size() <= max_id_length && is_token(text);
}

// Host field without its port, in lower case.
std::string host_name(std::string_view host) {
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos && host.find(']', colon) == std::string_view::npos)
        host = host.substr(0, colon);
    std::string out(host);
    std::ranges::transform(out, out.begin(), to_lower);
    return out;
}

// Builds one plan in steps; stops at the first rejection.
class planner {
  public:
    planner(const request_head& head, const manifest::manifest& manifest, std::string_view new_id)
        : head_(head), manifest_(manifest), new_id_(new_id) {}

    plan_result run() {
        using step = bool (planner::*)();
        constexpr std::array<step, 9> steps{
            &planner::check_method,   &planner::check_repeated_fields, &planner::find_service,
            &planner::find_workspace, &planner::determine_idempotence, &planner::read_timeout,
            &planner::read_framing,   &planner::read_expect,           &planner::read_ids,
        };
        for (const auto next : steps) {
            if (!(this->*next)())
                return rejection_;
        }
        plan_.method = head_.method;
        plan_.closes = list_has(head_.joined("connection"), "close");
        build_forwarded_header();
        return std::move(plan_);
    }

  private:
    bool reject(unsigned status, std::string reason) {
        rejection_ = {status, std::move(reason)};
        return false;
    }

    bool check_method() {
        // A tunnel would hide requests and their ends from the proxy.
        if (head_.method == "CONNECT")
            return reject(501, "method CONNECT is not supported");
        if (head_.target == "*" && head_.method != "OPTIONS")
            return reject(400, "request target is not a path");
        return true;
    }

    // A repeated field could be interpreted differently here and by the backend server.
    bool check_repeated_fields() {
        for (const auto name : {field_name::workspace, field_name::idempotent, field_name::timeout,
                                field_name::request_id, field_name::idempotency_key}) {
            if (head_.count(name) > 1)
                return reject(400, "repeated field " + std::string(name));
        }
        return true;
    }

    bool find_service() {
        service_ = manifest_.find_service_by_host(host_name(head_.find("host").value_or("")));
        if (service_ == nullptr)
            return reject(404, "unknown service");
        plan_.service = service_->name;
        return true;
    }

    bool find_workspace() {
        plan_.workspace = head_.find(field_name::workspace).value_or("default");
        const bool known = plan_.workspace == "default"
                               ? service_->allow_default_workspace
                               : manifest_.find_workspace(plan_.workspace) != nullptr;
        return known || reject(403, "unknown workspace");
    }

    // A method listed by the service is non-idempotent even if the caller declares otherwise,
    // because a duplicate execution is worse than a missed retry.
    bool determine_idempotence() {
        const auto declared = head_.find(field_name::idempotent);
        if (declared && *declared != "yes" && *declared != "no")
            return reject(400, std::string(field_name::idempotent) + ": allowed values: yes, no");
        const auto& non_idempotent = service_->non_idempotent_methods;
        if (std::ranges::find(non_idempotent, head_.method) != non_idempotent.end())
            plan_.idempotent = false;
        else if (declared)
            plan_.idempotent = *declared == "yes";
        else
            plan_.idempotent =
                std::ranges::find(idempotent_methods, head_.method) != idempotent_methods.end();
        return true;
    }

    bool read_timeout() {
        plan_.timeout = service_->timeout;
        const auto declared = head_.find(field_name::timeout);
        if (!declared)
            return true;
        const auto value = parse_number<std::uint32_t>(*declared);
        if (!value || *value == 0)
            return reject(400, std::string(field_name::timeout) + ": not a positive number");
        plan_.timeout = std::min<time_ms>(plan_.timeout, *value);
        return true;
    }

    bool read_framing() {
        plan_.max_body_bytes = static_cast<std::uint64_t>(service_->max_body_bytes);
        plan_.chunked = head_.find("transfer-encoding").has_value();
        const auto length = head_.find("content-length");
        if (length)
            plan_.content_length = parse_number<std::uint64_t>(*length);
        if (plan_.content_length.value_or(0) > plan_.max_body_bytes)
            return reject(413, "body too long");
        return true;
    }

    bool read_expect() {
        const auto expect = head_.find("expect");
        if (!expect)
            return true;
        if (!same_field_name(*expect, "100-continue"))
            return reject(417, "unknown expectation");
        plan_.expects_continue = true;
        return true;
    }

    bool read_ids() {
        const auto id = head_.find(field_name::request_id);
        if (id && !is_id(*id))
            return reject(400,
                          std::string(field_name::request_id) + ": not a token of up to 128 bytes");
        plan_.request_id = id.value_or(new_id_);
        const auto key = head_.find(field_name::idempotency_key);
        if (key && (key->empty() || key->size() > max_id_length))
            return reject(400, std::string(field_name::idempotency_key) + ": empty or too long");
        if (key && !plan_.idempotent)
            plan_.idempotency_key = *key;
        return true;
    }

    void build_forwarded_header() {
        auto& out = plan_.forwarded;
        const auto append = [&out](std::string_view name, std::string_view value) {
            out += name;
            out += ": ";
            out += value;
            out += "\r\n";
        };
        out += head_.method;
        out += ' ';
        out += head_.target;
        out += " HTTP/1.1\r\n";
        const auto connection = head_.joined("connection");
        for (const auto& [name, value] : head_.fields) {
            if (!is_hop_by_hop_field(name, connection) &&
                !same_field_name(name, field_name::request_id) &&
                !same_field_name(name, field_name::timeout))
                append(name, value);
        }
        append(field_name::request_id, plan_.request_id);
    }

    const request_head& head_;
    const manifest::manifest& manifest_;
    std::string_view new_id_;
    const manifest::service* service_ = nullptr;
    request_plan plan_;
    rejection rejection_;
};

} // namespace

bool same_field_name(std::string_view a, std::string_view b) {
    return std::ranges::equal(a, b, {}, to_lower, to_lower);
}

bool list_has(std::string_view list, std::string_view item) {
    while (!list.empty()) {
        const auto comma = list.find(',');
        if (same_field_name(trim_whitespace(list.substr(0, comma)), item))
            return true;
        if (comma == std::string_view::npos)
            break;
        list.remove_prefix(comma + 1);
    }
    return false;
}

bool is_hop_by_hop_field(std::string_view name, std::string_view connection) {
    const auto matches_name = [name](std::string_view other) {
        return same_field_name(name, other);
    };
    if (std::ranges::any_of(hop_by_hop_fields, matches_name))
        return true;
    if (std::ranges::any_of(end_to_end_fields, matches_name) ||
        same_field_name(name.substr(0, 11), "clementine-"))
        return false;
    return list_has(connection, name);
}

std::optional<std::string_view> request_head::find(std::string_view name) const {
    for (const auto& [key, value] : fields) {
        if (same_field_name(key, name))
            return value;
    }
    return std::nullopt;
}

int request_head::count(std::string_view name) const {
    const auto has_name = [name](const auto& item) { return same_field_name(item.first, name); };
    return static_cast<int>(std::ranges::count_if(fields, has_name));
}

std::string request_head::joined(std::string_view name) const {
    std::string out;
    for (const auto& [key, value] : fields) {
        if (same_field_name(key, name))
            out += (out.empty() ? "" : ",") + std::string(value);
    }
    return out;
}

request_head split_header(std::string_view header) {
    request_head out;
    const auto first = header.find(' ');
    const auto second = header.find(' ', first + 1);
    out.method = header.substr(0, first);
    out.target = header.substr(first + 1, second - first - 1);
    header.remove_prefix(header.find("\r\n") + 2);
    while (!header.starts_with("\r\n") && !header.empty()) {
        const auto end = header.find("\r\n");
        const auto line = header.substr(0, end);
        const auto colon = line.find(':');
        out.fields.emplace_back(line.substr(0, colon), trim_whitespace(line.substr(colon + 1)));
        header.remove_prefix(end + 2);
    }
    return out;
}

plan_result plan_request(const request_head& head, const manifest::manifest& manifest,
                         std::string_view new_id) {
    return planner(head, manifest, new_id).run();
}

} // namespace clementine::proxy
