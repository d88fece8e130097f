#include "replication/link_codec.h"

#include <algorithm>
#include <utility>

#include "base/text.h"
#include "fleet/fleet.capnp.h"
#include "gossip/protocol_version.h"
#include "replica/capnp_message.h"

namespace walkpaddle::replication {

namespace schema = fleet::schema;
using replica::checked_time;
using replica::message_bytes;
using replica::text_view;

namespace {

constexpr std::size_t kLengthBytes = 4;
constexpr unsigned kByteMask = 255;

std::string framed(capnp::MallocMessageBuilder& message) {
  const auto bytes = message_bytes(message);
  std::string frame;
  for (int shift = 24; shift >= 0; shift -= 8) frame += static_cast<char>(bytes.size() >> shift & kByteMask);
  return frame + bytes;
}

purge::PurgeKind checked_kind(int number) {
  if (number >= purge::kPurgeKindCount) throw_bad_value("purge kind", std::to_string(number));
  return static_cast<purge::PurgeKind>(number);
}

std::string_view checked_target(const schema::Entry::Reader& entry) {
  const auto target = text_view(entry.getWhat());
  if (target.size() > purge::kMaxTargetBytes)
    throw_bad_value("length of a purge target", std::to_string(target.size()));
  if (entry.getNumber() == 0) throw_bad_value("purge number", "0");
  return target;
}

void check(const schema::Head::Reader& head) {
  checked_time(head.getGivenUpAgo());
  if (head.getBase() > head.getNumber())
    throw_bad_value("number in a heartbeat head", std::to_string(head.getNumber()));
}

void deliver(const schema::Beat::Reader& beat, LinkMessageHandler& handler) {
  const Seconds remote_time = checked_time(beat.getTime());
  const Seconds echo = checked_time(beat.getEcho());
  const auto heads = beat.getHeads();
  for (const auto head : heads) check(head);
  handler.heartbeat(remote_time, echo, beat.getWhole());
  for (const auto head : heads)
    handler.head(head.getIssuer(), head.getNumber(), head.getBase(), head.getGivenUpAgo());
  handler.heartbeat_end();
}

void deliver(const schema::Entry::Reader& entry, LinkMessageHandler& handler) {
  const auto target = checked_target(entry);
  const purge::PurgeStamp stamp{checked_time(entry.getAt()), entry.getIssuer(), entry.getNumber()};
  handler.entry(stamp, checked_kind(entry.getKind()), target);
}

void deliver(const schema::Message::Reader& message, LinkMessageHandler& handler) {
  switch (message.which()) {
    case schema::Message::HELLO: {
      const auto hello = message.getHello();
      return handler.hello(hello.getVersion(), text_view(hello.getName()));
    }
    case schema::Message::BEAT:
      return deliver(message.getBeat(), handler);
    case schema::Message::ENTRY:
      return deliver(message.getEntry(), handler);
    case schema::Message::WANT:
      return handler.request(message.getWant().getIssuer(), message.getWant().getFrom());
    case schema::Message::RETIRED_FACTS:
    case schema::Message::RETIRED_HELD:
      return;
  }
  // A message type of a newer version is ignored.
}

void write(schema::Entry::Builder to, const purge::PurgeEntry& entry) {
  to.setAt(entry.stamp.issued_at);
  to.setIssuer(entry.stamp.issuer);
  to.setNumber(entry.stamp.number);
  to.setKind(static_cast<std::uint8_t>(entry.kind));
  to.setWhat(entry.target.c_str());
}

}  // namespace

std::size_t read_link_message(std::string_view bytes, LinkMessageHandler& handler) {
  if (bytes.size() < kLengthBytes) return 0;
  std::size_t length = 0;
  for (std::size_t n = 0; n < kLengthBytes; ++n) length = length << 8 | static_cast<unsigned char>(bytes[n]);
  if (length == 0 || length > kMaxMessageBytes || length % sizeof(capnp::word) != 0)
    throw_bad_value("message length", std::to_string(length));
  if (bytes.size() < kLengthBytes + length) return 0;
  replica::read_root<schema::Message>(
      bytes.substr(kLengthBytes, length), kMaxMessageBytes,
      [&](const schema::Message::Reader& message) { deliver(message, handler); });
  return kLengthBytes + length;
}

std::string encode_hello(std::string_view name) {
  capnp::MallocMessageBuilder message;
  auto hello = message.initRoot<schema::Message>().initHello();
  hello.setVersion(gossip::kProtocolVersion);
  hello.setName(std::string(name).c_str());
  return framed(message);
}

std::string encode_heartbeat(const purge::PurgeLog& log, const purge::PurgeReplication& replication,
                             Seconds now, Seconds echo) {
  constexpr Seconds kMinAge = 1e-6;  // 0 on the wire means that nothing was evicted
  capnp::MallocMessageBuilder message;
  auto beat = message.initRoot<schema::Message>().initBeat();
  beat.setTime(now);
  beat.setEcho(echo);
  beat.setWhole(replication.complete());
  auto heads = beat.initHeads(static_cast<unsigned>(log.issuers().size()));
  unsigned n = 0;
  for (const auto& [issuer, progress] : log.issuers()) {
    auto head = heads[n];
    ++n;
    head.setIssuer(issuer);
    head.setNumber(replication.acknowledged(issuer));
    head.setBase(std::min(progress.dropped, replication.acknowledged(issuer)));
    head.setGivenUpAgo(
        progress.evicted_valid_since > 0 ? std::max(kMinAge, now - progress.evicted_valid_since) : 0);
  }
  return framed(message);
}

std::string encode_purge(const purge::PurgeEntry& entry) {
  capnp::MallocMessageBuilder message;
  write(message.initRoot<schema::Message>().initEntry(), entry);
  return framed(message);
}

std::string encode_request(std::uint64_t issuer, std::uint64_t from_number) {
  capnp::MallocMessageBuilder message;
  auto want = message.initRoot<schema::Message>().initWant();
  want.setIssuer(issuer);
  want.setFrom(from_number);
  return framed(message);
}

std::string encode_stored_purge(const purge::PurgeEntry& entry) {
  capnp::MallocMessageBuilder message;
  auto stored = message.initRoot<schema::Entry>();
  write(stored, entry);
  stored.setFrom(entry.valid_since);
  stored.setPlace(entry.position);
  return message_bytes(message);
}

purge::PurgeEntry decode_stored_purge(std::string_view bytes) {
  return replica::read_root<schema::Entry>(bytes, kMaxMessageBytes, [](const schema::Entry::Reader& entry) {
    const auto target = checked_target(entry);
    return purge::PurgeEntry{.stamp = {checked_time(entry.getAt()), entry.getIssuer(), entry.getNumber()},
                             .kind = checked_kind(entry.getKind()),
                             .target = std::string(target),
                             .valid_since = checked_time(entry.getFrom()),
                             .position = entry.getPlace()};
  });
}

}  // namespace walkpaddle::replication
