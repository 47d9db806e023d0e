#include "routing/home_lease.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace clementine::routing {

namespace {

// Renewals come every 500 ms, and a token older than the lease of 2,500 ms cannot extend it.
constexpr std::size_t max_issued_tokens = 16;

// Parses a number and the dot after it, and removes both from the front of the text.
std::optional<std::uint64_t> consume_number(std::string_view& text) {
    const auto dot = text.find('.');
    if (dot == std::string_view::npos)
        return std::nullopt;
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + dot, value);
    if (error != std::errc{} || end != text.data() + dot)
        return std::nullopt;
    text.remove_prefix(dot + 1);
    return value;
}

} // namespace

std::string lease_token::text() const {
    return std::to_string(epoch) + '.' + std::to_string(serial) + '.' + std::to_string(boot) + '.' +
           node;
}

std::optional<lease_token> parse_token(const std::string& text) {
    std::string_view rest = text;
    const auto epoch = consume_number(rest);
    const auto serial = epoch ? consume_number(rest) : std::nullopt;
    const auto boot = serial ? consume_number(rest) : std::nullopt;
    if (!boot || rest.empty())
        return std::nullopt;
    return lease_token{*epoch, *serial, *boot, std::string(rest)};
}

std::string home_lease::issue(time_ms now) {
    issued_.push_back({epoch_, ++serial_, now});
    if (issued_.size() > max_issued_tokens)
        issued_.pop_front();
    return lease_token{epoch_, serial_, boot_, node_}.text();
}

std::optional<time_ms> home_lease::accept_echo(const std::string& token) {
    const auto parsed = parse_token(token);
    if (!parsed || parsed->node != node_ || parsed->boot != boot_)
        return std::nullopt;
    for (const auto& issued : issued_) {
        if (issued.epoch != parsed->epoch || issued.serial != parsed->serial)
            continue;
        ends_ = std::max(ends_, issued.at + duration_);
        return issued.at;
    }
    return std::nullopt;
}

} // namespace clementine::routing
