/// \file
/// Which purges each cache server has confirmed, without I/O. Purges go out in this router's order of
/// arrival, a bounded number ahead of what was confirmed. Each cache server has a cursor; what it confirmed
/// in an earlier run counts only if it says so itself: one that started empty reports 0.
///
/// Threads: one at a time. Lifetime: the log outlives the delivery.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "purge/purge_log.h"

namespace walkpaddle::purge {

/// The purges on their way to cache servers. A cache server is named by its index among the endpoints.
class PurgeDelivery {
 public:
  /// What is to be sent to one cache server.
  struct Message {
    int server = -1;                    ///< index of the cache server
    const PurgeEntry* entry = nullptr;  ///< the purge; null: ask the cache server for its cursor
  };

  /// Nothing is listed yet.
  explicit PurgeDelivery(const PurgeLog& log) : log_(log) {}

  /// Whether the endpoint list names the cache server; others get nothing and are not waited for.
  void set_listed(int server, bool listed) { at(server).listed = listed; }
  /// Purges past this position are not sent: a restart would lose them.
  void allow_up_to(std::uint64_t position) { allowed_ = position; }
  /// What was sent and not confirmed is sent again once the cursor is known.
  void connection_lost(int server);
  /// There is no connection yet: what was to be sent is sent a little later.
  void postpone(int server, Seconds now);
  /// The cache server reports its cursor, 0 if it has no purge from this router.
  void cursor_reported(int server, std::uint64_t position);
  /// The cache server confirms all up to there.
  void confirmed(int server, std::uint64_t position, Seconds now);
  /// The cache server does not know the command: it gets nothing any more.
  void command_unsupported(int server) { at(server).state = State::unsupported; }

  /// The next message to send, to be called until it gives none.
  std::optional<Message> next(Seconds now);

  /// The listed cache servers that understand purges and have not confirmed the position.
  std::vector<int> unconfirmed(std::uint64_t position) const;
  /// The position up to which the cache server has confirmed.
  std::uint64_t confirmed_by(int server) const;

 private:
  enum class State { unknown, cursor_requested, delivering, unsupported };

  struct CacheServer {
    State state = State::unknown;
    bool listed = false;
    std::uint64_t confirmed = 0;  // position
    std::uint64_t sent = 0;       // position, never before `confirmed`
    Seconds retry_at = 0;
  };

  static constexpr std::uint64_t kMaxUnconfirmed = 32;  // a batch of a few kilobytes on its way to one server
  // Without an answer; as long as a frozen cache server is left alone at first.
  static constexpr Seconds kRetryAfter = 0.5;

  CacheServer& at(int server);
  std::optional<Message> next_for(int server, Seconds now);

  const PurgeLog& log_;
  std::uint64_t allowed_ = ~std::uint64_t{};
  std::vector<CacheServer> servers_;
};

}  // namespace walkpaddle::purge
