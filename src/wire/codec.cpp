#include "wire/codec.h"

#include "wire/frame.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <messages.capnp.h>
#include <type_traits>

namespace clementine::wire {

namespace {

// Limits memory use: packing shrinks runs of zeros up to a thousandfold.
constexpr std::uint64_t max_unpacked_words = (8U << 20) / sizeof(capnp::word);
static_assert(max_unpacked_words * sizeof(capnp::word) > max_payload_bytes);

// messages.capnp nests at most 4 levels.
constexpr int max_nesting_depth = 8;

class malformed_message {};

std::string from_text(capnp::Text::Reader text) {
    return {text.begin(), text.size()};
}

std::string from_data(capnp::Data::Reader data) {
    const auto chars = data.asChars();
    return {chars.begin(), chars.size()};
}

capnp::Data::Reader to_data(const std::string& bytes) {
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}

template <class Container>
unsigned schema_list_size(const Container& items) {
    return static_cast<unsigned>(items.size());
}

schema::Role to_schema(node_role role) {
    return static_cast<schema::Role>(role);
}

schema::ClaimState to_schema(claim_state state) {
    return static_cast<schema::ClaimState>(state);
}

// Rejects enumerators that this version does not know, as a newer peer may send.
template <class Enum, class SchemaEnum>
Enum from_schema(SchemaEnum value) {
    const auto index = static_cast<std::size_t>(value);
    if (index >= names_of(Enum{}).size())
        throw malformed_message{};
    return static_cast<Enum>(index);
}

void write(schema::Message::Builder root, const hello& value) {
    auto out = root.initHello();
    out.setProtocolVersion(value.version);
    out.setCluster(value.cluster);
    out.setNodeId(value.node);
    out.setRole(to_schema(value.role));
    out.setAvailabilityZone(value.availability_zone);
    out.setBootId(value.boot_id);
    out.setOperators(value.operators);
}

hello read(schema::Hello::Reader in) {
    hello out;
    out.version = in.getProtocolVersion();
    out.cluster = from_text(in.getCluster());
    out.node = from_text(in.getNodeId());
    out.role = from_schema<node_role>(in.getRole());
    out.availability_zone = from_text(in.getAvailabilityZone());
    out.boot_id = in.getBootId();
    out.operators = from_text(in.getOperators());
    return out;
}

void write(schema::Message::Builder root, const heartbeat&) {
    root.setHeartbeat();
}

void write_body(schema::Consensus::Builder out, const consensus::vote_request& value) {
    auto body = out.initVoteRequest();
    body.setLastIndex(value.last_index);
    body.setLastTerm(value.last_term);
    body.setPreVote(value.pre_vote);
    body.setTransfer(value.transfer);
}

void write_body(schema::Consensus::Builder out, const consensus::vote_reply& value) {
    auto body = out.initVoteReply();
    body.setGranted(value.granted);
    body.setPreVote(value.pre_vote);
}

void write_body(schema::Consensus::Builder out, const consensus::append_request& value) {
    auto body = out.initAppendRequest();
    body.setPrevIndex(value.prev_index);
    body.setPrevTerm(value.prev_term);
    body.setCommit(value.commit);
    body.setSentAt(value.sent_at);
    auto entries = body.initEntries(schema_list_size(value.entries));
    for (unsigned i = 0; i < entries.size(); ++i) {
        entries[i].setIndex(value.entries[i].index);
        entries[i].setTerm(value.entries[i].term);
        entries[i].setKind(static_cast<schema::EntryKind>(value.entries[i].kind));
        entries[i].setData(to_data(value.entries[i].data));
    }
}

void write_body(schema::Consensus::Builder out, const consensus::append_reply& value) {
    auto body = out.initAppendReply();
    body.setAccepted(value.accepted);
    body.setMatch(value.match);
    body.setPrevIndex(value.prev_index);
    body.setHintIndex(value.hint_index);
    body.setHintTerm(value.hint_term);
    body.setSentAt(value.sent_at);
}

void write_body(schema::Consensus::Builder out, const consensus::snapshot_reply& value) {
    auto body = out.initSnapshotReply();
    body.setIndex(value.index);
    body.setNextOffset(value.next_offset);
    body.setInstalled(value.installed);
    body.setSentAt(value.sent_at);
}

void write_body(schema::Consensus::Builder out, const consensus::timeout_now&) {
    out.setTimeoutNow();
}

void write_chunk(schema::SnapshotChunk::Builder out, const consensus::message& value,
                 const consensus::snapshot_chunk& chunk) {
    out.setFrom(value.from);
    out.setTo(value.to);
    out.setSenderTerm(value.term);
    out.setIndex(chunk.index);
    out.setTerm(chunk.term);
    auto members = out.initMembers(schema_list_size(chunk.membership.members));
    for (unsigned i = 0; i < members.size(); ++i) {
        members[i].setId(chunk.membership.members[i].id);
        members[i].setNode(chunk.membership.members[i].node);
        members[i].setVoter(chunk.membership.members[i].voter);
    }
    out.setTotalBytes(chunk.total_bytes);
    out.setChecksum(chunk.checksum);
    out.setOffset(chunk.offset);
    out.setSentAt(chunk.sent_at);
    out.setData(to_data(chunk.data));
}

void write(schema::Message::Builder root, const consensus::message& value) {
    if (const auto* chunk = std::get_if<consensus::snapshot_chunk>(&value.body))
        return write_chunk(root.initSnapshotChunk(), value, *chunk);
    auto out = root.initConsensus();
    out.setFrom(value.from);
    out.setTo(value.to);
    out.setTerm(value.term);
    std::visit(
        [&out](const auto& body) {
            if constexpr (!std::is_same_v<std::decay_t<decltype(body)>, consensus::snapshot_chunk>)
                write_body(out, body);
        },
        value.body);
}

consensus::append_request read(schema::AppendRequest::Reader in) {
    consensus::append_request out;
    out.prev_index = in.getPrevIndex();
    out.prev_term = in.getPrevTerm();
    out.commit = in.getCommit();
    out.sent_at = in.getSentAt();
    for (auto item : in.getEntries())
        out.entries.push_back({item.getIndex(), item.getTerm(),
                               from_schema<consensus::entry_kind>(item.getKind()),
                               from_data(item.getData())});
    return out;
}

consensus::append_reply read(schema::AppendReply::Reader in) {
    return {in.getAccepted(),  in.getMatch(),    in.getPrevIndex(),
            in.getHintIndex(), in.getHintTerm(), in.getSentAt()};
}

consensus::message_body read_body(schema::Consensus::Reader in) {
    switch (in.which()) {
    case schema::Consensus::VOTE_REQUEST: {
        const auto body = in.getVoteRequest();
        return consensus::vote_request{body.getLastIndex(), body.getLastTerm(), body.getPreVote(),
                                       body.getTransfer()};
    }
    case schema::Consensus::VOTE_REPLY:
        return consensus::vote_reply{in.getVoteReply().getGranted(),
                                     in.getVoteReply().getPreVote()};
    case schema::Consensus::APPEND_REQUEST:
        return read(in.getAppendRequest());
    case schema::Consensus::APPEND_REPLY:
        return read(in.getAppendReply());
    case schema::Consensus::SNAPSHOT_REPLY: {
        const auto body = in.getSnapshotReply();
        return consensus::snapshot_reply{body.getIndex(), body.getNextOffset(), body.getInstalled(),
                                         body.getSentAt()};
    }
    case schema::Consensus::TIMEOUT_NOW:
        return consensus::timeout_now{};
    }
    throw malformed_message{};
}

consensus::message read(schema::Consensus::Reader in) {
    return {in.getFrom(), in.getTo(), in.getTerm(), read_body(in)};
}

consensus::message read(schema::SnapshotChunk::Reader in) {
    consensus::snapshot_chunk chunk;
    chunk.index = in.getIndex();
    chunk.term = in.getTerm();
    for (auto item : in.getMembers())
        chunk.membership.members.push_back(
            {item.getId(), from_text(item.getNode()), item.getVoter()});
    chunk.total_bytes = in.getTotalBytes();
    chunk.checksum = in.getChecksum();
    chunk.offset = in.getOffset();
    chunk.sent_at = in.getSentAt();
    chunk.data = from_data(in.getData());
    return {in.getFrom(), in.getTo(), in.getSenderTerm(), std::move(chunk)};
}

void write(schema::Message::Builder root, const subscribe& value) {
    root.initSubscribe().setVersion(value.version);
}

void write(schema::Message::Builder root, const manifest_state& value) {
    auto out = root.initManifestState();
    out.setVersion(value.version);
    out.setText(value.text);
    out.setCurrent(value.current);
}

void write(schema::Message::Builder root, const version_report& value) {
    root.initVersionReport().setVersion(value.version);
}

void write_grant(schema::ShareGrant::Builder out, const routing::share_grant& value) {
    out.setBackendServer(value.backend_server);
    out.setKind(static_cast<schema::GrantKind>(value.kind));
    out.setEpoch(value.epoch);
    out.setSlots(value.slots);
    out.setConnections(value.connections);
    out.setLeaving(value.leaving);
    out.setLapsing(value.lapsing);
    out.setReleased(value.released);
    if (value.instance.empty())
        return;
    out.setService(value.service);
    out.setInstance(value.instance);
    out.setAddress(value.address);
    out.setPort(value.port);
    out.setAvailabilityZone(value.availability_zone);
}

// Reads a kind that this version does not know as a claim, which grants no slots.
routing::grant_kind read(schema::GrantKind kind) {
    const auto value = static_cast<std::size_t>(kind);
    if (value >= routing::grant_kind_names.size())
        return routing::grant_kind::claim;
    return static_cast<routing::grant_kind>(value);
}

routing::share_grant read(schema::ShareGrant::Reader in) {
    routing::share_grant out;
    out.backend_server = from_text(in.getBackendServer());
    out.kind = read(in.getKind());
    out.epoch = in.getEpoch();
    out.slots = in.getSlots();
    out.connections = in.getConnections();
    out.leaving = in.getLeaving();
    out.lapsing = in.getLapsing();
    out.released = in.getReleased();
    out.service = from_text(in.getService());
    out.instance = from_text(in.getInstance());
    out.address = from_text(in.getAddress());
    out.port = in.getPort();
    out.availability_zone = from_text(in.getAvailabilityZone());
    return out;
}

// Leaves out empty fields to save bytes: an idle tick is sent to each peer more than a hundred
// times a minute.
void write(schema::Message::Builder root, const routing::entry_tick& value) {
    auto out = root.initEntryTick();
    if (!value.sender.empty())
        out.setSender(value.sender);
    out.setBoot(value.boot);
    out.setSequence(value.sequence);
    out.setBase(value.base);
    out.setEchoedBoot(value.echoed_boot);
    out.setEchoedSequence(value.echoed_sequence);
    out.setDraining(value.draining);
    out.setValidForMs(value.valid_for);
    if (!value.demand.empty()) {
        auto demand = out.initDemand(schema_list_size(value.demand));
        for (unsigned i = 0; i < demand.size(); ++i) {
            demand[i].setService(value.demand[i].service);
            demand[i].setQueued(value.demand[i].queued);
            demand[i].setInUse(value.demand[i].in_use);
        }
    }
    if (!value.held.empty()) {
        auto held = out.initHeld(schema_list_size(value.held));
        for (unsigned i = 0; i < held.size(); ++i) {
            held[i].setBackendServer(value.held[i].backend_server);
            held[i].setEpoch(value.held[i].epoch);
            held[i].setHeld(value.held[i].held);
            held[i].setInUse(value.held[i].in_use);
        }
    }
    if (!value.grants.empty()) {
        auto grants = out.initGrants(schema_list_size(value.grants));
        for (unsigned i = 0; i < grants.size(); ++i)
            write_grant(grants[i], value.grants[i]);
    }
}

routing::entry_tick read(schema::EntryTick::Reader in) {
    routing::entry_tick out;
    out.sender = from_text(in.getSender());
    out.boot = in.getBoot();
    out.sequence = in.getSequence();
    out.base = in.getBase();
    out.echoed_boot = in.getEchoedBoot();
    out.echoed_sequence = in.getEchoedSequence();
    out.draining = in.getDraining();
    out.valid_for = in.getValidForMs();
    for (auto item : in.getDemand())
        out.demand.push_back({from_text(item.getService()), item.getQueued(), item.getInUse()});
    for (auto item : in.getHeld())
        out.held.push_back(
            {from_text(item.getBackendServer()), item.getEpoch(), item.getHeld(), item.getInUse()});
    for (auto item : in.getGrants())
        out.grants.push_back(read(item));
    return out;
}

void write_key(schema::ClaimKey::Builder out, const claim_key& value) {
    out.setService(value.service);
    out.setWorkspace(value.workspace);
    out.setKey(value.key);
}

claim_key read(schema::ClaimKey::Reader in) {
    return {from_text(in.getService()), from_text(in.getWorkspace()), from_text(in.getKey())};
}

void write(schema::Message::Builder root, const claim_request& value) {
    auto out = root.initClaimRequest();
    write_key(out.initKey(), value.key);
    out.setSender(value.sender);
    out.setClaimId(value.claim_id);
}

claim_request read(schema::ClaimRequest::Reader in) {
    return {read(in.getKey()), from_text(in.getSender()), in.getClaimId()};
}

void write(schema::Message::Builder root, const claim_reply& value) {
    auto out = root.initClaimReply();
    out.setClaimId(value.claim_id);
    out.setSender(value.sender);
    out.setGranted(value.granted);
    out.setState(to_schema(value.state));
}

claim_reply read(schema::ClaimReply::Reader in) {
    return {in.getClaimId(), from_text(in.getSender()), in.getGranted(),
            from_schema<claim_state>(in.getState())};
}

void write(schema::Message::Builder root, const claim_release& value) {
    auto out = root.initClaimRelease();
    write_key(out.initKey(), value.key);
    out.setSender(value.sender);
    out.setClaimId(value.claim_id);
}

claim_release read(schema::ClaimRelease::Reader in) {
    return {read(in.getKey()), from_text(in.getSender()), in.getClaimId()};
}

void write(schema::Message::Builder root, const claim_outcome& value) {
    auto out = root.initClaimOutcome();
    write_key(out.initKey(), value.key);
    out.setSender(value.sender);
    out.setClaimId(value.claim_id);
    out.setState(to_schema(value.state));
}

claim_outcome read(schema::ClaimOutcome::Reader in) {
    return {read(in.getKey()), from_text(in.getSender()), in.getClaimId(),
            from_schema<claim_state>(in.getState())};
}

void write(schema::Message::Builder root, const claim_sync& value) {
    auto out = root.initClaimSync();
    out.setRequest(value.request);
    out.setSender(value.sender);
    out.setSyncId(value.sync_id);
    auto records = out.initRecords(schema_list_size(value.records));
    for (unsigned i = 0; i < records.size(); ++i) {
        write_key(records[i].initKey(), value.records[i].key);
        records[i].setClaimant(value.records[i].claimant);
        records[i].setClaimId(value.records[i].claim_id);
        records[i].setState(to_schema(value.records[i].state));
        records[i].setAgeMs(value.records[i].age_ms);
    }
    out.setLast(value.last);
    auto complete_with = out.initCompleteWith(schema_list_size(value.complete_with));
    for (unsigned i = 0; i < complete_with.size(); ++i)
        complete_with.set(i, value.complete_with[i]);
}

claim_sync read(schema::ClaimSync::Reader in) {
    claim_sync out;
    out.request = in.getRequest();
    out.sender = from_text(in.getSender());
    out.sync_id = in.getSyncId();
    for (auto item : in.getRecords())
        out.records.push_back({read(item.getKey()), from_text(item.getClaimant()),
                               item.getClaimId(), from_schema<claim_state>(item.getState()),
                               item.getAgeMs()});
    out.last = in.getLast();
    for (auto item : in.getCompleteWith())
        out.complete_with.push_back(from_text(item));
    return out;
}

void write(schema::Message::Builder root, const home_release& value) {
    auto out = root.initHomeRelease();
    out.setSender(value.sender);
    out.setBackendServer(value.backend_server);
    out.setEpoch(value.epoch);
    out.setConfirmed(value.confirmed);
}

home_release read(schema::HomeRelease::Reader in) {
    return {from_text(in.getSender()), from_text(in.getBackendServer()), in.getEpoch(),
            in.getConfirmed()};
}

void write_demand(capnp::List<schema::ServiceDemand>::Builder out,
                  const std::vector<routing::service_demand>& demand) {
    for (unsigned i = 0; i < out.size(); ++i) {
        out[i].setService(demand[i].service);
        out[i].setQueued(demand[i].queued);
        out[i].setInUse(demand[i].in_use);
    }
}

void write(schema::Message::Builder root, const demand_report& value) {
    write_demand(root.initDemandReport().initDemand(schema_list_size(value.demand)), value.demand);
}

demand_report read(schema::DemandReport::Reader in) {
    demand_report out;
    for (auto item : in.getDemand())
        out.demand.push_back({from_text(item.getService()), item.getQueued(), item.getInUse()});
    return out;
}

void write(schema::Message::Builder root, const call& value) {
    auto out = root.initCall();
    out.setId(value.id);
    out.setOrigin(static_cast<schema::CallOrigin>(value.origin));
    out.setMethod(value.method);
    out.setHost(value.host);
    out.setTarget(value.target);
    out.setBody(to_data(value.body));
    out.setTerm(value.term);
    if (!value.credential.empty())
        out.setCredential(to_data(value.credential));
}

call read(schema::Call::Reader in) {
    call out;
    out.id = in.getId();
    out.origin = from_schema<call_origin>(in.getOrigin());
    out.method = from_text(in.getMethod());
    out.host = from_text(in.getHost());
    out.target = from_text(in.getTarget());
    out.body = from_data(in.getBody());
    out.term = in.getTerm();
    out.credential = from_data(in.getCredential());
    return out;
}

void write(schema::Message::Builder root, const call_reply& value) {
    auto out = root.initCallReply();
    out.setId(value.id);
    out.setHandled(value.handled);
    out.setStatus(static_cast<std::uint16_t>(value.status));
    out.setRetryAfterMs(static_cast<std::uint32_t>(value.retry_after));
    out.setBody(to_data(value.body));
}

call_reply read(schema::CallReply::Reader in) {
    call_reply out;
    out.id = in.getId();
    out.handled = in.getHandled();
    out.status = in.getStatus();
    out.retry_after = in.getRetryAfterMs();
    out.body = from_data(in.getBody());
    return out;
}

void write(schema::Message::Builder root, const directory& value) {
    auto out = root.initDirectory();
    out.setLeader(value.leader);
    out.setTerm(value.term);
    out.setCommitIndex(value.commit_index);
    out.setRelays(value.relays);
    auto members = out.initMembers(schema_list_size(value.members));
    for (unsigned i = 0; i < members.size(); ++i) {
        members[i].setId(value.members[i].id);
        members[i].setNode(value.members[i].node);
        members[i].setVoter(value.members[i].voter);
    }
}

directory read(schema::Directory::Reader in) {
    directory out;
    out.leader = from_text(in.getLeader());
    out.term = in.getTerm();
    out.commit_index = in.getCommitIndex();
    out.relays = in.getRelays();
    for (const auto item : in.getMembers())
        out.members.push_back({item.getId(), from_text(item.getNode()), item.getVoter()});
    return out;
}

void write(schema::Message::Builder root, const order_batch& value) {
    auto out = root.initOrderBatch();
    out.setTerm(value.term);
    out.setSentAt(value.sent_at);
    out.setOrders(to_data(value.orders));
}

order_batch read(schema::OrderBatch::Reader in) {
    return {in.getTerm(), in.getSentAt(), from_data(in.getOrders())};
}

void write(schema::Message::Builder root, const result_batch& value) {
    root.initResultBatch().setResults(to_data(value.results));
}

result_batch read(schema::ResultBatch::Reader in) {
    return {from_data(in.getResults())};
}

void write(schema::Message::Builder root, const read_request& value) {
    root.initReadRequest().setSequence(value.sequence);
}

void write(schema::Message::Builder root, const read_index& value) {
    auto out = root.initReadIndex();
    out.setSequence(value.sequence);
    out.setIndex(value.index);
}

void write(schema::Message::Builder root, const join_request& value) {
    root.initJoinRequest().setReplicaId(value.replica_id);
}

message read(schema::Message::Reader in) {
    switch (in.which()) {
    case schema::Message::HELLO:
        return read(in.getHello());
    case schema::Message::HEARTBEAT:
        return heartbeat{};
    case schema::Message::CONSENSUS:
        return read(in.getConsensus());
    case schema::Message::SNAPSHOT_CHUNK:
        return read(in.getSnapshotChunk());
    case schema::Message::SUBSCRIBE:
        return subscribe{in.getSubscribe().getVersion()};
    case schema::Message::MANIFEST_STATE:
        return manifest_state{in.getManifestState().getVersion(),
                              from_text(in.getManifestState().getText()),
                              in.getManifestState().getCurrent()};
    case schema::Message::VERSION_REPORT:
        return version_report{in.getVersionReport().getVersion()};
    case schema::Message::ENTRY_TICK:
        return read(in.getEntryTick());
    case schema::Message::CLAIM_REQUEST:
        return read(in.getClaimRequest());
    case schema::Message::CLAIM_REPLY:
        return read(in.getClaimReply());
    case schema::Message::CLAIM_RELEASE:
        return read(in.getClaimRelease());
    case schema::Message::CLAIM_OUTCOME:
        return read(in.getClaimOutcome());
    case schema::Message::CLAIM_SYNC:
        return read(in.getClaimSync());
    case schema::Message::HOME_RELEASE:
        return read(in.getHomeRelease());
    case schema::Message::JOIN_REQUEST:
        return join_request{in.getJoinRequest().getReplicaId()};
    case schema::Message::DEMAND_REPORT:
        return read(in.getDemandReport());
    case schema::Message::CALL:
        return read(in.getCall());
    case schema::Message::CALL_REPLY:
        return read(in.getCallReply());
    case schema::Message::ORDER_BATCH:
        return read(in.getOrderBatch());
    case schema::Message::RESULT_BATCH:
        return read(in.getResultBatch());
    case schema::Message::READ_REQUEST:
        return read_request{in.getReadRequest().getSequence()};
    case schema::Message::READ_INDEX:
        return read_index{in.getReadIndex().getSequence(), in.getReadIndex().getIndex()};
    case schema::Message::DIRECTORY:
        return read(in.getDirectory());
    }
    throw malformed_message{};
}

} // namespace

std::string encode(const message& value) {
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::Message>();
    std::visit([&root](const auto& item) { write(root, item); }, value);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray().asChars();
    return {bytes.begin(), bytes.size()};
}

std::optional<message> decode(std::string_view payload) {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = max_unpacked_words;
    options.nestingLimit = max_nesting_depth;
    try {
        kj::ArrayInputStream in(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(payload.data()), payload.size()));
        capnp::PackedMessageReader reader(in, options);
        auto out = read(reader.getRoot<schema::Message>());
        if (in.tryGetReadBuffer().size() != 0)
            return std::nullopt;
        return out;
    } catch (const kj::Exception&) {
        return std::nullopt;
    } catch (const malformed_message&) {
        return std::nullopt;
    }
}

} // namespace clementine::wire
