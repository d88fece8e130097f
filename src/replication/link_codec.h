/// \file
/// The messages on the links between routers as bytes, and purges as they stand in the store (Cap'n Proto,
/// fleet/fleet.capnp). A message stands behind its length, four bytes, big end first. What cannot be read is
/// InputError; nothing of it is handed on. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "purge/entry.h"
#include "purge/purge_replication.h"

namespace walkpaddle::replication {

constexpr std::size_t kMaxMessageBytes = 65536;  ///< a heartbeat with the heads of a thousand issuers

/// Takes the messages of one link as they are read.
class LinkMessageHandler {
 public:
  /// The first message: who the other router is.
  virtual void hello(int version, std::string_view name) = 0;
  /// A heartbeat begins. `theirs`: the sender's clock. `echo`: the latest time that it had from here.
  /// `whole`: it holds all that was accepted before its start.
  virtual void heartbeat(Seconds theirs, Seconds echo, bool whole) = 0;
  /// What the sender holds of an issuer: up to `number`, dropped up to `base`.
  virtual void head(std::uint64_t issuer, std::uint64_t number, std::uint64_t base, Seconds given_up_ago) = 0;
  /// The heartbeat ends.
  virtual void heartbeat_end() = 0;
  /// A purge.
  virtual void entry(const purge::PurgeStamp& stamp, purge::PurgeKind kind, std::string_view what) = 0;
  /// The sender asks for this issuer's purges from a number on.
  virtual void request(std::uint64_t issuer, std::uint64_t from) = 0;

 protected:
  ~LinkMessageHandler() = default;
};

/// Reads one message at the front of `bytes`; gives the bytes taken, 0 while it is not whole. Throws
/// InputError.
std::size_t read_link_message(std::string_view bytes, LinkMessageHandler& handler);

/// The bytes of each message.
std::string encode_hello(std::string_view name);
/// See LinkMessageHandler::heartbeat; `now` is the sender's clock.
std::string encode_heartbeat(const purge::PurgeLog& log, const purge::PurgeReplication& replication,
                             Seconds now, Seconds echo);
/// See LinkMessageHandler::entry.
std::string encode_purge(const purge::PurgeEntry& entry);
/// See LinkMessageHandler::request.
std::string encode_request(std::uint64_t issuer, std::uint64_t from);

/// A purge as it stands in the store, with its place.
std::string encode_stored_purge(const purge::PurgeEntry& entry);
/// Throws InputError if it cannot be read.
purge::PurgeEntry decode_stored_purge(std::string_view bytes);

}  // namespace walkpaddle::replication
