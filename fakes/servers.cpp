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

// What has no descriptor left is asked for again. Guards against an accept that is given up for good, as its
// listener tells of a caller once.
constexpr Seconds kAgain = 0.05;
bool wants_descriptor() { return errno == EMFILE || errno == ENFILE; }

}  // namespace

int Ports::take() {
  constexpr int kFirst = 20000, kBlock = 50, kBlocks = 240;
  const auto free = [](int port) {
    try {
      const Address at{kLoopback, static_cast<std::uint16_t>(port)};
      listen_on(at), datagrams_on(at);
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
      claims_.push_back(listen_on(Address{kLoopback, static_cast<std::uint16_t>(first)}));
      next_ = first + 1, end_ = first + kBlock;
    } catch (const SystemError&) {  // another's block
    }
  }
  throw std::runtime_error("no port free from 20000 to 32000");
}

int local_port(int fd) {
  sockaddr_in a{};
  socklen_t size = sizeof a;
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&a), &size);
  return ntohs(a.sin_port);
}

Server::Server(Scheduler& scheduler, Outbox& outbox, std::string id, Kind kind, const Options& habits)
    : scheduler_(scheduler),
      outbox_(outbox),
      id_(std::move(id)),
      kind_(kind),
      habits_(habits),
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
  ++starts_;
  if (kind_ != Kind::origin) copies_.clear();
  drops_ = {};
  for (const auto& c : open_) c->stream.close();
}

Task Server::accept_all() {
  while (listener_.open()) {
    Fd fd = listener_.accept();
    if (fd)
      scheduler_.start(connection(std::move(fd)));
    else
      co_await listener_.came.wait(wants_descriptor() ? scheduler_.now() + kAgain : kNoTime);
  }
}

Task Server::connection(Fd fd) {
  auto c = std::make_shared<Connection>(scheduler_, outbox_, std::move(fd));
  open_.insert(c);
  net::RespArray words;
  for (bool good = true; good;) {
    const auto came = c->stream.read();
    if (came == Stream::Came::end) break;
    if (came == Stream::Came::nothing) {
      co_await c->stream.readable();
      continue;
    }
    // Frozen it reads nothing; what the other side has closed is let go, so that no descriptor is held for
    // it.
    while (scheduler_.now() < frozen_until_ && !c->stream.ended()) co_await c->stream.readable(frozen_until_);
    if (scheduler_.now() < frozen_until_) break;
    for (;;) {
      net::read_resp_array(c->stream.in(), 8, 1 << 20, words);
      if (words.used == 0) break;
      const auto& w = words.words;
      if (w[0] == "serve" && w.size() >= 3)
        scheduler_.start(serve(c, std::string(w[1]), std::string(w[2])));
      else if (w[0] == "purges")
        purges(*c, w);
      c->stream.consume(words.used);
    }
  }
  open_.erase(c);
}

// Copies made after what a purge told, less a millisecond of rounding, may stay.
bool Server::dropped(const std::string& object, const Copy& copy) const {
  if (copy.made < drops_.all) return true;
  if (const auto it = drops_.objects.find(object); it != drops_.objects.end() && copy.made < it->second)
    return true;
  for (const auto& tag : copy.tags)
    if (const auto it = drops_.tags.find(tag); it != drops_.tags.end() && copy.made < it->second) return true;
  return std::ranges::any_of(drops_.patterns, [&](const auto& p) {
    return copy.made < p.second && RE2::FullMatch(object, *p.first);
  });
}

bool Server::good(const std::string& object, const Copy& copy, Seconds oldest) const {
  if (habits_.lies) return true;
  return (oldest <= 0 || scheduler_.now() - copy.made <= oldest) && !dropped(object, copy);
}

const Copy* Server::held(const std::string& object) const {
  const auto it = copies_.find(object);
  return it == copies_.end() ? nullptr : &it->second;
}

void Server::purges(Connection& c, const std::vector<std::string_view>& w) {
  if (!habits_.takes_purges || w.size() < 3)
    return c.stream.write(net::resp_array_text({"purges", "unknown"}));
  const std::string run(w[2]);
  if (w[1] == "cursor") {
    ++counts_.asked_cursor;
    const auto it = drops_.cursors.find(run);
    return c.stream.write(
        net::resp_array_text({"purges", "cursor", run, it == drops_.cursors.end() ? "0" : it->second}));
  }
  const auto kind = w[4];
  const Seconds before = scheduler_.now() - parse<double>(w[5], "age") / 1e3;
  const std::string what(w[6]);
  const auto later = [&](Seconds& at) { at = std::max(at, before); };
  if (kind == "object") later(drops_.objects[what]);
  if (kind == "tag") later(drops_.tags[what]);
  if (kind == "all" || kind == "group") later(drops_.all);
  if (kind == "pattern") drops_.patterns.emplace_back(std::make_unique<RE2>(what), before);
  if (!habits_.lies && kind_ != Kind::origin)
    std::erase_if(copies_, [&](const auto& held) { return dropped(held.first, held.second); });
  drops_.cursors[run] = std::string(w[3]);
  ++counts_.confirmed;
  c.stream.write(net::resp_array_text({"purges", "dropped", run, w[3]}));
}

// A txn at a box: a hit; else a fill from the source that was named, by way of whichever it named.
Task Server::serve(std::shared_ptr<Connection> c, std::string id, std::string fields) {
  const auto start = starts_;
  const std::string object(net::field(fields, "item").value_or(""));
  const std::string source(net::field(fields, "src").value_or(""));
  const auto oldest_text = net::field(fields, "maxage");
  const Seconds oldest = oldest_text ? parse<double>(*oldest_text, "maxage") / 1e3 : 0;
  const bool kept = net::field(fields, "keep").has_value();
  Event wait(scheduler_);
  // While frozen; what the other side has closed is not waited for.
  const auto thawed = [&] { return scheduler_.now() >= frozen_until_ || c->stream.ended(); };
  const auto look = [&] { return std::min(frozen_until_, scheduler_.now() + kAgain); };
  co_await wait.wait(scheduler_.now() + habits_.hit);
  while (!thawed()) co_await wait.wait(look());
  if (starts_ != start || c->stream.ended()) co_return;
  const auto answer = [&](std::string_view verdict, const Copy& copy, std::string_view tell) {
    std::string tags;
    for (const auto& t : copy.tags) tags += (tags.empty() ? "" : "+") + t;
    const auto age = std::max(0L, static_cast<long>((scheduler_.now() - copy.made) * 1e3));
    std::string text = "tell=" + std::string(tell) + ",age=" + std::to_string(age);
    if (habits_.tells_tags) text += ",tags=" + tags;
    ++counts_.served;
    c->stream.write(net::resp_array_text({id, verdict, text, std::to_string(copy.version)}));
  };
  if (kind_ == Kind::origin) {
    Copy copy{version(object), scheduler_.now(),
              held(object) != nullptr ? held(object)->tags : std::vector<std::string>{}};
    answer("served", copy, "origin");
    co_return;
  }
  if (const auto* copy = held(object); copy != nullptr && good(object, *copy, oldest)) {
    ++counts_.hits;
    answer("served", *copy, "mem");
    co_return;
  }
  // One that may join waits for the fill that is under way, and takes what it brought if that is young
  // enough.
  const auto flags = net::field(fields, "flags").value_or("");
  if (const auto it = filling_.find(object);
      it != filling_.end() && flags.find("join") != std::string_view::npos) {
    const auto fill = it->second;
    while (filling_.contains(object) && filling_[object] == fill)
      co_await wait.wait(scheduler_.now() + 0.002);
    if (starts_ != start || c->stream.ended()) co_return;
    if (fill->version > 0 && good(object, *fill, oldest)) {
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
  // From here to the source and back; a parent that lacks it goes on to the origin. A copy is as old as the
  // moment at which the origin was read.
  ++counts_.fills;
  const auto fill = filling_[object] = std::make_shared<Copy>();
  struct Over {
    Server& server;
    const std::string& object;
    const std::shared_ptr<Copy>& fill;
    ~Over() {
      if (const auto it = server.filling_.find(object); it != server.filling_.end() && it->second == fill)
        server.filling_.erase(it);
    }
  } over{*this, object, fill};
  Copy copy;
  bool found = false;
  const Seconds began = scheduler_.now();
  co_await wait.wait(scheduler_.now() + habits_.fill);
  while (scheduler_.now() < from->frozen_until_) co_await wait.wait(from->frozen_until_);
  if (const auto* there = from->held(object);
      from->kind_ != Kind::origin && there != nullptr && from->good(object, *there, oldest)) {
    copy = *there, found = true;
  } else if (from->kind_ != Kind::cache) {
    auto* origin = *std::ranges::find(all_, Kind::origin, &Server::kind_);
    ++origin->counts_.read;
    copy = {origin->version(object), scheduler_.now(),
            origin->held(object) != nullptr ? origin->held(object)->tags : std::vector<std::string>{}};
    if (from->kind_ == Kind::parent) {
      co_await wait.wait(scheduler_.now() + habits_.fill);
      from->copies_[object] = copy;
    }
    found = true;
  }
  co_await wait.wait(scheduler_.now() + habits_.fill);
  while (!thawed()) co_await wait.wait(look());
  if (starts_ != start || c->stream.ended()) co_return;
  // An older one than was asked for is not passed on, whoever gave it.
  if (oldest > 0 && began - copy.made > oldest + 0.002 && !habits_.lies) found = false;
  if (!found) {
    c->stream.write(net::resp_array_text({id, "not_here", "tell=absent"}));
    co_return;
  }
  *fill = copy;
  if (kept && !dropped(object, copy)) copies_[object] = copy;
  answer("served", copy, from->kind_ == Kind::origin ? "origin" : "parent");
}

Relay::Relay(Scheduler& scheduler, Outbox& outbox, int to)
    : scheduler_(scheduler),
      outbox_(outbox),
      listener_(scheduler, listen_on(Address{kLoopback, 0})),
      port_(local_port(listener_.fd())),
      to_(to) {
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
      co_await listener_.came.wait(wants_descriptor() ? scheduler_.now() + kAgain : kNoTime);
      continue;
    }
    if (scheduler_.now() < cut_until_) continue;
    Fd out = dial(Address{kLoopback, static_cast<std::uint16_t>(to_)});
    if (!out) continue;
    auto from = std::make_shared<Stream>(scheduler_, outbox_, std::move(fd));
    auto to = std::make_shared<Stream>(scheduler_, outbox_, std::move(out));
    scheduler_.start(pass(from, to));
    scheduler_.start(pass(to, from));
  }
}

Task Relay::pass(std::shared_ptr<Stream> from, std::shared_ptr<Stream> to) {
  open_.insert(from);
  for (;;) {
    const auto came = from->read();
    if (came == Stream::Came::end) break;
    if (came == Stream::Came::nothing) {
      co_await from->readable();
      continue;
    }
    passed_ += from->in().size();
    to->write(from->in());
    from->consume(from->in().size());
  }
  to->close();
  open_.erase(from);
}

}  // namespace walkpaddle::fakes
