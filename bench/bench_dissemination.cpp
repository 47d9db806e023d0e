// Computes the bytes and messages per node that manifest dissemination needs, from the encoded
// frames and the heartbeat settings of the links. Deterministic: no sockets and no clock.
// tests/control checks with real links that an entry node receives the text of a change only once.
//
// Each frame counts as one packet, or several if it exceeds a TCP segment, with 52 bytes of headers
// each. Each packet is answered by an empty acknowledgement of 52 bytes. Real links combine frames
// and acknowledgements, so the figures are upper bounds.
#include "base/hash.h"
#include "wire/codec.h"
#include "wire/connection.h"
#include "wire/frame.h"

#include <cstdio>
#include <string>
#include <vector>

namespace {

using namespace clementine;

constexpr std::size_t packet_header_bytes = 52;
constexpr std::size_t segment_bytes = 1'448;
constexpr int controld_count = 3;
constexpr double changes_per_second = 10'000.0 / 86'400;
// Limit on the control traffic of a node (design 1.6).
constexpr double max_control_bytes_per_second = 6'000;

struct link_cost {
    double bytes = 0;
    double messages = 0;
    double packets = 0;

    link_cost& operator+=(const link_cost& other) {
        bytes += other.bytes;
        messages += other.messages;
        packets += other.packets;
        return *this;
    }
    friend link_cost operator*(double factor, const link_cost& value) {
        return {factor * value.bytes, factor * value.messages, factor * value.packets};
    }
};

// Cost of one message with its acknowledgements.
link_cost message_cost(const wire::message& value) {
    const auto frame = wire::make_frame(wire::encode(value));
    const auto size = frame ? frame->size() : 0;
    const auto packets = 2 * ((size + segment_bytes - 1) / segment_bytes);
    return {static_cast<double>(size + packets * packet_header_bytes), 1,
            static_cast<double>(packets)};
}

// Manifest of a deployment at the target scale: 172 pools and 69 teams.
std::string target_scale_manifest() {
    std::string out = "[fleet]\navailability-zones = az-1, az-2, az-3\nvms = 32000\n";
    for (int i = 1; i <= 172; ++i) {
        const auto name = "pool-" + std::to_string(i);
        out += "[service service-" + std::to_string(i) + "]\nhosts = service-" + std::to_string(i) +
               ".example\npool = " + name + "\nmin-available = 150\n[pool " + name +
               "]\nsize = 186\n";
    }
    for (int i = 1; i <= 69; ++i)
        out += "[team team-" + std::to_string(i) + "]\nquota-cores = 7000\n";
    return out;
}

// Heartbeats of one connection in both directions, per second.
link_cost idle_connection_cost() {
    return 2 * (1'000.0 / wire::link_settings{}.heartbeat_interval) *
           message_cost(wire::heartbeat{});
}

// One manifest change at an entry node: the text from one controld and a report to each controld.
link_cost entry_node_change_cost(const std::string& text) {
    auto out = message_cost(wire::manifest_state{123'456, text, true});
    out += controld_count * message_cost(wire::version_report{123'456});
    return out;
}

// Heartbeats of the leader to the other replicas and their answers, per second.
link_cost idle_leader_cost() {
    consensus::append_request request{1'234'567, 12, 1'234'567, 123'456'789, {}};
    consensus::append_reply reply{true, 1'234'567, 1'234'567, 0, 0, 123'456'789};
    auto heartbeat_round = message_cost(consensus::message{1, 2, 12, request});
    heartbeat_round += message_cost(consensus::message{2, 1, 12, reply});
    constexpr double rounds_per_second = 10;
    auto out = (controld_count - 1) * rounds_per_second * heartbeat_round;
    // Two connections to each replica, one opened by each side.
    out += 2 * (controld_count - 1) * idle_connection_cost();
    return out;
}

// One manifest change at the leader: the log entry to both other replicas, their answers, the text
// to each entry node and a report from each.
link_cost leader_change_cost(const std::string& text, int entry_nodes) {
    consensus::append_request request{1'234'567, 12, 1'234'567, 123'456'789, {}};
    request.entries.push_back({1'234'568, 12, consensus::entry_kind::command, text});
    consensus::append_reply reply{true, 1'234'567, 1'234'567, 0, 0, 123'456'789};
    link_cost out;
    for (int i = 1; i < controld_count; ++i) {
        out += message_cost(consensus::message{1, 2, 12, request});
        out += message_cost(consensus::message{2, 1, 12, reply});
    }
    out += entry_nodes * message_cost(wire::manifest_state{123'456, text, true});
    out += entry_nodes * message_cost(wire::version_report{123'456});
    return out;
}

std::string format_result(const char* role, const char* manifest, std::size_t manifest_bytes,
                          int entry_nodes, const link_cost& idle, const link_cost& change) {
    char out[320];
    std::snprintf(out, sizeof(out),
                  "dissemination: role=%s controlds=%d entry_nodes=%d manifest=%s "
                  "manifest_bytes=%zu idle_messages_per_s=%.1f idle_bytes_per_s=%.0f "
                  "change_messages=%.0f change_bytes=%.0f bytes_per_s=%.0f",
                  role, controld_count, entry_nodes, manifest, manifest_bytes, idle.messages,
                  idle.bytes, change.messages, change.bytes,
                  idle.bytes + changes_per_second * change.bytes);
    return out;
}

} // namespace

int main() {
    const std::string deployment_manifest(1'500, 'x'); // length of examples/deployment-a.ini
    const auto scale_manifest = target_scale_manifest();
    bool within_limit = true;
    std::string all_lines;
    const auto report = [&](const std::string& line) {
        std::puts(line.c_str());
        all_lines += line;
    };
    for (const auto& [name, text] :
         {std::pair{"deployment", deployment_manifest}, std::pair{"scale", scale_manifest}}) {
        for (const int entry_nodes : {1, 10, 100}) {
            const auto idle = controld_count * idle_connection_cost();
            const auto change = entry_node_change_cost(text);
            report(format_result("entryd", name, text.size(), entry_nodes, idle, change));
            within_limit = within_limit && idle.bytes + changes_per_second * change.bytes <=
                                               max_control_bytes_per_second;
            auto leader_idle = idle_leader_cost();
            leader_idle += entry_nodes * idle_connection_cost();
            report(format_result("controld-leader", name, text.size(), entry_nodes, leader_idle,
                                 leader_change_cost(text, entry_nodes)));
        }
    }
    std::printf("dissemination: bound role=entryd bytes_per_s<=%.0f %s\n",
                max_control_bytes_per_second, within_limit ? "met" : "EXCEEDED");
    std::printf("dissemination: signature=%016llx\n",
                static_cast<unsigned long long>(hash64(all_lines)));
    return within_limit ? 0 : 1;
}
