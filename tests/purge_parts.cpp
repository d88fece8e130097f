// The parts of the purges one by one: properties of cover and book over drawn cases, messages cut at each
// byte, a store cut at each byte of its last write. One line each.
#include <fmt/core.h>
#include <rapidcheck.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "base/text.h"
#include "config/settings.h"
#include "purge/purge_index.h"
#include "purge/purge_registry.h"
#include "replication/link_codec.h"
#include "store/store.h"

using namespace walkpaddle;
using namespace walkpaddle::purge;

namespace {

bool all_good = true;

void say(const char* what, bool good) {
  std::printf("%s: %s\n", what, good ? "holds" : "BROKEN");
  all_good = all_good && good;
}

std::string object_name(int n) { return fmt::format("{:016x}", n); }

// What a cover with no bounds would say, by looking at each purge.
struct Plain {
  std::vector<std::pair<int, Seconds>> objects, tags;
  Seconds newest(int object, const std::vector<int>* its_tags) const {
    Seconds from = 0;
    for (const auto& [o, at] : objects)
      if (o == object) from = std::max(from, at);
    for (const auto& [t, at] : tags)
      if (its_tags == nullptr || std::count(its_tags->begin(), its_tags->end(), t) > 0)
        from = std::max(from, at);
    return from;
  }
};

// With few places everything folds, and a cover may say more than it must, never less; with room it says just
// that.
bool cover_property(std::size_t most, bool exact) {
  return rc::check([=] {
    PurgeIndex index({.max_age = 1e6, .entries_per_kind = most, .objects = 64});
    Plain plain;
    std::map<int, std::vector<int>> tags;
    Seconds now = 1000;
    for (const int step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 4000))) {
      now += 1;
      const int object = step % 40, tag = step / 40 % 10;
      if (step % 7 == 0) {
        index.add_tag(stable_hash(fmt::format("t{}", tag)), now), plain.tags.emplace_back(tag, now);
      } else if (step % 7 == 1) {
        const std::uint64_t hash = stable_hash(fmt::format("t{}", tag));
        index.learn_tags(stable_hash(object_name(object)), {&hash, 1}, now);
        auto& its = tags[object];
        if (std::count(its.begin(), its.end(), tag) == 0) its.push_back(tag);
      } else {
        index.add_object(stable_hash(object_name(object)), now), plain.objects.emplace_back(object, now);
      }
    }
    for (int object = 0; object < 40; ++object) {
      const auto it = tags.find(object);
      const bool known = it != tags.end() && it->second.size() <= TagCache::Record::kMaxTags;
      const Seconds says = index.valid_since(stable_hash(object_name(object)), 0, object_name(object), now);
      const Seconds must = plain.newest(object, known ? &it->second : nullptr);
      RC_ASSERT(says >= must);
      if (exact) RC_ASSERT(says == must);
    }
  });
}

// However entries come, doubled and out of order, books that hold the same end with the same order.
bool order_property() {
  return rc::check([] {
    const auto drawn = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 3));
    std::vector<PurgeEntry> all;
    std::map<std::uint64_t, std::uint64_t> numbers;
    Seconds at = 1000;
    for (const int issuer : drawn)
      all.push_back(
          {{at += (issuer == 0 ? 0.5 : 0), static_cast<std::uint64_t>(issuer + 1), ++numbers[issuer + 1]},
           PurgeKind::object,
           "x",
           0,
           0});
    auto mixed = all;
    for (std::size_t n = 0; n < mixed.size(); ++n)
      std::swap(mixed[n], mixed[*rc::gen::inRange<std::size_t>(0, mixed.size())]);
    mixed.insert(mixed.end(), all.begin(), all.begin() + 10);
    PurgeLog straight({}), shuffled({});
    for (const auto& e : all) straight.add(e.stamp, e.kind, e.target, 2000);
    std::size_t n = 0;
    for (const auto& e : mixed) {
      shuffled.add(e.stamp, e.kind, e.target, 2000 + static_cast<Seconds>(++n));
      // The run is never past a number that did not come.
      const auto progress = shuffled.progress(e.stamp.issuer);
      for (std::uint64_t k = 1; k <= progress.contiguous; ++k)
        RC_ASSERT(shuffled.find(e.stamp.issuer, k) != nullptr);
    }
    RC_ASSERT(!shuffled.has_gaps());
    RC_ASSERT(std::ranges::equal(straight.entries(), shuffled.entries(),
                                 [](const auto& a, const auto& b) { return a.first == b.first; }));
  });
}

void patterns() {
  PurgeIndex index({.max_age = 1e6, .entries_per_kind = 4096, .objects = 64});
  const auto newest = [&](int n) {
    return index.valid_since(stable_hash(object_name(n)), 0, object_name(n), 2000);
  };
  index.add_pattern("0*a.", 1000);
  say("a pattern covers what it matches whole and no more",
      newest(0xa3) == 1000 && newest(0xb3) == 0 && newest(0xa30) == 0);
  // Ten thousand in force, and a purge of the objects that they covered.
  for (int n = 0; n < 10000; ++n) index.add_object(stable_hash(object_name(n)), 1100 + n * 0.01);
  index.add_object(stable_hash(object_name(7)), 1500);
  say("a purge of what is purged already, among ten thousand",
      newest(7) == 1500 && newest(9999) >= 1100 + 99.99);
  index.add_pattern(".*", 1600);
  say("a pattern that covers everything", newest(7) == 1600 && newest(0xffffff) == 1600);
  for (int n = 0; n < 1400; ++n) index.add_pattern(fmt::format("x{}y", n), 1700 + n * 0.01);
  say("patterns past their bound cover more", newest(0xffffff) >= 1600);
  say("patterns that cannot be used are refused",
      PurgePatterns::rejection_reason("(") && PurgePatterns::rejection_reason(std::string(300, 'a')) &&
          PurgePatterns::rejection_reason("") &&
          PurgePatterns::rejection_reason("((a{0,200}){0,200}){0,200}") &&
          !PurgePatterns::rejection_reason("0*1[0-9a-f]"));
}

// What the bus and the fleet tell of the same object is one thing: the newer counts, whichever comes first. A
// gap in the bus's numbers bounds all ages until it is filled, or all copies from before are old.
void bus_and_fleet() {
  const auto object = stable_hash(object_name(7));
  bool good = true;
  for (const bool bus_first : {true, false}) {
    PurgeRegistry::Setup setup;
    setup.replicated = true, setup.max_copy_age = 1000;
    PurgeRegistry purges(setup, 1000);
    if (bus_first) purges.discovery_purged_object(object, 1010);
    purges.issue(PurgeKind::object, object_name(7), 1020);
    if (!bus_first) purges.discovery_purged_object(object, 1010);
    good = good && purges.valid_since(object, 0, object_name(7), 1030) == 1020;
    purges.discovery_purged_object(object, 1025);
    good = good && purges.valid_since(object, 0, object_name(7), 1030) == 1025;
  }
  say("a purge told by bus and by fleet is one", good);
  PurgeRegistry purges({}, 1000);
  const bool none = purges.copy_age_limit(1001) == 0;
  purges.set_discovery_gap(true);
  const bool bounded = purges.copy_age_limit(1002) > 0 && purges.copy_age_limit(1002) < 0.5;
  purges.set_discovery_gap(false);
  const bool filled = purges.copy_age_limit(1003) == 0 && purges.valid_since(object, 0, {}, 1003) == 0;
  purges.set_discovery_gap(true);
  purges.discovery_purges_lost(1005);
  say("a gap of the bus bounds ages until it is filled or given up",
      none && bounded && filled && purges.copy_age_limit(1005) == 0 &&
          purges.valid_since(object, 0, {}, 1005) == 1005);
}

struct Heard final : replication::LinkMessageHandler {
  std::string text;
  void hello(int version, std::string_view name) override {
    text += fmt::format("hello {} {};", version, name);
  }
  void heartbeat(Seconds theirs, Seconds echo, bool whole) override {
    text += fmt::format("beat {} {} {};", theirs, echo, whole);
  }
  void head(std::uint64_t i, std::uint64_t n, std::uint64_t b, Seconds g) override {
    text += fmt::format("head {} {} {} {};", i, n, b, g);
  }
  void heartbeat_end() override { text += "end;"; }
  void entry(const PurgeStamp& s, PurgeKind k, std::string_view what) override {
    text += fmt::format("entry {} {} {} {} {};", s.issued_at, s.issuer, s.number, static_cast<int>(k), what);
  }
  void request(std::uint64_t i, std::uint64_t from) override { text += fmt::format("want {} {};", i, from); }
};

void messages() {
  PurgeLog log({});
  PurgeReplication replication(log, 2, LogStorage::memory, {}, 1000);
  log.issue(5, PurgeKind::tag, "contract7", 1000);
  const auto& e = log.issue(5, PurgeKind::pattern, "0*1.", 1001);
  const std::string texts[] = {replication::encode_hello("r1"),
                               replication::encode_heartbeat(log, replication, 1002, 999),
                               replication::encode_purge(e), replication::encode_request(5, 2)};
  const std::string wanted[] = {"hello 1 r1;", "beat 1002 999 false;head 5 2 0 0;end;",
                                "entry 1001 5 2 3 0*1.;", "want 5 2;"};
  bool whole = true, cut = true, spoilt = true;
  for (int n = 0; n < 4; ++n) {
    Heard heard;
    whole = whole && replication::read_link_message(texts[n], heard) == texts[n].size() &&
            heard.text == wanted[n];
    for (std::size_t size = 0; size < texts[n].size(); ++size) {
      Heard part;
      cut = cut && replication::read_link_message(std::string_view(texts[n]).substr(0, size), part) == 0 &&
            part.text.empty();
    }
    // Each bit turned: read as something bounded, or InputError; never more than there is.
    for (std::size_t bit = 0; bit < 8 * texts[n].size(); ++bit) {
      auto text = texts[n];
      text[bit / 8] = static_cast<char>(text[bit / 8] ^ 1 << bit % 8);
      Heard other;
      try {
        spoilt = spoilt && replication::read_link_message(text, other) <= text.size();
      } catch (const InputError&) {
      }
    }
  }
  say("messages read back as they were written", whole);
  say("a message cut at any byte waits for the rest", cut);
  say("a message with any bit turned is bounded or refused", spoilt);
}

std::string bytes_of(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// How many entries a store with these bytes gives: -1 refused with one plain line, -2 anything else.
int opened(const std::string& folder, const std::string& bytes) {
  std::filesystem::remove_all(folder);
  std::filesystem::create_directory(folder);
  std::ofstream(folder + "/data.mdb", std::ios::binary) << bytes;
  const pid_t pid = ::fork();
  if (pid == 0) {
    try {
      store::Store store({folder, 1});
      int count = 0;
      store.for_each([&](std::string_view, std::string_view) { ++count; });
      ::_exit(count);
    } catch (const StoreError& e) {
      ::_exit(std::string_view(e.what()).find('\n') == std::string_view::npos ? 200 : 201);
    } catch (...) {
      ::_exit(202);
    }
  }
  int status = 0;
  ::waitpid(pid, &status, 0);
  if (!WIFEXITED(status) || WEXITSTATUS(status) > 200) return -2;
  return WEXITSTATUS(status) == 200 ? -1 : WEXITSTATUS(status);
}

void stores() {
  constexpr int kHeld = 20;
  const auto base = std::filesystem::temp_directory_path() / fmt::format("walkpaddle-store-{}", ::getpid());
  const auto folder = base.string(), copy = base.string() + "-cut";
  const auto file = folder + "/data.mdb";
  const auto put = [&](int first, int last) {
    store::Store store({folder, 1});
    for (int n = first; n < last; ++n)
      store.put(fmt::format("e{:04}", n), std::string(100, 'v'), static_cast<std::uint64_t>(n));
  };
  std::filesystem::remove_all(folder);
  put(0, kHeld);
  const auto before = bytes_of(file);
  put(kHeld, kHeld + 1);
  const auto after = bytes_of(file);
  say("a store holds what was written", opened(copy, after) == kHeld + 1);
  // The last write: pages first, in the order of the file, then one of the two head pages.
  const auto head = 2 * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  auto part = before;
  part.resize(std::max(before.size(), after.size()), '\0');
  bool good = true;
  int tried = 0;
  const auto step = [&](std::size_t from, std::size_t to) {
    for (std::size_t n = from; n < to; ++n) {
      if (n >= after.size() || part[n] == after[n]) continue;
      part[n] = after[n];
      const int got = opened(
          copy, n >= head && n + 1 > before.size() ? part.substr(0, std::max(before.size(), n + 1)) : part);
      good = good && (got == kHeld || got == kHeld + 1 || got == -1);
      ++tried;
    }
  };
  step(head, after.size());
  const bool data_keeps = good;
  step(0, head);
  say("cut off at each byte of the last write's pages, it gives all that was there before",
      data_keeps && tried > 50);
  say("cut off at each byte of its head page, it gives one or the other", good);
  bool refused = true;
  for (std::size_t size = 0; size < after.size(); size += size < head ? 257 : 64) {
    const int got = opened(copy, after.substr(0, size));
    refused = refused && (got == -1 || got >= kHeld || (size == 0 && got == 0));
  }
  say("a file cut short is refused or whole", refused);
  say("a foreign file is refused", opened(copy, std::string(20000, 'x')) == -1);
  std::filesystem::remove_all(folder);
  std::filesystem::remove_all(copy);
}

}  // namespace

int main() {
  ::setenv("RC_PARAMS", "seed=1 max_success=200 verbose_progress=0", 1);
  std::fclose(stderr);  // what rapidcheck says of good runs
  say("a cover with room says just what each purge says", cover_property(4096, true));
  say("a cover past its bound says more, never less", cover_property(3, false));
  say("one order, however entries come, and no gap passed over", order_property());
  patterns();
  bus_and_fleet();
  messages();
  stores();
  return all_good ? 0 : 1;
}
