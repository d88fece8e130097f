#include "fleet/wire.h"

#include <utility>

#include "base/text.h"
#include "fleet/fleet.capnp.h"
#include "gossip/protocol_version.h"
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
  hello.setVersion(gossip::kProtocolVersion);
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
