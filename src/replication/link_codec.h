/// \file
/// Codec for the messages between routers and for stored purges (Cap'n Proto, fleet/fleet.capnp). On the wire
/// a message follows its length, four bytes in big-endian order. Malformed input throws InputError before any
/// of it is passed on. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "purge/entry.h"
#include "purge/purge_replication.h"

namespace walkpaddle::replication {

constexpr std::size_t kMaxMessageBytes =
    65536;  ///< enough for a heartbeat with the heads of a thousand issuers

/// Receives the messages of one link as they are decoded.
class LinkMessageHandler {
 public:
  /// The first message: the sender's protocol version and name.
  virtual void hello(int version, std::string_view name) = 0;
  /// Starts a heartbeat. `remote_time` is the sender's clock, `echo` the latest time that the sender received
  /// from this router, and `complete` tells whether its log has all purges accepted before its start.
  virtual void heartbeat(Seconds remote_time, Seconds echo, bool complete) = 0;
  /// The sender's log has the issuer's numbers up to `number` and has since dropped those up to `dropped`.
  /// `evicted_ago` is the age of the newest purge that was dropped for lack of space, 0 for none.
  virtual void head(std::uint64_t issuer, std::uint64_t number, std::uint64_t dropped,
                    Seconds evicted_ago) = 0;
  /// Ends a heartbeat.
  virtual void heartbeat_end() = 0;
  /// A purge.
  virtual void entry(const purge::PurgeStamp& stamp, purge::PurgeKind kind, std::string_view target) = 0;
  /// A request for this issuer's purges from `from_number` on.
  virtual void request(std::uint64_t issuer, std::uint64_t from_number) = 0;

 protected:
  ~LinkMessageHandler() = default;
};

/// Decodes the message at the start of `bytes` and passes it to `handler`. Returns the number of bytes
/// consumed, 0 if the message is incomplete. Throws InputError.
std::size_t read_link_message(std::string_view bytes, LinkMessageHandler& handler);

/// See LinkMessageHandler::hello; the version is gossip::kProtocolVersion.
std::string encode_hello(std::string_view name);
/// See LinkMessageHandler::heartbeat; `now` is this router's clock.
std::string encode_heartbeat(const purge::PurgeLog& log, const purge::PurgeReplication& replication,
                             Seconds now, Seconds echo);
/// See LinkMessageHandler::entry.
std::string encode_purge(const purge::PurgeEntry& entry);
/// See LinkMessageHandler::request.
std::string encode_request(std::uint64_t issuer, std::uint64_t from_number);

/// Encodes a purge for the store, with its `valid_since` and position.
std::string encode_stored_purge(const purge::PurgeEntry& entry);
/// Decodes the result of encode_stored_purge(). Throws InputError if it is malformed.
purge::PurgeEntry decode_stored_purge(std::string_view bytes);

}  // namespace walkpaddle::replication
