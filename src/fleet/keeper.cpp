#include "fleet/keeper.h"

#include <unistd.h>

#include <algorithm>
#include <vector>

#include "base/text.h"
#include "replication/link_codec.h"
#include "store/key.h"

namespace walkpaddle::fleet {

namespace {

// Keys: "e" issuer number, an entry; "b" issuer, how far its run was dropped; "r", the store's life.
constexpr std::string_view kRun = "r";

std::uint64_t number_of(std::string_view text) {
  if (text.size() != 8) throw_bad_value("stored number of length", std::to_string(text.size()));
  std::uint64_t value = 0;
  for (const char c : text) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}

std::string key_of(const Stamp& s) { return store::encode_key("e", {s.issuer, s.number}); }

// Times in the store in whole microseconds.
constexpr Seconds kMicro = 1e-6;

}  // namespace

std::string run_of(store::Store& store, const std::string& fresh) {
  std::string run;
  store.each([&](std::string_view key, std::string_view value) {
    if (key == kRun) run = value;
  });
  if (!run.empty()) return run;
  store.put(std::string(kRun), fresh, 0);
  return fresh;
}

Keeper::Keeper(Scheduler& scheduler, Log& log, Purges& purges, store::Store& store)
    : scheduler_(scheduler), log_(log), purges_(purges), store_(store) {
  const Seconds now = scheduler.now();
  std::vector<Entry> entries;
  try {
    store_.each([&](std::string_view key, std::string_view value) {
      if (key.starts_with('e')) {
        entries.push_back(replication::decode_stored_purge(value));
      } else if (key.starts_with('b')) {
        const auto given_up =
            static_cast<Seconds>(number_of(value.substr(std::min<std::size_t>(8, value.size())))) * kMicro;
        purges_.restore_base(number_of(key.substr(1)), number_of(value.substr(0, 8)), given_up, now);
      }
    });
  } catch (const InputError& e) {
    throw StoreError(std::string("store: ") + e.what());
  }
  std::ranges::sort(entries, {}, &Entry::place);
  for (const auto& e : entries) purges_.restore(e, now);
  purges_.restored();
  log_("purge", "{} purges read from the store", entries.size());
  scheduler_.watch(store_.told(), *this);
}

Keeper::~Keeper() { scheduler_.forget(store_.told(), *this); }

void Keeper::on_ready(std::uint32_t) {
  std::uint64_t count = 0;
  if (::read(store_.told(), &count, sizeof count) != sizeof count) return;
  purges_.stored(store_.written(), scheduler_.now());
  if (store_.failed() && !std::exchange(said_, true))
    log_("store", "{}: purges issued here are not accepted until it writes again", store_.why());
  if (!store_.failed() && std::exchange(said_, false)) log_("store", "writes again");
}

void Keeper::pull() {
  if (store_.failed()) return;
  while (const auto* e = purges_.next_to_store()) {
    if (!store_.put(key_of(e->stamp), replication::encode_stored_purge(*e), e->place)) return;
    purges_.handed_to_store(*e);
  }
  while (const auto* gone = purges_.next_to_erase()) {
    const auto run = purges_.book().run(gone->issuer);
    const auto given_up = static_cast<std::uint64_t>(run.given_up / kMicro) + (run.given_up > 0 ? 1 : 0);
    // The base first: cut off between the two, an entry is held that needs not be.
    if (!store_.put(store::encode_key("b", {gone->issuer}), store::encode_key("", {run.base, given_up}), 0) ||
        !store_.erase(key_of(*gone)))
      return;
    purges_.erased();
  }
}

}  // namespace walkpaddle::fleet
