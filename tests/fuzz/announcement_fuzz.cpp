// Fuzzes announcement bodies: they must neither crash the parser nor violate an invariant of the
// dispatcher at the home.
#include "base/invariant.h"
#include "base/log.h"
#include "proxy/announcement_api.h"

#include <cstdlib>

namespace {

using namespace clementine;

std::shared_ptr<manifest::manifest> small_manifest() {
    auto out = std::make_shared<manifest::manifest>();
    out->availability_zones = {"az-1"};
    out->services.emplace_back().name = "tickets";
    return out;
}

// Dispatcher of one entryd; its clock advances with each input.
struct target {
    target() {
        set_invariant_action(invariant_action::abort);
        init_logging(log_level::error, "fuzz");
        dispatcher.configure(small_manifest());
    }

    static routing::dispatcher_settings settings() {
        routing::dispatcher_settings out;
        out.node = "entry-1";
        out.availability_zone = "az-1";
        return out;
    }

    manual_clock clock{1'000};
    routing::dispatcher dispatcher{settings(), clock};
};

} // namespace

// The name is given by libFuzzer. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
    static target node;
    const std::string body(data, data + size);
    std::string reason;
    const auto parsed = proxy::parse_announcement("s1", body, reason);
    if (parsed.has_value() != reason.empty())
        std::abort();
    if (!parsed)
        return 0;
    auto message = *parsed;
    const auto reply = node.dispatcher.announce(message);
    if (reply.status == routing::announce_status::accepted) {
        message.token = reply.token;
        node.dispatcher.announce(message);
    }
    node.clock.advance(200);
    node.dispatcher.advance();
    return 0;
}
