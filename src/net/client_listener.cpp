#include "net/client_listener.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <cstring>

#include "base/text.h"
#include "net/resp_parser.h"

namespace walkpaddle::net {

namespace {

// Digits of that many places and no other bytes, which the parsers of cache servers take for hexadecimal.
std::uint64_t hex16(std::string_view text, std::string_view name) {
  if (text.size() != 16) throw_bad_value(name, text);
  return parse<std::uint64_t>(text, name, 16);
}

// A whole number between two bounds, as plain digits.
int whole(std::string_view text, std::string_view name, int least, int most) {
  const int value = parse<int>(text, name);
  if (value < least || value > most || text.front() == '-') throw_bad_value(name, text);
  return value;
}

// What can stand as a value in a list of fields, and ends no message of a careless reader.
std::string_view plain(std::string_view text, std::string_view name) {
  constexpr std::size_t kLongest = 64;  // twice a usual key
  const auto stands = [](char c) { return c > ' ' && c <= '~' && c != ',' && c != '='; };
  if (text.empty() || text.size() > kLongest || !std::ranges::all_of(text, stands))
    throw_bad_value(name, text);
  return text;
}

// For what is owed to one that does not read, once its txns are over.
constexpr Seconds kUnread = 2;

// An error of the caller's connection, which is gone with it: the next one is taken (accept(2), "Error
// handling").
bool is_callers_error(int error) {
  constexpr int kErrors[] = {ECONNABORTED, EPROTO,       ENETDOWN,   ENOPROTOOPT, EHOSTDOWN,
                             ENONET,       EHOSTUNREACH, EOPNOTSUPP, ENETUNREACH};
  return std::ranges::find(kErrors, error) != std::end(kErrors);
}

}  // namespace

OpenId::OpenId(Ids& ids, std::uint64_t id) : id_(id) {
  if (!ids.insert(id).second) throw InputError("txn that is open already");
  ids_ = &ids;
}

// Guards against clients that do not read while all answers together press on the memory.
void ClientConnection::answer(const std::string& tag, std::string_view word, std::string_view fields,
                              std::string_view body) {
  constexpr std::size_t kSlow = 256 * 1024;  // one of the largest answers waits: a client that reads has less
  if (outbox_.full() && stream_.unsent() > kSlow) {
    slow_reader_ = true;
    return stream_.close();
  }
  answered_ = scheduler_.now();
  if (!body.empty())
    stream_.write(words_text({tag, word, fields, body}));
  else if (!fields.empty())
    stream_.write(words_text({tag, word, fields}));
  else
    stream_.write(words_text({tag, word}));
}

ClientListener::ClientListener(Scheduler& scheduler, Outbox& outbox, Log& log, Fd listener, std::size_t most,
                               std::vector<config::RequestClassName> rules, Serve serve)
    : scheduler_(scheduler),
      outbox_(outbox),
      log_(log),
      most_(most),
      rules_(std::move(rules)),
      serve_(std::move(serve)),
      alive_("UNREADY"),
      listener_(scheduler, std::move(listener)) {
  scheduler_.start(accept_all());
}

Task ClientListener::accept_all() {
  constexpr Seconds kPause = 0.02;  // without descriptors or memory: until some connections may have closed
  constexpr int kKernelHolds =
      256 * 1024;  // one of the largest answers; by itself it would grow to megabytes
  while (listener_.open()) {
    Fd fd = listener_.accept();
    if (fd) {
      if (client_listener_.size() - leaving_ >= most_ && !make_room()) {
        count(guard::ClientClose::no_place);
        continue;  // all have open txns: this one is closed at once
      }
      ::setsockopt(fd.get(), SOL_SOCKET, SO_SNDBUF, &kKernelHolds, sizeof kKernelHolds);
      auto client = std::make_shared<ClientConnection>(scheduler_, outbox_, std::move(fd));
      client->waited_ = std::max(0.0, scheduler_.now() - queue_since_);
      client_listener_[client.get()] = client;
      scheduler_.start_isolated(connection(std::move(client)));
      continue;
    }
    const int why = errno;
    if (why == EINTR || is_callers_error(why)) continue;
    if (why != EAGAIN) {
      queue_since_ = std::min(queue_since_, scheduler_.now());
      log_("accept", "{}, {} clients connected", std::strerror(why), client_listener_.size());
      if (why == EMFILE || why == ENFILE) make_room();
      co_await listener_.came.wait(scheduler_.now() + kPause);
      continue;
    }
    queue_since_ = kNoTime;
    co_await listener_.came.wait();
  }
}

// With all places taken one comes to its end: those that said nothing first, then the longest quiet; one with
// open requests stays, and one whose bytes nobody has read yet. Prevents two losses: of places to clients
// that ask once and stay, or connect by the hundred and say nothing; and of requests that came while this
// process stood still. While it ends its descriptor is one of a few beside the places; past those the longest
// of them goes at once.
bool ClientListener::make_room() {
  constexpr Seconds kFresh = 0.2;  // one that just came may have its first request on the way
  const auto rank = [&](const ClientConnection& c) {
    return std::pair(c.spoke_ || c.last_ > scheduler_.now() - kFresh, c.quiet_since());
  };
  ClientConnection *first = nullptr, *longest = nullptr;
  for (const auto& [client, held] : client_listener_) {
    if (client->phase_ == ClientConnection::Phase::open && client->idle() &&
        (first == nullptr || rank(*client) < rank(*first)) && !client->stream_.has_unread())
      first = client;
    if (client->phase_ == ClientConnection::Phase::shut &&
        (longest == nullptr || client->until_ < longest->until_))
      longest = client;
  }
  if (first == nullptr) return false;
  log_("client", "closed to make room, quiet for {:.1f} s", scheduler_.now() - first->quiet_since());
  count(guard::ClientClose::made_room);
  shut(*first);
  if (leaving_ <= kLeaving || longest == nullptr) return true;
  longest->stream_.close();
  client_listener_.erase(longest), --leaving_;
  return true;
}

// All ends that are not the client's own go this way. Guards against a close over unread bytes, which resets
// the connection and takes with it what the client was last sent.
void ClientListener::end(ClientConnection& client) {
  if (client.phase_ != ClientConnection::Phase::open) return;
  client.phase_ = ClientConnection::Phase::ending;
  client.until_ = scheduler_.now() + kUnread;
  client.stream_.wake();
}

void ClientListener::shut(ClientConnection& client) {
  constexpr Seconds kCrossing = 0.06;  // as long as a request may cross the end of the answers, and a little
  if (client.phase_ == ClientConnection::Phase::shut) return;
  if (guard_ != nullptr && guard_->may_end_answers(client.open_.size() + client.held_.size(),
                                                   client.stream_.unsent()) != guard::Invariant::none)
    return;
  client.phase_ = ClientConnection::Phase::shut, ++leaving_;
  client.until_ = scheduler_.now() + kCrossing;
  client.stream_.end_writing();
  client.stream_.wake();
}

// Whether a connection that is not open any more may be closed.
bool ClientListener::over(ClientConnection& client) {
  const Seconds now = scheduler_.now();
  if (client.phase_ == ClientConnection::Phase::ending && client.waits()) client.until_ = now + kUnread;
  if (client.phase_ == ClientConnection::Phase::ending && client.idle()) shut(client);
  return now >= client.until_;
}

Task ClientListener::connection(std::shared_ptr<ClientConnection> client) {
  // For the first message, and for the rest of one that has begun. Usual clients need a few round trips.
  constexpr Seconds kWhole = 2, kLook = 0.1, kEnds = 0.02;
  constexpr int kReads = 4;  // at a time; then others have their turn
  auto& stream = client->stream_;
  struct Place {
    ClientListener& clients;
    ClientConnection* client;
    ~Place() {
      if (clients.client_listener_.erase(client) > 0 && client->phase_ == ClientConnection::Phase::shut)
        --clients.leaving_;
    }
  } place{*this, client.get()};
  Seconds begun = client->last_ = scheduler_.now();  // the message that has not come whole
  for (int reads = 0;;) {
    const auto came = stream.read();
    if (came == Stream::Came::end) break;
    if (came == Stream::Came::bytes) take_requests(client);
    if (came == Stream::Came::nothing) client->waited_ = 0;  // what had waited with its connection is read
    serve_held(client);
    if (client->phase_ != ClientConnection::Phase::open && over(*client)) break;
    if (came == Stream::Came::bytes) {
      if (++reads % kReads != 0) continue;
      Event turn(scheduler_);
      co_await turn.wait(scheduler_.now());
      continue;
    }
    if (client->phase_ != ClientConnection::Phase::open) {
      co_await stream.readable(scheduler_.now() + kEnds);
      continue;
    }
    if (client->spoke_ && stream.in().empty())
      begun = kNoTime;
    else
      begun = begun == kNoTime ? scheduler_.now() : std::max(begun, client->last_);
    // One that is still to be answered has its answers first, and may go on writing meanwhile.
    const bool slow = scheduler_.now() >= begun + kWhole;
    if (slow && !client->waits()) {
      log_("client", "connection closed: no whole message in {} s", kWhole);
      count(guard::ClientClose::no_whole_message);
      end(*client);
      continue;
    }
    const Seconds look = slow || !client->held_.empty() ? scheduler_.now() + kLook : kNoTime;
    co_await stream.readable(slow ? look : std::min(begun + kWhole, look));
  }
  if (client->phase_ == ClientConnection::Phase::open)
    count(client->slow_reader_ ? guard::ClientClose::slow_reader : guard::ClientClose::by_client);
  stream.close();
  for (const auto& [tag, handle] : std::exchange(client->open_, {})) handle->leave();
}

// Guards against a client that asks on and reads nothing: past a few of the largest answers its requests wait
// here. They are read all the same, as it may give them up or go.
void ClientListener::serve_held(const std::shared_ptr<ClientConnection>& client) {
  constexpr std::size_t kMostUnsent = 1 << 20;
  auto& held = client->held_;
  while (!held.empty() && !ended_ && client->stream_.unsent() <= kMostUnsent) {
    auto order = std::move(held.front());
    held.pop_front();
    serve_(client, std::move(order));
  }
}

void ClientListener::take_requests(const std::shared_ptr<ClientConnection>& client) {
  constexpr std::size_t kMostWords = 8, kMostBytes = 64 * 1024;  // a write brings up to 48,000 bytes
  auto& stream = client->stream_;
  Words words;
  while (client->phase_ != ClientConnection::Phase::shut) {
    const bool open = client->phase_ == ClientConnection::Phase::open;
    try {
      read_words(stream.in(), kMostWords, kMostBytes, words);
      if (words.used == 0) return;
      // What is given up is heard to the end.
      if (open || (!words.words.empty() && words.words[0] == "FORGET")) request(client, words.words);
      if (open) client->spoke_ = true, client->last_ = scheduler_.now();
    } catch (const InputError& e) {
      if (open) {
        log_("client", "connection closed: {}", e.what());
        count(guard::ClientClose::unusable_message);
      }
      end(*client);
      if (words.used == 0) break;  // what cannot be read as an array, nor what follows it
    }
    stream.consume(words.used);
  }
  stream.consume(stream.in().size());
}

void ClientListener::request(const std::shared_ptr<ClientConnection>& client,
                             const std::vector<std::string_view>& words) {
  constexpr std::size_t kMostOpen = 32;
  if (words.size() < 2) throw_bad_value("request", "");
  const auto verb = words[0];
  const std::string tag(words[1]);
  if (parse<std::uint64_t>(tag, "tag") == 0) throw_bad_value("tag", tag);
  if (verb == "ALIVE") return client->answer(tag, alive_);
  if (verb == "FORGET") {
    std::erase_if(client->held_, [&](const Request& o) { return o.tag == tag; });
    const auto it = client->open_.find(tag);
    if (it == client->open_.end()) return;
    auto* handle = it->second;
    client->open_.erase(it);
    return handle->leave();
  }
  if (verb != "EXEC") throw_bad_value("request", verb);
  if (client->open_.contains(tag) ||
      std::ranges::find(client->held_, tag, &Request::tag) != client->held_.end())
    throw_bad_value("tag, open already", tag);
  if (client->open_.size() + client->held_.size() >= kMostOpen)
    throw_bad_value("number of open requests", tag);
  Request order;
  try {
    order = order_of(words, std::max(scheduler_.late(), client->waited_));
  } catch (const InputError& e) {
    log_("request", "{}", e.what());
    return client->answer(tag, "ABORTED");
  }
  if (ended_) return client->answer(tag, "REJECT");  // nothing was sent on for it
  client->held_.push_back(std::move(order));
  serve_held(client);
}

Request ClientListener::order_of(const std::vector<std::string_view>& words, Seconds waited) {
  constexpr int kLongestLimit = 3'600'000, kMostParts = 1'000'000;  // far past any object's or client's
  constexpr std::size_t kLargestBody = 48'000;                      // a write
  if (words.size() < 4 || words.size() > 5) throw_bad_value("number of words", std::to_string(words.size()));
  Request o;
  o.tag = words[1];
  o.rule_name = words[2];
  const auto rule = std::ranges::find(rules_, words[2], &config::RequestClassName::name);
  if (rule == rules_.end()) throw_bad_value("class", words[2]);
  o.rule = static_cast<int>(rule - rules_.begin());
  o.uncacheable = rule->uncacheable, o.effect = rule->effect;
  const auto fields = words[3];
  const auto needed = [&](std::string_view name) {
    const auto value = field(fields, name);
    if (!value) throw_bad_value("request without", name);
    return *value;
  };
  o.id_text = needed("txn");
  o.id = hex16(o.id_text, "txn");
  // The client's time runs since it sent the request, which may have waited for us.
  o.expires = scheduler_.now() - waited + whole(needed("limit"), "limit", 1, kLongestLimit) / 1e3;
  o.object_text = needed("item");
  hex16(o.object_text, "item");
  o.part_text = needed("seg");
  o.part = whole(o.part_text, "seg", 0, kMostParts);
  o.group = static_cast<std::uint32_t>(whole(needed("bucket"), "bucket", 0, 255));
  if (const auto key = field(fields, "unique"); key || rule->keyed) o.key = plain(needed("unique"), "unique");
  if (const auto etag = field(fields, "etag")) o.etag = plain(*etag, "etag");
  if (words.size() > 4) o.body = words[4];
  if (o.body.size() > kLargestBody) throw_bad_value("size of body", std::to_string(o.body.size()));
  o.open = OpenId(open_ids_, o.id);
  return o;
}

void ClientListener::stop_accepting() { listener_.close(); }

Fd ClientListener::give_listener() { return listener_.give(); }

void ClientListener::abort_open() {
  ended_ = true;
  for (const auto& [client, held] : client_listener_) {
    for (const auto& [tag, handle] : std::exchange(client->open_, {})) {
      if (guard_ == nullptr || guard_->may_answer(handle->record()) == guard::Invariant::none)
        client->answer(tag, "ABORTED");
      handle->leave();
    }
    for (const auto& order : std::exchange(client->held_, {})) client->answer(order.tag, "REJECT");
  }
}

bool ClientListener::owing() const {
  return std::ranges::any_of(client_listener_, [](const auto& c) { return !c.first->idle(); });
}

// A request that crosses the end of the answers is never read as one: its client sees that it was not taken.
void ClientListener::close_idle() {
  for (const auto& [client, held] : client_listener_) {
    if (!client->idle() || client->stream_.has_unread()) continue;
    if (client->phase_ == ClientConnection::Phase::open) count(guard::ClientClose::program_ends);
    shut(*client);
  }
}

}  // namespace walkpaddle::net
