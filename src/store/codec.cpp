#include "store/codec.h"

#include "scheduler/codec.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <store.capnp.h>

namespace clementine::store {

namespace {

// 512 MiB unpacked, far more than a snapshot with the maximum of 100,000 request ids needs.
constexpr std::uint64_t max_unpacked_words = (512ULL << 20) / sizeof(capnp::word);

class malformed_bytes {};

std::string from_text(capnp::Text::Reader text) {
    return {text.begin(), text.size()};
}

std::string from_data(capnp::Data::Reader data) {
    const auto bytes = data.asChars();
    return {bytes.begin(), bytes.size()};
}

capnp::Data::Reader to_data(const std::string& bytes) {
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

template <class Enum, class SchemaEnum>
Enum decode_enum(SchemaEnum value) {
    const auto number = static_cast<std::size_t>(value);
    if (number >= names_of(Enum{}).size())
        throw malformed_bytes{};
    return static_cast<Enum>(number);
}

std::string serialize(capnp::MessageBuilder& builder) {
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray().asChars();
    return {bytes.begin(), bytes.size()};
}

// Decodes the root struct with `read`; nullopt if the bytes are malformed.
template <class Root, class Read>
auto decode_root(std::string_view bytes, Read read)
    -> std::optional<decltype(read(std::declval<typename Root::Reader>()))> {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_unpacked_words;
    try {
        kj::ArrayInputStream in(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in, options);
        return read(reader.getRoot<Root>());
    } catch (const kj::Exception&) {
        return std::nullopt;
    } catch (const malformed_bytes&) {
        return std::nullopt;
    }
}

void write(schema::Command::Builder root, const set_manifest& value) {
    auto out = root.initSetManifest();
    out.setRequestId(value.request_id);
    out.setBaseVersion(value.base_version);
    out.setText(value.text);
    out.setLeaderTime(value.leader_time);
}

void write(schema::Command::Builder root, const set_maintenance& value) {
    auto out = root.initSetMaintenance();
    out.setRequestId(value.request_id);
    out.setMode(static_cast<schema::MaintenanceMode>(value.mode));
    out.setLeaderTime(value.leader_time);
}

void write(schema::Command::Builder root, const apply_decisions& value) {
    auto out = root.initDecide();
    out.setLeaderTime(value.leader_time);
    auto list = out.initDecisions(static_cast<unsigned>(value.decisions.size()));
    for (unsigned i = 0; i < list.size(); ++i)
        list.set(i, to_data(value.decisions[i]));
}

apply_decisions read_apply_decisions(schema::Decide::Reader in) {
    apply_decisions out;
    out.leader_time = in.getLeaderTime();
    for (auto item : in.getDecisions())
        out.decisions.push_back(from_data(item));
    return out;
}

command read_command(schema::Command::Reader in) {
    switch (in.which()) {
    case schema::Command::SET_MANIFEST: {
        const auto body = in.getSetManifest();
        return set_manifest{from_text(body.getRequestId()), body.getBaseVersion(),
                            from_text(body.getText()), body.getLeaderTime()};
    }
    case schema::Command::SET_MAINTENANCE: {
        const auto body = in.getSetMaintenance();
        return set_maintenance{from_text(body.getRequestId()),
                               decode_enum<maintenance_mode>(body.getMode()), body.getLeaderTime()};
    }
    case schema::Command::DECIDE:
        return read_apply_decisions(in.getDecide());
    }
    throw malformed_bytes{};
}

void write_result(schema::RequestRecord::Result::Builder out, const request_result& value) {
    if (const auto* item = std::get_if<accepted>(&value)) {
        out.setAccepted(item->version);
    } else if (const auto* conflict = std::get_if<version_conflict>(&value)) {
        auto group = out.initConflict();
        group.setVersion(conflict->version);
        group.setRequestId(conflict->request_id);
    } else {
        out.setDone();
    }
}

request_result read_result(schema::RequestRecord::Result::Reader in) {
    switch (in.which()) {
    case schema::RequestRecord::Result::ACCEPTED:
        return accepted{in.getAccepted()};
    case schema::RequestRecord::Result::CONFLICT:
        return version_conflict{in.getConflict().getVersion(),
                                from_text(in.getConflict().getRequestId())};
    case schema::RequestRecord::Result::DONE:
        return done{};
    }
    throw malformed_bytes{};
}

void write_requests(schema::Snapshot::Builder root, const state& value) {
    auto out = root.initRequests(static_cast<unsigned>(value.requests.size()));
    for (unsigned i = 0; i < out.size(); ++i) {
        const auto& item = value.requests[i];
        out[i].setRequestId(item.request_id);
        out[i].setDigest(item.digest);
        out[i].setAcceptedAt(item.accepted_at);
        write_result(out[i].getResult(), item.result);
    }
}

void write_history(schema::Snapshot::Builder root, const state& value) {
    auto out = root.initHistory(static_cast<unsigned>(value.history.size()));
    for (unsigned i = 0; i < out.size(); ++i) {
        const auto& item = value.history[i];
        out[i].setVersion(item.version);
        out[i].setBaseVersion(item.base_version);
        out[i].setRequestId(item.request_id);
        out[i].setAcceptedAt(item.accepted_at);
        out[i].setBytes(item.bytes);
    }
}

state read_state(schema::Snapshot::Reader in) {
    state out;
    out.leader_time = in.getLeaderTime();
    out.manifest = {in.getManifest().getVersion(), from_text(in.getManifest().getRequestId()),
                    from_text(in.getManifest().getText())};
    for (auto item : in.getRequests())
        out.requests.push_back({from_text(item.getRequestId()), item.getDigest(),
                                item.getAcceptedAt(), read_result(item.getResult())});
    for (auto item : in.getHistory())
        out.history.push_back({item.getVersion(), item.getBaseVersion(),
                               from_text(item.getRequestId()), item.getAcceptedAt(),
                               item.getBytes()});
    const auto maintenance = in.getMaintenance();
    out.maintenance = {decode_enum<maintenance_mode>(maintenance.getMode()),
                       from_text(maintenance.getRequestId()), maintenance.getChangedAt()};
    out.decision_count = in.getDecisions();
    if (in.getFleet().size() > 0) {
        out.fleet = scheduler::decode_state(from_data(in.getFleet()));
        if (!out.fleet)
            throw malformed_bytes{};
    }
    return out;
}

} // namespace

std::string encode(const command& value) {
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::Command>();
    std::visit([&root](const auto& item) { write(root, item); }, value);
    return serialize(builder);
}

std::optional<command> decode_command(std::string_view bytes) {
    return decode_root<schema::Command>(bytes, read_command);
}

std::string encode(const state& value) {
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::Snapshot>();
    root.setLeaderTime(value.leader_time);
    auto manifest = root.initManifest();
    manifest.setVersion(value.manifest.version);
    manifest.setRequestId(value.manifest.request_id);
    manifest.setText(value.manifest.text);
    write_requests(root, value);
    write_history(root, value);
    auto maintenance = root.initMaintenance();
    maintenance.setMode(static_cast<schema::MaintenanceMode>(value.maintenance.mode));
    maintenance.setRequestId(value.maintenance.request_id);
    maintenance.setChangedAt(value.maintenance.changed_at);
    if (value.fleet)
        root.setFleet(to_data(scheduler::encode_state(*value.fleet)));
    root.setDecisions(value.decision_count);
    return serialize(builder);
}

std::optional<state> decode_state(std::string_view bytes) {
    return decode_root<schema::Snapshot>(bytes, read_state);
}

} // namespace clementine::store
