// How members and facts of cache servers go round a fleet, without I/O. News is pushed to a few members drawn
// by chance, some rounds long (rumour mongering: Demers et al., 1987); what pushes miss is found by comparing
// digests of ranges with one member at a time (anti-entropy), which sends only ranges that differ. All of it
// in datagrams of bounded size and number, so that what a router sends does not grow with the fleet. A router
// that starts, or that stood still, compares with one member after the other until two have sent all that it
// lacked: it serves meanwhile.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <vector>

#include "fleet/keepers.h"
#include "membership/membership.h"
#include "replica/observation_tracker.h"
#include "replica/replicated_state.h"

namespace walkpaddle::fleet {

class Gossip {
 public:
  struct Bounds {
    int fanout = 4;          // of one round: half of 300 know after four rounds, the last after seven
    Seconds round = 0.05;    // between rounds; the first of news goes at once
    Seconds compare = 2;     // with one member, in calm: what pushes missed is found in seconds
    Seconds catch_up = 0.1;  // while this router catches up
    int synced = 2;          // members that have sent all: one may lag itself
    std::size_t observations = 16,
                records = 8;     // of a datagram: with 56 and 32 bytes each within an Ethernet frame
    std::size_t fills = 64;      // datagrams for one digest: some 70 kB, then the next round
    std::size_t waiting = 512;   // datagrams that wait to go out; past it digests are not answered
    std::size_t rumours = 4096;  // past it only digests carry
    std::size_t items = 1040;    // bytes of other kinds' items in a datagram, at least one
  };
  enum class Kind : std::uint8_t { ping, ack, nack, ask, news, digest, answer, fill, belief, recall, letter };
  struct Item {
    std::uint8_t kind = 0;  // replica::Kind's number
    std::string bytes;
  };
  struct Packet {
    Kind kind = Kind::news;
    int peer = -1;
    // Of a probe or a comparison; whom an ask is about; of an answer how many fills went before it, and
    // whether there is more.
    std::uint64_t number = 0, about = 0;
    std::uint32_t fills = 0;
    bool more = false;
    std::vector<membership::MemberRecord> records{};
    std::vector<replica::EndpointObservation> observations{};
    std::vector<std::uint64_t> digests{};
    std::shared_ptr<const Belief> belief{};
    std::vector<Item> items{};  // of a letter: the one that it is
    Seconds at = 0;             // on the sender's clock
  };
  struct Caught {
    Seconds took = 0;
    int members = 0;  // that sent all; 0: there was none to ask
    std::uint64_t observations = 0;
  };

  Gossip(membership::Membership& members, replica::ObservationTracker& watch, Keepers& keepers,
         const Bounds& bounds, std::uint32_t seed, Seconds now);
  // Beside members and facts; each kind once, before anything is heard.
  void carry(replica::ReplicatedState& kind) { kinds_.push_back(&kind); }

  // Inputs, in the order of a datagram's parts: its head, its records, facts and items, its kind.
  void head(int from, std::uint64_t incarnation, std::uint64_t reads, Seconds at, Seconds now);
  void item(std::uint8_t kind, std::string_view bytes, Seconds now);
  void letter(int from, const Item& item, Seconds now);
  void record(const membership::MemberRecord& record, Seconds now) { members_.join(record, now); }
  void fact(const replica::EndpointObservation& fact, Seconds now);
  void probe(int from, membership::Probe::Kind kind, std::uint64_t number, std::uint64_t about, Seconds now);
  void belief(int from, Belief belief, Seconds now);
  void recall(int from) { keepers_.asked(from); }
  void fill(int from, std::uint64_t number);
  void digest(int from, std::uint64_t number, std::span<const std::uint64_t> theirs, Seconds now);
  void answer(int from, std::uint64_t number, std::span<const std::uint64_t> theirs, std::uint32_t fills,
              bool more, Seconds now);

  std::optional<Packet> next(Seconds now);  // until none
  Seconds next_due(Seconds now) const;

  bool catching_up() const { return catching_up_; }
  std::optional<Caught> take_caught() { return std::exchange(caught_, std::nullopt); }  // once each time
  std::uint64_t facts_heard() const { return facts_heard_; }
  std::uint64_t unreadable_items() const { return unreadable_items_; }
  // By how much this router's clock is apart from the middle of the others' that lately spoke; 0 where fewer
  // than two did. A datagram's way counts as nothing: it is far under what matters.
  Seconds clock_apart(Seconds now) const;
  static constexpr int kMemberRanges = 8;
  // Of the facts' ranges, of the members', then of each kind's in the order of their numbers.
  std::vector<std::uint64_t> digests() const;

 private:
  struct Comparison {
    std::uint64_t number = 0;
    Seconds at = 0;
    std::uint32_t fills = 0;
  };
  std::optional<Packet> take_next(Seconds now);
  void collect();
  std::uint32_t send_differing(int peer, std::uint64_t number, std::span<const std::uint64_t> theirs,
                               bool* more);
  void add_news(Packet& packet, bool spend);
  replica::ReplicatedState* kind_of(std::uint8_t number) const;
  bool reads_items(int peer) const;
  void compare(Seconds now);
  void start_catching_up(Seconds now);
  int rounds() const;
  bool rumours() const { return !facts_.empty() || !records_.empty() || !items_.empty(); }
  std::size_t budget() const { return bounds_.waiting - std::min(bounds_.waiting, waiting_.size()); }

  membership::Membership& members_;
  replica::ObservationTracker& watch_;
  Keepers& keepers_;
  const Bounds bounds_;
  std::mt19937 chance_;
  std::map<replica::ObservationKey, int> facts_;                 // rumours: how many rounds are left
  std::map<std::uint64_t, int> records_;                         // the same of members, by name
  std::map<std::pair<std::uint8_t, std::uint64_t>, int> items_;  // the same of other kinds' items
  std::vector<replica::ReplicatedState*> kinds_;
  struct Clock {
    Seconds ahead = 0, heard = -1e9;  // of this router's
  };
  std::map<int, Clock> clocks_;  // by peer
  std::deque<Packet> waiting_;
  std::map<int, Comparison> comparisons_;  // the last one with each member that was asked
  std::set<int> synced_;
  std::optional<Caught> caught_;
  std::uint64_t number_ = 0, facts_heard_ = 0, facts_before_ = 0, unreadable_items_ = 0;
  Seconds round_at_ = 0, compare_at_, caught_from_;
  bool catching_up_ = true;
};

}  // namespace walkpaddle::fleet
