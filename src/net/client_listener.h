// The clients' side: connections, what they ask, and the answers.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "config/platform_config.h"
#include "io/listener.h"
#include "io/log.h"
#include "io/scheduler.h"
#include "io/stream.h"
#include "net/request_dispatcher.h"

namespace walkpaddle::net {

// The ids of the txns that are open, over all connections; an order holds its own until its txn is over.
class OpenId {
 public:
  using Ids = std::unordered_set<std::uint64_t>;
  OpenId() = default;
  OpenId(Ids& ids, std::uint64_t id);  // InputError if it is open already
  OpenId(OpenId&& other) noexcept : ids_(std::exchange(other.ids_, nullptr)), id_(other.id_) {}
  OpenId& operator=(OpenId&& other) noexcept {
    std::swap(ids_, other.ids_), std::swap(id_, other.id_);
    return *this;
  }
  ~OpenId() {
    if (ids_ != nullptr) ids_->erase(id_);
  }

 private:
  Ids* ids_ = nullptr;
  std::uint64_t id_ = 0;
};

// What a client asked: what goes on unchanged as the bytes that came, the rest taken out.
struct Request {
  std::string tag, id_text, object_text, part_text, key, etag, body, rule_name;
  std::uint64_t id = 0;
  int rule = 0, part = 0;
  std::uint32_t group = 0;
  bool uncacheable = false, effect = false;
  Seconds expires = 0;
  OpenId open;
};

// One connection. Its txns hold it until they are answered.
class ClientConnection {
 public:
  ClientConnection(Scheduler& scheduler, Outbox& outbox, Fd fd)
      : scheduler_(scheduler), outbox_(outbox), stream_(scheduler, outbox, std::move(fd)) {}
  void answer(const std::string& tag, std::string_view word, std::string_view fields = {},
              std::string_view body = {});
  void opened(const std::string& tag, RequestHandle& handle) { open_.emplace(tag, &handle); }
  void over(const std::string& tag) { open_.erase(tag); }

 private:
  friend class ClientListener;
  // ending: nothing that comes is taken; what was taken is answered, and then its answers end. shut: they
  // have; what still comes crossed that, and is read and dropped until its own end or a bound.
  enum class Phase { open, ending, shut };
  bool waits() const { return !open_.empty() || !held_.empty(); }
  bool idle() const { return !waits() && stream_.unsent() == 0; }
  Seconds quiet_since() const { return std::max(last_, answered_); }
  Scheduler& scheduler_;
  Outbox& outbox_;
  Stream stream_;
  std::unordered_map<std::string, RequestHandle*> open_;
  std::deque<Request> held_;  // come while too much was unread: served once that is read
  bool spoke_ = false;        // at least one whole message came
  Phase phase_ = Phase::open;
  Seconds until_ = 0;                // of ending or shut: closed then
  bool slow_reader_ = false;         // closed as such
  Seconds waited_ = 0;               // in the listener's queue at most, with what it wrote meanwhile
  Seconds last_ = 0, answered_ = 0;  // when it connected or last spoke; when it was last answered
};

class ClientListener {
 public:
  using Serve = std::function<void(std::shared_ptr<ClientConnection>, Request)>;
  static constexpr std::size_t kLeaving = 4;  // past `most`, while their connections end
  // listener: what listens already.
  ClientListener(Scheduler& scheduler, Outbox& outbox, Log& log, Fd listener, std::size_t most,
                 std::vector<config::RequestClassName> rules, Serve serve);

  void set_guard(guard::Guard& guard) { guard_ = &guard; }
  void set_word(std::string_view alive) { alive_ = alive; }  // what ALIVE is answered with
  void stop_accepting();
  Fd give_listener();  // to a program that takes this one's place: who comes meanwhile waits there
  void close_idle();
  void abort_open();   // the program ends: one answer for each txn that still waits, and for those to come
  bool owing() const;  // an answer, or bytes of one
  std::size_t count() const { return client_listener_.size(); }

 private:
  Task accept_all();
  Task connection(std::shared_ptr<ClientConnection> client);
  bool make_room();
  void end(ClientConnection& client);
  void shut(ClientConnection& client);
  bool over(ClientConnection& client);
  void count(guard::ClientClose why) {
    if (guard_ != nullptr) guard_->counters().closed(why);
  }
  void take_requests(const std::shared_ptr<ClientConnection>& client);
  void serve_held(const std::shared_ptr<ClientConnection>& client);
  void request(const std::shared_ptr<ClientConnection>& client, const std::vector<std::string_view>& words);
  Request order_of(const std::vector<std::string_view>& words, Seconds waited);

  Scheduler& scheduler_;
  Outbox& outbox_;
  Log& log_;
  const std::size_t most_;
  std::vector<config::RequestClassName> rules_;
  OpenId::Ids open_ids_;
  guard::Guard* guard_ = nullptr;  // null: no counts, no checks
  Serve serve_;
  std::string alive_;
  std::size_t leaving_ = 0;        // of those connected, shut
  Seconds queue_since_ = kNoTime;  // callers wait in the listener's queue since then, as accepts fail
  bool ended_ = false;             // nothing that comes is sent on any more
  Listener listener_;
  std::unordered_map<ClientConnection*, std::weak_ptr<ClientConnection>> client_listener_;
};

}  // namespace walkpaddle::net
