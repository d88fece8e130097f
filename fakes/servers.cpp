#include "fakes/servers.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

#include "base/error.h"
#include "base/text.h"
#include "net/resp_parser.h"

namespace walkpaddle::fakes {

namespace {

constexpr std::uint32_t kLoopback = 0x7f000001;

// Interval at which a refused accept is retried. The listener reports a waiting connection only once, so
// without a retry a connection refused for want of descriptors would never be accepted.
constexpr Seconds kRetryInterval = 0.05;
bool out_of_descriptors() { return errno == EMFILE || errno == ENFILE; }

}  // namespace

int Ports::take() {
  constexpr int kFirst = 20000, kBlock = 50, kBlocks = 240;
  const auto free = [](int port) {
    try {
      const Address at{kLoopback, static_cast<std::uint16_t>(port)};
      listen_on(at), bind_udp(at);
      return true;
    } catch (const SystemError&) {
      return false;
    }
  };
  for (int tries = 0; tries < kBlocks;) {
    while (next_ < end_)
      if (const int port = next_++; free(port)) return port;
    const int first = kFirst + kBlock * ((::getpid() + tries++) % kBlocks);
    try {
      block_sockets_.push_back(listen_on(Address{kLoopback, static_cast<std::uint16_t>(first)}));
      next_ = first + 1, end_ = first + kBlock;
    } catch (const SystemError&) {  // the block belongs to another process
    }
  }
  throw std::runtime_error("no free port from 20000 to 32000");
}

int local_port(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  return ntohs(a.sin_port);
}

Server::Server(Scheduler& scheduler, Outbox& outbox, std::string id, Kind kind, const Options& options)
    : scheduler_(scheduler),
      outbox_(outbox),
      id_(std::move(id)),
      kind_(kind),
      options_(options),
      listener_(scheduler, listen_on(Address{kLoopback, 0})),
      port_(local_port(listener_.fd())) {
  scheduler_.start(accept_all());
}

void Server::change(const std::string& object, std::vector<std::string> tags) {
  auto& c = copies_[object];
  ++c.version;
  c.tags = std::move(tags);
}

int Server::version(const std::string& object) const {
  const auto it = copies_.find(object);
  return it == copies_.end() ? 0 : it->second.version;
}

void Server::restart_cold() {
  ++incarnation_;
  if (kind_ != Kind::origin) copies_.clear();
  purge_bounds_ = {};
  for (const auto& c : open_) c->stream.close();
}

Task Server::accept_all() {
  while (listener_.open()) {
    Fd fd = listener_.accept();
    if (fd)
      scheduler_.start(connection(std::move(fd)));
    else
      co_await listener_.input_ready.wait(out_of_descriptors() ? scheduler_.now() + kRetryInterval : kNoTime);
  }
}

Task Server::connection(Fd fd) {
  auto c = std::make_shared<Connection>(scheduler_, outbox_, std::move(fd));
  open_.insert(c);
  net::RespArray words;
  for (bool more = true; more;) {
    const auto came = c->stream.read();
    if (came == Stream::ReadResult::end) break;
    if (came == Stream::ReadResult::nothing) {
      co_await c->stream.readable();
      continue;
    }
    // A frozen server reads nothing, but notices a close by the peer, so that it does not hold descriptors of
    // closed connections.
    while (scheduler_.now() < frozen_until_ && !c->stream.ended()) co_await c->stream.readable(frozen_until_);
    if (scheduler_.now() < frozen_until_) break;
    for (;;) {
      net::read_resp_array(c->stream.in(), 8, 1 << 20, words);
      if (words.used == 0) break;
      const auto& w = words.words;
      if (w[0] == "serve" && w.size() >= 3)
        scheduler_.start(serve(c, std::string(w[1]), std::string(w[2])));
      else if (w[0] == "purges")
        handle_purges(*c, w);
      c->stream.consume(words.used);
    }
  }
  open_.erase(c);
}

// Whether a purge covers the copy. The age of a purge is rounded down to whole milliseconds, so copies made
// up to a millisecond after it count as purged too.
bool Server::is_purged(const std::string& object, const Copy& copy) const {
  if (copy.made_at < purge_bounds_.all) return true;
  if (const auto it = purge_bounds_.objects.find(object);
      it != purge_bounds_.objects.end() && copy.made_at < it->second)
    return true;
  for (const auto& tag : copy.tags)
    if (const auto it = purge_bounds_.tags.find(tag);
        it != purge_bounds_.tags.end() && copy.made_at < it->second)
      return true;
  return std::ranges::any_of(purge_bounds_.patterns, [&](const auto& p) {
    return copy.made_at < p.second && RE2::FullMatch(object, *p.first);
  });
}

bool Server::is_fresh(const std::string& object, const Copy& copy, Seconds max_age) const {
  if (options_.ignores_purges) return true;
  return (max_age <= 0 || scheduler_.now() - copy.made_at <= max_age) && !is_purged(object, copy);
}

const Copy* Server::find_copy(const std::string& object) const {
  const auto it = copies_.find(object);
  return it == copies_.end() ? nullptr : &it->second;
}

void Server::handle_purges(Connection& c, const std::vector<std::string_view>& w) {
  if (!options_.supports_purges || w.size() < 3)
    return c.stream.write(net::resp_array_text({"purges", "unknown"}));
  const std::string run(w[2]);
  if (w[1] == "cursor") {
    ++counts_.cursor_requests;
    const auto it = purge_bounds_.cursors.find(run);
    return c.stream.write(net::resp_array_text(
        {"purges", "cursor", run, it == purge_bounds_.cursors.end() ? "0" : it->second}));
  }
  const auto kind = w[4];
  const Seconds before = scheduler_.now() - parse<double>(w[5], "age") / 1e3;
  const std::string what(w[6]);
  const auto later = [&](Seconds& at) { at = std::max(at, before); };
  if (kind == "object") later(purge_bounds_.objects[what]);
  if (kind == "tag") later(purge_bounds_.tags[what]);
  if (kind == "all" || kind == "group") later(purge_bounds_.all);
  if (kind == "pattern") purge_bounds_.patterns.emplace_back(std::make_unique<RE2>(what), before);
  if (!options_.ignores_purges && kind_ != Kind::origin)
    std::erase_if(copies_, [&](const auto& entry) { return is_purged(entry.first, entry.second); });
  purge_bounds_.cursors[run] = std::string(w[3]);
  ++counts_.purges_confirmed;
  c.stream.write(net::resp_array_text({"purges", "dropped", run, w[3]}));
}

// Serves a request from a copy, or fills the copy from the source that the request names.
Task Server::serve(std::shared_ptr<Connection> c, std::string id, std::string fields) {
  const auto incarnation = incarnation_;
  const std::string object(net::field(fields, "item").value_or(""));
  const std::string source(net::field(fields, "src").value_or(""));
  const auto max_age_text = net::field(fields, "maxage");
  const Seconds max_age = max_age_text ? parse<double>(*max_age_text, "maxage") / 1e3 : 0;
  const bool cache_fill = net::field(fields, "keep").has_value();
  Event wait(scheduler_);
  // A frozen server stops waiting once the peer has closed the connection.
  const auto may_proceed = [&] { return scheduler_.now() >= frozen_until_ || c->stream.ended(); };
  const auto next_check = [&] { return std::min(frozen_until_, scheduler_.now() + kRetryInterval); };
  co_await wait.wait(scheduler_.now() + options_.hit);
  while (!may_proceed()) co_await wait.wait(next_check());
  if (incarnation_ != incarnation || c->stream.ended()) co_return;
  const auto answer = [&](std::string_view verdict, const Copy& copy, std::string_view tell) {
    std::string tags;
    for (const auto& t : copy.tags) tags += (tags.empty() ? "" : "+") + t;
    const auto age = std::max(0L, static_cast<long>((scheduler_.now() - copy.made_at) * 1e3));
    std::string text = "tell=" + std::string(tell) + ",age=" + std::to_string(age);
    if (options_.reports_tags) text += ",tags=" + tags;
    ++counts_.served;
    c->stream.write(net::resp_array_text({id, verdict, text, std::to_string(copy.version)}));
  };
  if (kind_ == Kind::origin) {
    Copy copy{version(object), scheduler_.now(),
              find_copy(object) != nullptr ? find_copy(object)->tags : std::vector<std::string>{}};
    answer("served", copy, "origin");
    co_return;
  }
  if (const auto* copy = find_copy(object); copy != nullptr && is_fresh(object, *copy, max_age)) {
    ++counts_.hits;
    answer("served", *copy, "mem");
    co_return;
  }
  // A request that may join a fill waits for the one in progress, and uses its copy if that is young enough.
  const auto flags = net::field(fields, "flags").value_or("");
  if (const auto it = fills_in_progress_.find(object);
      it != fills_in_progress_.end() && flags.find("join") != std::string_view::npos) {
    const auto fill = it->second;
    while (fills_in_progress_.contains(object) && fills_in_progress_[object] == fill)
      co_await wait.wait(scheduler_.now() + 0.002);
    if (incarnation_ != incarnation || c->stream.ended()) co_return;
    if (fill->version > 0 && is_fresh(object, *fill, max_age)) {
      ++counts_.joined;
      answer("served", *fill, "shared");
      co_return;
    }
  }
  Server* from = nullptr;
  for (auto* s : all_)
    if (s->id_ == source && s != this) from = s;
  if (from == nullptr) {
    c->stream.write(net::resp_array_text({id, "not_here", "tell=absent"}));
    co_return;
  }
  // The fill: to the source and back; a parent without the copy reads the origin. The age of a copy counts
  // from the time at which the origin was read.
  ++counts_.fills;
  const auto fill = fills_in_progress_[object] = std::make_shared<Copy>();
  struct FillRemover {
    Server& server;
    const std::string& object;
    const std::shared_ptr<Copy>& fill;
    ~FillRemover() {
      if (const auto it = server.fills_in_progress_.find(object);
          it != server.fills_in_progress_.end() && it->second == fill)
        server.fills_in_progress_.erase(it);
    }
  } remover{*this, object, fill};
  Copy copy;
  bool found = false;
  const Seconds fill_started = scheduler_.now();
  co_await wait.wait(scheduler_.now() + options_.fill);
  while (scheduler_.now() < from->frozen_until_) co_await wait.wait(from->frozen_until_);
  if (const auto* source_copy = from->find_copy(object); from->kind_ != Kind::origin &&
                                                         source_copy != nullptr &&
                                                         from->is_fresh(object, *source_copy, max_age)) {
    copy = *source_copy, found = true;
  } else if (from->kind_ != Kind::cache) {
    auto* origin = *std::ranges::find(all_, Kind::origin, &Server::kind_);
    ++origin->counts_.origin_reads;
    copy = {
        origin->version(object), scheduler_.now(),
        origin->find_copy(object) != nullptr ? origin->find_copy(object)->tags : std::vector<std::string>{}};
    if (from->kind_ == Kind::parent) {
      co_await wait.wait(scheduler_.now() + options_.fill);
      from->copies_[object] = copy;
    }
    found = true;
  }
  co_await wait.wait(scheduler_.now() + options_.fill);
  while (!may_proceed()) co_await wait.wait(next_check());
  if (incarnation_ != incarnation || c->stream.ended()) co_return;
  // A copy older than the request allows is not passed on, whichever source it came from.
  if (max_age > 0 && fill_started - copy.made_at > max_age + 0.002 && !options_.ignores_purges) found = false;
  if (!found) {
    c->stream.write(net::resp_array_text({id, "not_here", "tell=absent"}));
    co_return;
  }
  *fill = copy;
  if (cache_fill && !is_purged(object, copy)) copies_[object] = copy;
  answer("served", copy, from->kind_ == Kind::origin ? "origin" : "parent");
}

Relay::Relay(Scheduler& scheduler, Outbox& outbox, int target_port)
    : scheduler_(scheduler),
      outbox_(outbox),
      listener_(scheduler, listen_on(Address{kLoopback, 0})),
      port_(local_port(listener_.fd())),
      target_port_(target_port) {
  scheduler_.start(accept_all());
}

void Relay::cut(Seconds until) {
  cut_until_ = until;
  for (const auto& s : open_) s->close();
}

Task Relay::accept_all() {
  while (listener_.open()) {
    Fd fd = listener_.accept();
    if (!fd) {
      co_await listener_.input_ready.wait(out_of_descriptors() ? scheduler_.now() + kRetryInterval : kNoTime);
      continue;
    }
    if (scheduler_.now() < cut_until_) continue;
    Fd out = dial(Address{kLoopback, static_cast<std::uint16_t>(target_port_)});
    if (!out) continue;
    auto from = std::make_shared<Stream>(scheduler_, outbox_, std::move(fd));
    auto to = std::make_shared<Stream>(scheduler_, outbox_, std::move(out));
    scheduler_.start(forward(from, to));
    scheduler_.start(forward(to, from));
  }
}

Task Relay::forward(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to) {
  open_.insert(from);
  for (;;) {
    const auto came = from->read();
    if (came == Stream::ReadResult::end) break;
    if (came == Stream::ReadResult::nothing) {
      co_await from->readable();
      continue;
    }
    bytes_passed_ += from->in().size();
    to->write(from->in());
    from->consume(from->in().size());
  }
  to->close();
  open_.erase(from);
}

}  // namespace walkpaddle::fakes
