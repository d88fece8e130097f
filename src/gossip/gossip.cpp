#include "gossip/gossip.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/error.h"
#include "compat/announcement.h"
#include "gossip/digest.h"

namespace walkpaddle::gossip {

Gossip::Gossip(membership::Membership& members, replica::ObservationTracker& tracker,
               SnapshotReplicas& snapshots, const Bounds& bounds, std::uint32_t seed, Seconds now)
    : shared_{.members = members, .tracker = tracker},
      snapshots_(snapshots),
      bounds_(bounds),
      queue_(bounds.max_queued),
      rumours_(shared_, bounds),
      exchange_(shared_, queue_, bounds, seed, now) {}

std::vector<std::uint64_t> Gossip::digests() const { return digests_of(shared_); }

void Gossip::receive(const ReceivedPacket& received, Seconds now) {
  const auto& packet = received.packet;
  shared_.members.note_contact(packet.peer, received.incarnation, received.channel_versions, now);
  if (packet.sent_at > 0 && !shared_.states.empty()) clocks_.note(packet.peer, packet.sent_at, now);
  for (const auto& record : packet.records) shared_.members.join(record, now);
  for (const auto& observation : packet.observations)
    if (shared_.tracker.receive(observation, now) == replica::EndpointObservations::JoinResult::changed)
      ++shared_.observations_received;
  for (const auto& item : packet.items) {
    if (packet.kind == PacketKind::message)
      receive_message(packet.peer, item, now);
    else
      receive_item(item, now);
  }
  dispatch(packet, now);
}

// An unreadable item is counted and dropped alone; an item of a state unknown here is ignored.
void Gossip::receive_item(const Item& item, Seconds now) try {
  if (auto* state = shared_.find(item.kind)) state->join(item.bytes, now);
} catch (const InputError&) {
  ++unreadable_items_;
}

void Gossip::receive_message(int from, const Item& item, Seconds now) try {
  if (auto* state = shared_.find(item.kind)) state->receive(from, item.bytes, now);
} catch (const InputError&) {
  ++unreadable_items_;
}

void Gossip::dispatch(const Packet& packet, Seconds now) {
  switch (packet.kind) {
    case PacketKind::ping:
      return shared_.members.handle_ping(packet.peer, packet.number);
    case PacketKind::ack:
      return shared_.members.handle_ack(packet.number);
    case PacketKind::nack:
      return shared_.members.handle_nack(packet.number);
    case PacketKind::ping_request:
      return shared_.members.handle_ping_request(packet.peer, packet.number, packet.target_name, now);
    case PacketKind::digest:
      return exchange_.handle_digest(packet.peer, packet.number, packet.digests);
    case PacketKind::digest_reply:
      return exchange_.handle_reply(packet, now);
    case PacketKind::delta:
      return exchange_.handle_delta(packet.peer, packet.number);
    case PacketKind::snapshot: {
      const auto sender = shared_.members.peers()[static_cast<std::size_t>(packet.peer)].name;
      if (packet.snapshot) snapshots_.receive(sender, *packet.snapshot, now);
      return;
    }
    case PacketKind::snapshot_request:
      return snapshots_.handle_request(packet.peer);
    case PacketKind::rumours:
    case PacketKind::message:
      return;
  }
  // Kinds of newer protocol versions are ignored.
}

bool Gossip::reads_items(int peer) const {
  constexpr int kItemsVersion = 2;  // version of the gossip channel that introduced items
  const auto versions = shared_.members.peers()[static_cast<std::size_t>(peer)].channel_versions;
  const int reads = compat::announced_version(versions, compat::AnnouncedChannel::gossip);
  return compat::version_to_write(kItemsVersion, {reads}) >= kItemsVersion;
}

std::optional<Packet> Gossip::next(Seconds now) {
  for (;;) {
    auto packet = next_packet(now);
    if (!packet || shared_.states.empty()) return packet;
    packet->sent_at = now;
    if (packet->items.empty() || reads_items(packet->peer)) return packet;
    // An older router would ignore the items.
    packet->items.clear();
    if (packet->kind != PacketKind::message) return packet;
  }
}

std::optional<Packet> Gossip::next_packet(Seconds now) {
  shared_.tracker.publish_due(now);
  const auto probe = shared_.members.next_probe(now);
  if (shared_.members.take_stall()) exchange_.start_catch_up(now);
  rumours_.collect();
  if (probe) return packet_of(*probe);
  queue_messages(now);
  exchange_.compare_if_due(now);
  queue_rumours(now);
  queue_snapshots(now);
  return queue_.pop();
}

Packet Gossip::packet_of(const membership::Probe& probe) {
  Packet packet{.kind = static_cast<PacketKind>(probe.kind),
                .peer = probe.peer,
                .number = probe.number,
                .target_name = probe.target_name};
  rumours_.add_to(packet, Rumours::Cost::free);
  // Tells a peer that it is suspected or taken for dead, so that it can refute that at once.
  const auto record = shared_.members.record(probe.peer);
  if (record && record->state != membership::MemberState::alive) packet.records.push_back(*record);
  return packet;
}

void Gossip::queue_messages(Seconds now) {
  for (auto* state : shared_.states) {
    while (queue_.free_slots() > bounds_.max_deltas) {
      auto message = state->next_message(now);
      if (!message) break;
      queue_.push({.kind = PacketKind::message,
                   .peer = message->peer,
                   .items = {{state->number(), std::move(message->bytes)}}});
    }
  }
}

void Gossip::queue_rumours(Seconds now) {
  if (rumours_.empty() || now < round_at_ || shared_.members.alive_count() == 0) return;
  round_at_ = now + bounds_.round_interval;
  Packet packet{.kind = PacketKind::rumours};
  rumours_.add_to(packet, Rumours::Cost::round);
  std::set<int> receivers;
  const int draws = 4 * bounds_.fanout;
  for (int draw = 0; draw < draws && static_cast<int>(receivers.size()) < bounds_.fanout; ++draw)
    receivers.insert(shared_.members.random_alive_peer());
  for (const int receiver : receivers) {
    packet.peer = receiver;
    queue_.push(packet);
  }
}

void Gossip::queue_snapshots(Seconds now) {
  while (const auto send = snapshots_.next(now)) {
    const auto kind = send->snapshot ? PacketKind::snapshot : PacketKind::snapshot_request;
    queue_.push({.kind = kind, .peer = send->peer, .snapshot = send->snapshot});
  }
}

Seconds Gossip::next_due(Seconds now) const {
  if (!queue_.empty()) return now;
  Seconds due = std::min(
      {shared_.members.next_due(), shared_.tracker.next_due(), snapshots_.next_due(), exchange_.next_due()});
  for (const auto* state : shared_.states) due = std::min(due, state->next_due());
  if (!rumours_.empty() && shared_.members.alive_count() > 0) due = std::min(due, round_at_);
  return due;
}

}  // namespace walkpaddle::gossip
