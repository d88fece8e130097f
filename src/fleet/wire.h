// The messages between routers as bytes, and the entries of the store. No I/O. A message stands behind its
// length, four bytes, big end first. What cannot be read is InputError; nothing of it is handed on.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

#include "compat/announcement.h"
#include "fleet/gossip.h"
#include "fleet/sync.h"

namespace walkpaddle::fleet {

using purge::Kind, purge::Stamp;

constexpr int kVersion = 1;
// What this program reads of each channel; schemas/rules.json says the same, and compat_kept holds them
// together.
constexpr int kReads[compat::kAnnouncedChannels] = {1, 2, 1, 1, 1};
constexpr std::size_t kLargestMessage = 64 * 1024;  // a beat with the heads of a thousand issuers

// Where the decoded fields go.
class Messages {
 public:
  virtual void hello(int version, std::string_view name) = 0;
  virtual void beat(Seconds theirs, Seconds echo, bool whole) = 0;
  virtual void head(std::uint64_t issuer, std::uint64_t number, std::uint64_t base, Seconds given_up_ago) = 0;
  virtual void beat_end() = 0;
  virtual void entry(const Stamp& stamp, Kind kind, std::string_view what) = 0;
  virtual void want(std::uint64_t issuer, std::uint64_t from) = 0;

 protected:
  ~Messages() = default;
};

// One message at the front of `bytes`; gives the bytes taken, 0 while it is not whole.
std::size_t read_message(std::string_view bytes, Messages& into);

std::string hello_message(std::string_view name);
std::string beat_message(const purge::Book& book, const Sync& sync, Seconds now, Seconds echo);
std::string entry_message(const Entry& entry);
std::string want_message(std::uint64_t issuer, std::uint64_t from);

// A datagram of the gossip: read whole before anything of it is handed on. `peer_of` gives the index of the
// sender, -1 for a stranger, of whom nothing is taken.
constexpr std::size_t kLargestPacket = 4096;
std::string packet_bytes(const Gossip::Packet& packet, const Members::Record& self);
bool read_packet(std::string_view bytes, const std::function<int(std::uint64_t name)>& peer_of, Gossip& into,
                 Seconds now);

// A fact, and what was learnt, as they stand in the store.
std::string stored_text(const replica::Fact& fact);
std::string stored_text(const Belief& belief);
Belief stored_belief(std::string_view bytes);       // InputError if it cannot be read
replica::Fact stored_fact(std::string_view bytes);  // InputError if it cannot be read

// Keys of the store: a letter or nothing, then the numbers, big end first.
std::string numbers_text(std::string text, std::initializer_list<std::uint64_t> numbers);

// An entry as it stands in the store, with `from` and its place; read back it is handed to `take`.
std::string stored_text(const Entry& entry);
Entry stored_entry(std::string_view bytes);  // InputError if it cannot be read

}  // namespace walkpaddle::fleet
