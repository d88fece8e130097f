#include "fleet/wire.h"

#include <utility>

#include "base/text.h"
#include "fleet/fleet.capnp.h"
#include "replica/capnp_message.h"

namespace walkpaddle::fleet {

namespace {

using replica::checked_time, replica::message_bytes, replica::text_view;

std::string framed(capnp::MallocMessageBuilder& message) {
  const auto text = message_bytes(message);
  std::string out;
  for (int shift = 24; shift >= 0; shift -= 8) out += static_cast<char>(text.size() >> shift & 255);
  return out + text;
}

Kind kind_of(int number) {
  if (number >= purge::kKinds) throw_bad_value("kind of purge", std::to_string(number));
  return static_cast<Kind>(number);
}

std::string_view what_of(const schema::Entry::Reader& e) {
  const auto what = text_view(e.getWhat());
  if (what.size() > purge::kLongest) throw_bad_value("purge of length", std::to_string(what.size()));
  if (e.getNumber() == 0) throw_bad_value("number", "0");
  return what;
}

template <class T, class F>
auto reading(std::string_view bytes, F&& read) {
  return replica::read_root<T>(bytes, kLargestMessage, std::forward<F>(read));
}

void hand_on(const schema::Message::Reader& m, Messages& into) {
  switch (m.which()) {
    case schema::Message::HELLO:
      return into.hello(m.getHello().getVersion(), text_view(m.getHello().getName()));
    case schema::Message::BEAT: {
      const auto beat = m.getBeat();
      const Seconds theirs = checked_time(beat.getTime()), echo = checked_time(beat.getEcho());
      const auto heads = beat.getHeads();
      for (const auto h : heads) {
        checked_time(h.getGivenUpAgo());
        if (h.getBase() > h.getNumber()) throw_bad_value("head", std::to_string(h.getNumber()));
      }
      into.beat(theirs, echo, beat.getWhole());
      for (const auto h : heads) into.head(h.getIssuer(), h.getNumber(), h.getBase(), h.getGivenUpAgo());
      return into.beat_end();
    }
    case schema::Message::ENTRY: {
      const auto e = m.getEntry();
      const auto what = what_of(e);
      return into.entry({checked_time(e.getAt()), e.getIssuer(), e.getNumber()}, kind_of(e.getKind()), what);
    }
    case schema::Message::WANT:
      return into.want(m.getWant().getIssuer(), m.getWant().getFrom());
    case schema::Message::RETIRED_FACTS:
    case schema::Message::RETIRED_HELD:
      return;
  }
  // A newer router's: passed over.
}

replica::EndpointObservation fact_of(const schema::Fact::Reader& f) {
  if (f.getHealth() >= replica::kHealthCount) throw_bad_value("health", std::to_string(f.getHealth()));
  if (!std::isfinite(f.getLimit()) || f.getLimit() < 0)
    throw_bad_value("limit", std::to_string(f.getLimit()));
  if (f.getMicros() < 0) throw_bad_value("stamp", std::to_string(f.getMicros()));
  return {.endpoint = f.getServer(),
          .started = checked_time(f.getStarted()),
          .observer = f.getObserver(),
          .observed_at = {.micros = f.getMicros(), .count = f.getCount()},
          .health = static_cast<replica::Health>(f.getHealth()),
          .concurrency_limit = f.getLimit()};
}

void put(schema::Fact::Builder b, const replica::EndpointObservation& f) {
  b.setServer(f.endpoint);
  b.setStarted(f.started);
  b.setObserver(f.observer);
  b.setMicros(f.observed_at.micros);
  b.setCount(f.observed_at.count);
  b.setHealth(static_cast<std::uint8_t>(f.health));
  b.setLimit(f.concurrency_limit);
}

double bounded(float value) {
  constexpr float kMost = 1e6;  // limits and seconds: far past any
  if (!(value >= 0 && value <= kMost)) throw_bad_value("figure", std::to_string(value));
  return value;
}

Belief belief_of(const schema::Belief::Reader& b) {
  Belief belief{.router = b.getRouter(),
                .at = checked_time(b.getAt()),
                .part = b.getPart(),
                .parts = b.getParts(),
                .link = bounded(b.getLink()),
                .misses = b.getMisses() < 0 ? -1 : std::min(1.0, bounded(b.getMisses()))};
  for (const auto r : b.getRooms())
    belief.rooms.push_back({r.getServer(), bounded(r.getHops()), bounded(r.getFills())});
  for (const auto o : b.getObjects()) belief.objects.push_back({o.getObject(), bounded(o.getCount())});
  for (const auto r : b.getRules())
    belief.rules.push_back(
        {bounded(r.getSending()), static_cast<int>(std::min<std::uint32_t>(r.getAnswers(), 1000000))});
  return belief;
}

void put(schema::Belief::Builder b, const Belief& belief) {
  b.setRouter(belief.router);
  b.setAt(belief.at);
  b.setPart(static_cast<std::uint16_t>(belief.part));
  b.setParts(static_cast<std::uint16_t>(belief.parts));
  b.setLink(static_cast<float>(belief.link));
  b.setMisses(static_cast<float>(belief.misses));
  auto rooms = b.initRooms(static_cast<unsigned>(belief.rooms.size()));
  for (unsigned n = 0; n < belief.rooms.size(); ++n) {
    rooms[n].setServer(belief.rooms[n].server);
    rooms[n].setHops(static_cast<float>(belief.rooms[n].hops));
    rooms[n].setFills(static_cast<float>(belief.rooms[n].fills));
  }
  auto objects = b.initObjects(static_cast<unsigned>(belief.objects.size()));
  for (unsigned n = 0; n < belief.objects.size(); ++n) {
    objects[n].setObject(belief.objects[n].object);
    objects[n].setCount(static_cast<float>(belief.objects[n].count));
  }
  auto rules = b.initRules(static_cast<unsigned>(belief.rules.size()));
  for (unsigned n = 0; n < belief.rules.size(); ++n) {
    rules[n].setSending(static_cast<float>(belief.rules[n].sending));
    rules[n].setAnswers(static_cast<std::uint32_t>(belief.rules[n].answers));
  }
}

void put(schema::Entry::Builder b, const Entry& e) {
  b.setAt(e.stamp.at);
  b.setIssuer(e.stamp.issuer);
  b.setNumber(e.stamp.number);
  b.setKind(static_cast<std::uint8_t>(e.kind));
  b.setWhat(e.what.c_str());
}

}  // namespace

std::size_t read_message(std::string_view bytes, Messages& into) {
  constexpr std::size_t kHead = 4;
  if (bytes.size() < kHead) return 0;
  std::size_t length = 0;
  for (std::size_t n = 0; n < kHead; ++n) length = length << 8 | static_cast<unsigned char>(bytes[n]);
  if (length == 0 || length > kLargestMessage || length % sizeof(capnp::word) != 0)
    throw_bad_value("message length", std::to_string(length));
  if (bytes.size() < kHead + length) return 0;
  reading<schema::Message>(bytes.substr(kHead, length),
                           [&](const schema::Message::Reader& m) { hand_on(m, into); });
  return kHead + length;
}

std::string hello_message(std::string_view name) {
  capnp::MallocMessageBuilder message;
  auto hello = message.initRoot<schema::Message>().initHello();
  hello.setVersion(kVersion);
  hello.setName(std::string(name).c_str());
  return framed(message);
}

std::string beat_message(const purge::Book& book, const Sync& sync, Seconds now, Seconds echo) {
  capnp::MallocMessageBuilder message;
  auto beat = message.initRoot<schema::Message>().initBeat();
  beat.setTime(now);
  beat.setEcho(echo);
  beat.setWhole(sync.whole());
  auto heads = beat.initHeads(static_cast<unsigned>(book.runs().size()));
  unsigned n = 0;
  for (const auto& [issuer, run] : book.runs()) {
    auto head = heads[n++];
    head.setIssuer(issuer);
    head.setNumber(sync.held(issuer));
    head.setBase(std::min(run.base, sync.held(issuer)));
    head.setGivenUpAgo(run.given_up > 0 ? std::max(1e-6, now - run.given_up) : 0);
  }
  return framed(message);
}

std::string entry_message(const Entry& e) {
  capnp::MallocMessageBuilder message;
  put(message.initRoot<schema::Message>().initEntry(), e);
  return framed(message);
}

std::string want_message(std::uint64_t issuer, std::uint64_t from) {
  capnp::MallocMessageBuilder message;
  auto want = message.initRoot<schema::Message>().initWant();
  want.setIssuer(issuer);
  want.setFrom(from);
  return framed(message);
}

std::string packet_bytes(const Gossip::Packet& p, const membership::MemberRecord& self) {
  capnp::MallocMessageBuilder message;
  auto packet = message.initRoot<schema::Packet>();
  packet.setVersion(kVersion);
  packet.setKind(static_cast<std::uint8_t>(p.kind));
  packet.setMore(p.more);
  packet.setFills(p.fills);
  packet.setFrom(self.member);
  packet.setIncarnation(self.incarnation);
  packet.setNumber(p.number);
  packet.setAbout(p.about);
  auto records = packet.initRecords(static_cast<unsigned>(p.records.size()));
  for (unsigned n = 0; n < p.records.size(); ++n) {
    const auto& r = p.records[n];
    records[n].setWho(r.member);
    records[n].setIncarnation(r.incarnation);
    records[n].setBy(r.suspected_by);
    records[n].setState(static_cast<std::uint8_t>(r.state));
    records[n].setReads(r.channel_versions);
  }
  auto facts = packet.initFacts(static_cast<unsigned>(p.observations.size()));
  for (unsigned n = 0; n < p.observations.size(); ++n) put(facts[n], p.observations[n]);
  auto digests = packet.initDigests(static_cast<unsigned>(p.digests.size()));
  for (unsigned n = 0; n < p.digests.size(); ++n) digests.set(n, p.digests[n]);
  if (p.belief) put(packet.initBelief(), *p.belief);
  if (!p.items.empty()) {
    auto items = packet.initItems(static_cast<unsigned>(p.items.size()));
    for (unsigned n = 0; n < p.items.size(); ++n) {
      items[n].setKind(p.items[n].kind);
      items[n].setBytes(
          {reinterpret_cast<const kj::byte*>(p.items[n].bytes.data()), p.items[n].bytes.size()});
    }
  }
  packet.setAt(p.at);
  packet.setReads(self.channel_versions);
  return message_bytes(message);
}

bool read_packet(std::string_view bytes, const std::function<int(std::uint64_t)>& peer_of, Gossip& into,
                 Seconds now) {
  if (bytes.size() > kLargestPacket) throw_bad_value("datagram of length", std::to_string(bytes.size()));
  return reading<schema::Packet>(bytes, [&](const schema::Packet::Reader& p) {
    if (p.getVersion() < 1) throw_bad_value("version", std::to_string(p.getVersion()));
    const int from = peer_of(p.getFrom());
    if (from < 0) return false;
    std::vector<replica::EndpointObservation> facts;
    for (const auto f : p.getFacts()) facts.push_back(fact_of(f));
    std::vector<membership::MemberRecord> records;
    for (const auto r : p.getRecords()) {
      if (r.getState() > static_cast<int>(membership::MemberState::dead))
        throw_bad_value("state", std::to_string(r.getState()));
      records.push_back({r.getWho(), r.getIncarnation(), static_cast<membership::MemberState>(r.getState()),
                         r.getBy(), r.getReads()});
    }
    std::vector<std::uint64_t> digests;
    for (const auto d : p.getDigests()) digests.push_back(d);
    std::optional<Belief> belief;
    if (p.hasBelief()) belief = belief_of(p.getBelief());
    std::vector<Gossip::Item> items;
    for (const auto i : p.getItems()) {
      const auto bytes = i.getBytes();
      items.push_back({i.getKind(), {reinterpret_cast<const char*>(bytes.begin()), bytes.size()}});
    }
    into.head(from, p.getIncarnation(), p.getReads(), checked_time(p.getAt()), now);
    for (const auto& r : records) into.record(r, now);
    for (const auto& f : facts) into.fact(f, now);
    using Kind = Gossip::Kind;
    const auto kind = static_cast<Kind>(p.getKind());
    for (const auto& i : items) {
      if (kind == Kind::letter)
        into.letter(from, i, now);
      else
        into.item(i.kind, i.bytes, now);
    }
    if (kind <= Kind::ask)
      into.probe(from, static_cast<membership::Probe::Kind>(kind), p.getNumber(), p.getAbout(), now);
    if (kind == Kind::fill) into.fill(from, p.getNumber());
    if (kind == Kind::digest) into.digest(from, p.getNumber(), digests, now);
    if (kind == Kind::answer) into.answer(from, p.getNumber(), digests, p.getFills(), p.getMore(), now);
    if (kind == Kind::belief && belief) into.belief(from, std::move(*belief), now);
    if (kind == Kind::recall) into.recall(from);
    return true;  // a newer router's kind: passed over
  });
}

std::string stored_text(const replica::EndpointObservation& f) {
  capnp::MallocMessageBuilder message;
  put(message.initRoot<schema::Fact>(), f);
  return message_bytes(message);
}

std::string stored_text(const Belief& belief) {
  capnp::MallocMessageBuilder message;
  put(message.initRoot<schema::Belief>(), belief);
  return message_bytes(message);
}

Belief stored_belief(std::string_view bytes) {
  return reading<schema::Belief>(bytes, [](const schema::Belief::Reader& b) { return belief_of(b); });
}

replica::EndpointObservation stored_fact(std::string_view bytes) {
  return reading<schema::Fact>(bytes, [](const schema::Fact::Reader& f) { return fact_of(f); });
}

std::string numbers_text(std::string text, std::initializer_list<std::uint64_t> numbers) {
  for (const auto n : numbers)
    for (int shift = 56; shift >= 0; shift -= 8) text += static_cast<char>(n >> shift & 255);
  return text;
}

std::string stored_text(const Entry& e) {
  capnp::MallocMessageBuilder message;
  auto entry = message.initRoot<schema::Entry>();
  put(entry, e);
  entry.setFrom(e.from);
  entry.setPlace(e.place);
  return message_bytes(message);
}

Entry stored_entry(std::string_view bytes) {
  return reading<schema::Entry>(bytes, [](const schema::Entry::Reader& e) {
    const auto what = what_of(e);
    return Entry{{checked_time(e.getAt()), e.getIssuer(), e.getNumber()},
                 kind_of(e.getKind()),
                 std::string(what),
                 checked_time(e.getFrom()),
                 e.getPlace()};
  });
}

}  // namespace walkpaddle::fleet
