#include "gossip/exchange.h"

#include <algorithm>

#include "gossip/digest.h"

namespace walkpaddle::gossip {

namespace {

// Writes the entries of ranges that differ into delta datagrams of one comparison.
class DeltaWriter {
 public:
  DeltaWriter(const SharedState& shared, PacketQueue& queue, const Bounds& bounds, int peer,
              std::uint64_t number)
      : shared_(shared), queue_(queue), bounds_(bounds), peer_(peer), number_(number), packet_(empty()) {}

  void add(const RangeContent& content) {
    switch (content.kind) {
      case RangeContent::Kind::observations:
        return add_observations(content.range);
      case RangeContent::Kind::records:
        return add_records(content.range);
      case RangeContent::Kind::items:
        return add_items(content);
    }
  }

  void flush() {
    if (packet_.observations.empty() && packet_.records.empty() && packet_.items.empty()) return;
    item_bytes_ = 0;
    queue_.push(std::exchange(packet_, empty()));
    ++written_;
  }

  std::uint32_t written() const { return written_; }

 private:
  Packet empty() const { return {.kind = PacketKind::delta, .peer = peer_, .number = number_}; }

  void add_observations(int range) {
    for (const auto& observation : shared_.tracker.observations().of_range(range)) {
      packet_.observations.push_back(observation);
      if (packet_.observations.size() >= bounds_.observations_per_packet) flush();
    }
  }

  void add_records(int range) {
    add_record(shared_.members.self(), range);
    for (std::size_t p = 0; p < shared_.members.peers().size(); ++p)
      if (const auto record = shared_.members.record(static_cast<int>(p))) add_record(*record, range);
  }

  void add_record(const membership::MemberRecord& record, int range) {
    if (member_range(record.member) != range) return;
    packet_.records.push_back(record);
    if (packet_.records.size() >= bounds_.records_per_packet) flush();
  }

  void add_items(const RangeContent& content) {
    const auto* state = shared_.find(content.state);
    if (state == nullptr) return;
    for (const auto id : state->ids_of_range(content.range)) {
      auto item = state->bytes(id);
      if (item_bytes_ > 0 && item_bytes_ + item.size() > bounds_.item_bytes_per_packet) flush();
      item_bytes_ += item.size();
      packet_.items.push_back({content.state, std::move(item)});
    }
    flush();
  }

  const SharedState& shared_;
  PacketQueue& queue_;
  const Bounds& bounds_;
  const int peer_;
  const std::uint64_t number_;
  Packet packet_;
  std::size_t item_bytes_ = 0;
  std::uint32_t written_ = 0;
};

}  // namespace

Exchange::Exchange(SharedState& shared, PacketQueue& queue, const Bounds& bounds, std::uint32_t seed,
                   Seconds now)
    : shared_(shared),
      queue_(queue),
      bounds_(bounds),
      random_(seed),
      number_(static_cast<std::uint64_t>(random_()) << 32),
      compare_at_(now),
      catch_up_from_(now) {}

// Starts at a random range, so that it is not always the same ranges that are left out for want of room.
Exchange::Sent Exchange::send_differing(int peer, std::uint64_t number,
                                        std::span<const std::uint64_t> theirs) {
  const auto ours = digests_of(shared_);
  const auto max_deltas = std::min(bounds_.max_deltas, queue_.free_slots());
  const auto start = random_() % ours.size();
  DeltaWriter deltas(shared_, queue_, bounds_, peer, number);
  bool truncated = false;
  for (std::size_t n = 0; n < ours.size() && !truncated; ++n) {
    const auto place = (start + n) % ours.size();
    if (place >= theirs.size() || ours[place] == theirs[place]) continue;
    truncated = deltas.written() >= max_deltas;
    if (!truncated) deltas.add(content_of_range(place));
  }
  deltas.flush();
  return {deltas.written(), truncated};
}

void Exchange::handle_digest(int from, std::uint64_t number, std::span<const std::uint64_t> theirs) {
  // Unanswered, the peer compares with another member, or tries again.
  if (queue_.free_slots() <= bounds_.max_deltas) return;
  const auto sent = send_differing(from, number, theirs);
  queue_.push({.kind = PacketKind::digest_reply,
               .peer = from,
               .number = number,
               .deltas = sent.deltas,
               .truncated = sent.truncated,
               .digests = digests_of(shared_)});
}

void Exchange::handle_delta(int from, std::uint64_t number) {
  const auto it = comparisons_.find(from);
  if (it != comparisons_.end() && it->second.number == number) ++it->second.deltas;
}

// The reply has the digests of the peer's copy after it sent its deltas. Ranges that still differ hold what
// the peer lacks, or what was lost on the way.
void Exchange::handle_reply(const Packet& reply, Seconds now) {
  const auto it = comparisons_.find(reply.peer);
  if (it == comparisons_.end() || it->second.number != reply.number) return;
  const bool complete = it->second.deltas >= reply.deltas && !reply.truncated;
  comparisons_.erase(it);
  send_differing(reply.peer, 0, reply.digests);
  if (complete && catching_up_) note_complete_peer(reply.peer, now);
}

void Exchange::note_complete_peer(int from, Seconds now) {
  complete_peers_.insert(from);
  const int complete_count = static_cast<int>(complete_peers_.size());
  if (complete_count < std::min(bounds_.catch_up_peers, shared_.members.alive_count())) return;
  catching_up_ = false;
  report_ = {now - catch_up_from_, complete_count, shared_.observations_received - received_before_};
  compare_at_ = now + bounds_.compare_interval;
}

void Exchange::start_catch_up(Seconds now) {
  catching_up_ = true;
  complete_peers_.clear();
  comparisons_.clear();
  catch_up_from_ = now;
  compare_at_ = now;
  received_before_ = shared_.observations_received;
}

void Exchange::compare_if_due(Seconds now) {
  constexpr Seconds kReplyTimeout = 5;
  constexpr int kMaxDraws = 8;  // draws for a member that has not sent everything yet
  if (now < compare_at_) return;
  std::erase_if(comparisons_, [&](const auto& c) { return now > c.second.started_at + kReplyTimeout; });
  const Seconds interval = catching_up_ ? bounds_.catch_up_interval : bounds_.compare_interval;
  // 0.5 to 1.5 intervals, so that routers that started together do not stay in step.
  compare_at_ = now + interval * std::uniform_real_distribution<>(0.5, 1.5)(random_);
  auto& members = shared_.members;
  int peer = members.random_alive_peer();
  for (int draw = 0; draw < kMaxDraws && peer >= 0 && complete_peers_.contains(peer); ++draw)
    peer = members.random_alive_peer();
  if (peer < 0) return;
  ++number_;
  comparisons_[peer] = {.number = number_, .started_at = now};
  queue_.push({.kind = PacketKind::digest, .peer = peer, .number = number_, .digests = digests_of(shared_)});
}

}  // namespace walkpaddle::gossip
