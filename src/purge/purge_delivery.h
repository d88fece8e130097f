/// \file
/// Tracks which purges each cache server has confirmed, without I/O. Purges are sent in order of position,
/// with a bounded number unconfirmed. A cache server's cursor is the position up to which it has applied this
/// router's purges. It is requested again after a connection was lost: a cache server that restarted empty
/// reports 0.
///
/// Threads: not thread-safe. Lifetime: the log must outlive the delivery.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "purge/purge_log.h"

namespace walkpaddle::purge {

/// Delivery of purges to cache servers. A cache server is identified by its endpoint index.
class PurgeDelivery {
 public:
  /// A message to send to one cache server.
  struct Message {
    int server = -1;                    ///< index of the cache server
    const PurgeEntry* entry = nullptr;  ///< the purge to send; null to request the cursor
  };

  /// Starts with no cache servers listed.
  explicit PurgeDelivery(const PurgeLog& log) : log_(log) {}

  /// Sets whether the endpoint list names the cache server. One that is not listed is sent nothing and is not
  /// reported as unconfirmed.
  void set_listed(int server, bool listed) { at(server).listed = listed; }
  /// Limits sending to purges up to this position. Later ones are not durable yet, and a restart of the
  /// router would lose them.
  void allow_up_to(std::uint64_t position) { allowed_ = position; }
  /// Reports a lost connection. Unconfirmed purges are sent again once the cursor has been reported.
  void connection_lost(int server);
  /// Reports that a message could not be sent, since there is no connection yet. Sending is retried shortly.
  void postpone(int server, Seconds now);
  /// Sets the cursor that the cache server reported, 0 if it has no purge from this router. A cursor past the
  /// end of the log counts as 0.
  void cursor_reported(int server, std::uint64_t position);
  /// Records that the cache server confirmed all purges up to `position`.
  void confirmed(int server, std::uint64_t position, Seconds now);
  /// Stops delivery to a cache server that does not know the command.
  void command_unsupported(int server) { at(server).state = State::unsupported; }

  /// The next message to send. The caller repeats the call until it returns nullopt.
  std::optional<Message> next(Seconds now);

  /// The listed cache servers that support purges and have not confirmed `position`.
  std::vector<int> unconfirmed(std::uint64_t position) const;
  /// The position up to which the cache server has confirmed all purges.
  std::uint64_t confirmed_by(int server) const;

 private:
  enum class State { unknown, cursor_requested, delivering, unsupported };

  struct CacheServer {
    State state = State::unknown;
    bool listed = false;
    std::uint64_t confirmed = 0;  // position
    std::uint64_t sent = 0;       // position, at least `confirmed`
    Seconds retry_at = 0;
  };

  static constexpr std::uint64_t kMaxUnconfirmed = 32;  // a few kilobytes in flight to one server
  // Time without an answer before a retry; the same as the shortest ejection of an endpoint.
  static constexpr Seconds kRetryAfter = 0.5;

  CacheServer& at(int server);
  std::optional<Message> next_for(int server, Seconds now);

  const PurgeLog& log_;
  std::uint64_t allowed_ = ~std::uint64_t{};
  std::vector<CacheServer> servers_;
};

}  // namespace walkpaddle::purge
