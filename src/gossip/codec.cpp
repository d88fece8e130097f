#include "gossip/codec.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

#include "base/text.h"
#include "fleet/fleet.capnp.h"
#include "gossip/protocol_version.h"
#include "replica/capnp_message.h"

namespace walkpaddle::gossip {

namespace schema = fleet::schema;
using replica::checked_time;
using replica::EndpointObservation;
using replica::message_bytes;

namespace {

constexpr std::size_t kMaxReadBytes = 65536;  // bounds the cost of reading one message, see read_root()

void write(schema::Fact::Builder to, const EndpointObservation& observation) {
  to.setServer(observation.endpoint);
  to.setStarted(observation.started);
  to.setObserver(observation.observer);
  to.setMicros(observation.observed_at.micros);
  to.setCount(observation.observed_at.count);
  to.setHealth(static_cast<std::uint8_t>(observation.health));
  to.setLimit(observation.concurrency_limit);
}

EndpointObservation read(const schema::Fact::Reader& from) {
  if (from.getHealth() >= replica::kHealthCount) throw_bad_value("health", std::to_string(from.getHealth()));
  if (!std::isfinite(from.getLimit()) || from.getLimit() < 0)
    throw_bad_value("limit", std::to_string(from.getLimit()));
  if (from.getMicros() < 0) throw_bad_value("stamp", std::to_string(from.getMicros()));
  return {.endpoint = from.getServer(),
          .started = checked_time(from.getStarted()),
          .observer = from.getObserver(),
          .observed_at = {.micros = from.getMicros(), .count = from.getCount()},
          .health = static_cast<replica::Health>(from.getHealth()),
          .concurrency_limit = from.getLimit()};
}

void write(schema::Record::Builder to, const membership::MemberRecord& record) {
  to.setWho(record.member);
  to.setIncarnation(record.incarnation);
  to.setBy(record.suspected_by);
  to.setState(static_cast<std::uint8_t>(record.state));
  to.setReads(record.channel_versions);
}

membership::MemberRecord read(const schema::Record::Reader& from) {
  if (from.getState() > static_cast<int>(membership::MemberState::dead))
    throw_bad_value("state", std::to_string(from.getState()));
  return {.member = from.getWho(),
          .incarnation = from.getIncarnation(),
          .state = static_cast<membership::MemberState>(from.getState()),
          .suspected_by = from.getBy(),
          .channel_versions = from.getReads()};
}

double checked_snapshot_value(float value) {
  constexpr float kMaxSnapshotValue = 1e6;  // far above any limit, count or time in seconds
  if (!(value >= 0 && value <= kMaxSnapshotValue)) throw_bad_value("snapshot value", std::to_string(value));
  return value;
}

void write(schema::Belief::Builder to, const ReplicatedSnapshot& snapshot) {
  to.setRouter(snapshot.router);
  to.setAt(snapshot.taken_at);
  to.setPart(static_cast<std::uint16_t>(snapshot.part));
  to.setParts(static_cast<std::uint16_t>(snapshot.parts));
  to.setLink(static_cast<float>(snapshot.link_limit));
  to.setMisses(static_cast<float>(snapshot.miss_ratio));
  auto limits = to.initRooms(static_cast<unsigned>(snapshot.limits.size()));
  for (unsigned n = 0; n < limits.size(); ++n) {
    limits[n].setServer(snapshot.limits[n].endpoint);
    limits[n].setHops(static_cast<float>(snapshot.limits[n].attempts));
    limits[n].setFills(static_cast<float>(snapshot.limits[n].fills));
  }
  auto objects = to.initObjects(static_cast<unsigned>(snapshot.objects.size()));
  for (unsigned n = 0; n < objects.size(); ++n) {
    objects[n].setObject(snapshot.objects[n].object);
    objects[n].setCount(static_cast<float>(snapshot.objects[n].count));
  }
  auto times = to.initRules(static_cast<unsigned>(snapshot.service_times.size()));
  for (unsigned n = 0; n < times.size(); ++n) {
    times[n].setSending(static_cast<float>(snapshot.service_times[n].mean));
    times[n].setAnswers(static_cast<std::uint32_t>(snapshot.service_times[n].answers));
  }
}

ReplicatedSnapshot read(const schema::Belief::Reader& from) {
  constexpr std::uint32_t kMaxAnswers = 1000000;
  ReplicatedSnapshot snapshot{
      .router = from.getRouter(),
      .taken_at = checked_time(from.getAt()),
      .part = from.getPart(),
      .parts = from.getParts(),
      .link_limit = checked_snapshot_value(from.getLink()),
      .miss_ratio = from.getMisses() < 0 ? -1 : std::min(1.0, checked_snapshot_value(from.getMisses()))};
  for (const auto limit : from.getRooms())
    snapshot.limits.push_back({limit.getServer(), checked_snapshot_value(limit.getHops()),
                               checked_snapshot_value(limit.getFills())});
  for (const auto object : from.getObjects())
    snapshot.objects.push_back({object.getObject(), checked_snapshot_value(object.getCount())});
  for (const auto time : from.getRules())
    snapshot.service_times.push_back({checked_snapshot_value(time.getSending()),
                                      static_cast<int>(std::min(time.getAnswers(), kMaxAnswers))});
  return snapshot;
}

void write(schema::Item::Builder to, const Item& item) {
  to.setKind(item.kind);
  to.setBytes({reinterpret_cast<const kj::byte*>(item.bytes.data()), item.bytes.size()});
}

Item read(const schema::Item::Reader& from) {
  const auto bytes = from.getBytes();
  return {from.getKind(), {reinterpret_cast<const char*>(bytes.begin()), bytes.size()}};
}

ReceivedPacket read(const schema::Packet::Reader& from, int peer) {
  ReceivedPacket received{
      .packet = {}, .incarnation = from.getIncarnation(), .channel_versions = from.getReads()};
  auto& packet = received.packet;
  packet.kind = static_cast<PacketKind>(from.getKind());
  packet.peer = peer;
  packet.number = from.getNumber();
  packet.target_name = from.getAbout();
  packet.deltas = from.getFills();
  packet.truncated = from.getMore();
  for (const auto fact : from.getFacts()) packet.observations.push_back(read(fact));
  for (const auto record : from.getRecords()) packet.records.push_back(read(record));
  for (const auto digest : from.getDigests()) packet.digests.push_back(digest);
  if (from.hasBelief()) packet.snapshot = std::make_shared<const ReplicatedSnapshot>(read(from.getBelief()));
  for (const auto item : from.getItems()) packet.items.push_back(read(item));
  packet.sent_at = checked_time(from.getAt());
  return received;
}

}  // namespace

// The order of the init calls sets the order of the lists in the encoded bytes.
std::string encode_packet(const Packet& packet, const membership::MemberRecord& self) {
  capnp::MallocMessageBuilder message;
  auto to = message.initRoot<schema::Packet>();
  to.setVersion(kProtocolVersion);
  to.setKind(static_cast<std::uint8_t>(packet.kind));
  to.setMore(packet.truncated);
  to.setFills(packet.deltas);
  to.setFrom(self.member);
  to.setIncarnation(self.incarnation);
  to.setNumber(packet.number);
  to.setAbout(packet.target_name);
  auto records = to.initRecords(static_cast<unsigned>(packet.records.size()));
  for (unsigned n = 0; n < records.size(); ++n) write(records[n], packet.records[n]);
  auto facts = to.initFacts(static_cast<unsigned>(packet.observations.size()));
  for (unsigned n = 0; n < facts.size(); ++n) write(facts[n], packet.observations[n]);
  auto digests = to.initDigests(static_cast<unsigned>(packet.digests.size()));
  for (unsigned n = 0; n < digests.size(); ++n) digests.set(n, packet.digests[n]);
  if (packet.snapshot) write(to.initBelief(), *packet.snapshot);
  if (!packet.items.empty()) {
    auto items = to.initItems(static_cast<unsigned>(packet.items.size()));
    for (unsigned n = 0; n < items.size(); ++n) write(items[n], packet.items[n]);
  }
  to.setAt(packet.sent_at);
  to.setReads(self.channel_versions);
  return message_bytes(message);
}

std::optional<ReceivedPacket> decode_packet(std::string_view bytes, const PeerOf& peer_of) {
  if (bytes.size() > kMaxPacketBytes) throw_bad_value("datagram length", std::to_string(bytes.size()));
  const auto read_packet = [&](const schema::Packet::Reader& from) -> std::optional<ReceivedPacket> {
    if (from.getVersion() < 1) throw_bad_value("version", std::to_string(from.getVersion()));
    const int peer = peer_of(from.getFrom());
    if (peer < 0) return std::nullopt;
    return read(from, peer);
  };
  return replica::read_root<schema::Packet>(bytes, kMaxReadBytes, read_packet);
}

bool deliver_packet(std::string_view bytes, const PeerOf& peer_of, Gossip& gossip, Seconds now) {
  const auto received = decode_packet(bytes, peer_of);
  if (received) gossip.receive(*received, now);
  return received.has_value();
}

std::string encode_observation(const EndpointObservation& observation) {
  capnp::MallocMessageBuilder message;
  write(message.initRoot<schema::Fact>(), observation);
  return message_bytes(message);
}

EndpointObservation decode_observation(std::string_view bytes) {
  return replica::read_root<schema::Fact>(bytes, kMaxReadBytes,
                                          [](const schema::Fact::Reader& from) { return read(from); });
}

std::string encode_snapshot(const ReplicatedSnapshot& snapshot) {
  capnp::MallocMessageBuilder message;
  write(message.initRoot<schema::Belief>(), snapshot);
  return message_bytes(message);
}

ReplicatedSnapshot decode_snapshot(std::string_view bytes) {
  return replica::read_root<schema::Belief>(bytes, kMaxReadBytes,
                                            [](const schema::Belief::Reader& from) { return read(from); });
}

}  // namespace walkpaddle::gossip
