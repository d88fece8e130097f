// Tests of purge components: the purge index and the purge log against randomly generated cases, decoding of
// messages truncated at each byte, and opening of a store truncated at each byte of its last write. Prints
// one line for each check.
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

bool all_hold = true;

void report(const char* what, bool good) {
  std::printf("%s: %s\n", what, good ? "holds" : "BROKEN");
  all_hold = all_hold && good;
}

std::string object_name(int n) { return fmt::format("{:016x}", n); }

// A reference for the purge index without limits, which looks at each purge.
struct ReferenceIndex {
  std::vector<std::pair<int, Seconds>> objects, tags;
  Seconds newest(int object, const std::vector<int>* known_tags) const {
    Seconds from = 0;
    for (const auto& [o, at] : objects)
      if (o == object) from = std::max(from, at);
    for (const auto& [t, at] : tags)
      if (known_tags == nullptr || std::count(known_tags->begin(), known_tags->end(), t) > 0)
        from = std::max(from, at);
    return from;
  }
};

// Above its limit the index folds purges, so its times may be later than those of the reference, but never
// earlier. Below the limit they are the same.
bool index_property(std::size_t max_entries, bool exact) {
  return rc::check([=] {
    PurgeIndex index({.max_age = 1e6, .entries_per_kind = max_entries, .objects = 64});
    ReferenceIndex reference;
    std::map<int, std::vector<int>> tags;
    Seconds now = 1000;
    for (const int step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 4000))) {
      now += 1;
      const int object = step % 40, tag = step / 40 % 10;
      if (step % 7 == 0) {
        index.add_tag(stable_hash(fmt::format("t{}", tag)), now), reference.tags.emplace_back(tag, now);
      } else if (step % 7 == 1) {
        const std::uint64_t hash = stable_hash(fmt::format("t{}", tag));
        index.record_tags(stable_hash(object_name(object)), {&hash, 1}, now);
        auto& object_tags = tags[object];
        if (std::count(object_tags.begin(), object_tags.end(), tag) == 0) object_tags.push_back(tag);
      } else {
        index.add_object(stable_hash(object_name(object)), now), reference.objects.emplace_back(object, now);
      }
    }
    for (int object = 0; object < 40; ++object) {
      const auto it = tags.find(object);
      const bool known = it != tags.end() && it->second.size() <= TagCache::Record::kMaxTags;
      const Seconds found = index.valid_since(stable_hash(object_name(object)), 0, object_name(object), now);
      const Seconds expected = reference.newest(object, known ? &it->second : nullptr);
      RC_ASSERT(found >= expected);
      if (exact) RC_ASSERT(found == expected);
    }
  });
}

// Logs that receive the same entries, duplicated and out of order, end with the same order.
bool log_property() {
  return rc::check([] {
    const auto issuers = *rc::gen::container<std::vector<int>>(40, rc::gen::inRange(0, 3));
    std::vector<PurgeEntry> all;
    std::map<std::uint64_t, std::uint64_t> numbers;
    Seconds at = 1000;
    for (const int issuer : issuers)
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
    PurgeLog ordered({}), shuffled({});
    for (const auto& e : all) ordered.add(e.stamp, e.kind, e.target, 2000);
    std::size_t n = 0;
    for (const auto& e : mixed) {
      shuffled.add(e.stamp, e.kind, e.target, 2000 + static_cast<Seconds>(++n));
      // The contiguous run never extends past a missing number.
      const auto progress = shuffled.progress(e.stamp.issuer);
      for (std::uint64_t k = 1; k <= progress.contiguous; ++k)
        RC_ASSERT(shuffled.find(e.stamp.issuer, k) != nullptr);
    }
    RC_ASSERT(!shuffled.has_gaps());
    RC_ASSERT(std::ranges::equal(ordered.entries(), shuffled.entries(),
                                 [](const auto& a, const auto& b) { return a.first == b.first; }));
  });
}

void check_patterns() {
  PurgeIndex index({.max_age = 1e6, .entries_per_kind = 4096, .objects = 64});
  const auto newest = [&](int n) {
    return index.valid_since(stable_hash(object_name(n)), 0, object_name(n), 2000);
  };
  index.add_pattern("0*a.", 1000);
  report("a pattern covers only names that it matches in full",
         newest(0xa3) == 1000 && newest(0xb3) == 0 && newest(0xa30) == 0);
  // Ten thousand purges are in force, and one of the objects is purged again.
  for (int n = 0; n < 10000; ++n) index.add_object(stable_hash(object_name(n)), 1100 + n * 0.01);
  index.add_object(stable_hash(object_name(7)), 1500);
  report("a newer purge of an object applies among ten thousand purges",
         newest(7) == 1500 && newest(9999) >= 1100 + 99.99);
  index.add_pattern(".*", 1600);
  report("a pattern that matches every name covers every object",
         newest(7) == 1600 && newest(0xffffff) == 1600);
  for (int n = 0; n < 1400; ++n) index.add_pattern(fmt::format("x{}y", n), 1700 + n * 0.01);
  report("patterns dropped above the limit still cover all objects", newest(0xffffff) >= 1600);
  report("unusable patterns are rejected",
         PurgePatterns::rejection_reason("(") && PurgePatterns::rejection_reason(std::string(300, 'a')) &&
             PurgePatterns::rejection_reason("") &&
             PurgePatterns::rejection_reason("((a{0,200}){0,200}){0,200}") &&
             !PurgePatterns::rejection_reason("0*1[0-9a-f]"));
}

// Purges of the same object from discovery and from the fleet share one index: the newer one applies,
// whichever arrives first. A gap in discovery's watch events limits the age of all copies until the missing
// events arrive. If they are lost, all copies from before are stale.
void check_discovery_purges() {
  const auto object = stable_hash(object_name(7));
  bool good = true;
  for (const bool discovery_first : {true, false}) {
    PurgeRegistry::Setup setup;
    setup.replicated = true, setup.max_copy_age = 1000;
    PurgeRegistry purges(setup, 1000);
    if (discovery_first) purges.discovery_purged_object(object, 1010);
    purges.issue(PurgeKind::object, object_name(7), 1020);
    if (!discovery_first) purges.discovery_purged_object(object, 1010);
    good = good && purges.valid_since(object, 0, object_name(7), 1030) == 1020;
    purges.discovery_purged_object(object, 1025);
    good = good && purges.valid_since(object, 0, object_name(7), 1030) == 1025;
  }
  report("the newer purge of discovery and fleet applies", good);
  PurgeRegistry purges({}, 1000);
  const bool unlimited = purges.copy_age_limit(1001) == 0;
  purges.set_discovery_gap(true);
  const bool bounded = purges.copy_age_limit(1002) > 0 && purges.copy_age_limit(1002) < 0.5;
  purges.set_discovery_gap(false);
  const bool filled = purges.copy_age_limit(1003) == 0 && purges.valid_since(object, 0, {}, 1003) == 0;
  purges.set_discovery_gap(true);
  purges.discovery_purges_lost(1005);
  report("a discovery gap limits ages until events arrive or are lost",
         unlimited && bounded && filled && purges.copy_age_limit(1005) == 0 &&
             purges.valid_since(object, 0, {}, 1005) == 1005);
}

// Records decoded messages as text.
struct RecordingHandler final : replication::LinkMessageHandler {
  std::string text;
  void hello(int version, std::string_view name) override {
    text += fmt::format("hello {} {};", version, name);
  }
  void heartbeat(Seconds remote_time, Seconds echo, bool complete) override {
    text += fmt::format("heartbeat {} {} {};", remote_time, echo, complete);
  }
  void head(std::uint64_t issuer, std::uint64_t number, std::uint64_t dropped, Seconds evicted_ago) override {
    text += fmt::format("head {} {} {} {};", issuer, number, dropped, evicted_ago);
  }
  void heartbeat_end() override { text += "end;"; }
  void entry(const PurgeStamp& stamp, PurgeKind kind, std::string_view target) override {
    text += fmt::format("entry {} {} {} {} {};", stamp.issued_at, stamp.issuer, stamp.number,
                        static_cast<int>(kind), target);
  }
  void request(std::uint64_t issuer, std::uint64_t from_number) override {
    text += fmt::format("request {} {};", issuer, from_number);
  }
};

void check_messages() {
  PurgeLog log({});
  PurgeReplication replication(log, 2, LogStorage::memory, {}, 1000);
  log.issue(5, PurgeKind::tag, "contract7", 1000);
  const auto& e = log.issue(5, PurgeKind::pattern, "0*1.", 1001);
  const std::string texts[] = {replication::encode_hello("r1"),
                               replication::encode_heartbeat(log, replication, 1002, 999),
                               replication::encode_purge(e), replication::encode_request(5, 2)};
  const std::string expected[] = {"hello 1 r1;", "heartbeat 1002 999 false;head 5 2 0 0;end;",
                                  "entry 1001 5 2 3 0*1.;", "request 5 2;"};
  bool whole = true, truncated = true, corrupted = true;
  for (int n = 0; n < 4; ++n) {
    RecordingHandler handler;
    whole = whole && replication::read_link_message(texts[n], handler) == texts[n].size() &&
            handler.text == expected[n];
    for (std::size_t size = 0; size < texts[n].size(); ++size) {
      RecordingHandler part;
      truncated = truncated &&
                  replication::read_link_message(std::string_view(texts[n]).substr(0, size), part) == 0 &&
                  part.text.empty();
    }
    // With any bit flipped, decoding throws InputError or consumes at most the bytes there are.
    for (std::size_t bit = 0; bit < 8 * texts[n].size(); ++bit) {
      auto text = texts[n];
      text[bit / 8] = static_cast<char>(text[bit / 8] ^ 1 << bit % 8);
      RecordingHandler other;
      try {
        corrupted = corrupted && replication::read_link_message(text, other) <= text.size();
      } catch (const InputError&) {
      }
    }
  }
  report("decoded messages equal the encoded ones", whole);
  report("a message truncated at any byte is incomplete", truncated);
  report("a message with any bit flipped is bounded or rejected", corrupted);
}

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), {}};
}

// The number of entries in a store whose file has these bytes; -1 if it was rejected with an error of one
// line, -2 on any other failure. Opens the store in a child process, since a truncated file could crash it.
int entries_read(const std::string& folder, const std::string& bytes) {
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

void check_store() {
  constexpr int kStored = 20;
  const auto base = std::filesystem::temp_directory_path() / fmt::format("walkpaddle-store-{}", ::getpid());
  const auto folder = base.string(), copy = base.string() + "-truncated";
  const auto file = folder + "/data.mdb";
  const auto put = [&](int first, int last) {
    store::Store store({folder, 1});
    for (int n = first; n < last; ++n)
      store.put(fmt::format("e{:04}", n), std::string(100, 'v'), static_cast<std::uint64_t>(n));
  };
  std::filesystem::remove_all(folder);
  put(0, kStored);
  const auto before = read_file(file);
  put(kStored, kStored + 1);
  const auto after = read_file(file);
  report("a store has the entries that were written", entries_read(copy, after) == kStored + 1);
  // The last write changes data pages first, in the order of the file, then one of the two meta pages.
  const auto meta_bytes = 2 * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  auto part = before;
  part.resize(std::max(before.size(), after.size()), '\0');
  bool good = true;
  int states_tried = 0;
  const auto step = [&](std::size_t from, std::size_t to) {
    for (std::size_t n = from; n < to; ++n) {
      if (n >= after.size() || part[n] == after[n]) continue;
      part[n] = after[n];
      const int got = entries_read(copy, n >= meta_bytes && n + 1 > before.size()
                                             ? part.substr(0, std::max(before.size(), n + 1))
                                             : part);
      good = good && (got == kStored || got == kStored + 1 || got == -1);
      ++states_tried;
    }
  };
  step(meta_bytes, after.size());
  const bool good_after_data = good;
  step(0, meta_bytes);
  report("a store with part of the last write's data pages has all earlier entries or is rejected",
         good_after_data && states_tried > 50);
  report("a store with part of the last write's meta page has all earlier entries or is rejected", good);
  bool rejected = true;
  for (std::size_t size = 0; size < after.size(); size += size < meta_bytes ? 257 : 64) {
    const int got = entries_read(copy, after.substr(0, size));
    rejected = rejected && (got == -1 || got >= kStored || (size == 0 && got == 0));
  }
  report("a truncated file is rejected or complete", rejected);
  report("a file of another program is rejected", entries_read(copy, std::string(20000, 'x')) == -1);
  std::filesystem::remove_all(folder);
  std::filesystem::remove_all(copy);
}

}  // namespace

int main() {
  ::setenv("RC_PARAMS", "seed=1 max_success=200 verbose_progress=0", 1);
  std::fclose(stderr);  // hides what rapidcheck prints for successful runs
  report("an index below its limit gives the exact time", index_property(4096, true));
  report("an index above its limit never gives an earlier time", index_property(3, false));
  report("logs converge on one order for any order of arrival, with no gap skipped", log_property());
  check_patterns();
  check_discovery_purges();
  check_messages();
  check_store();
  return all_hold ? 0 : 1;
}
