#include "replication/purge_persister.h"

#include <unistd.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/text.h"
#include "replication/link_codec.h"
#include "store/key.h"

namespace walkpaddle::replication {

namespace {

using purge::PurgeEntry, purge::PurgeStamp;

// Keys: "e" with issuer and number for an entry; "b" with the issuer for its DroppedRecord; "p" for the last
// position that was erased; "r" for the identity.
constexpr std::string_view kIdentityKey = "r";
constexpr std::string_view kErasedPositionKey = "p";
constexpr char kEntryPrefix = 'e';
constexpr char kDroppedPrefix = 'b';
constexpr std::size_t kNumberBytes = 8;
constexpr Seconds kMicrosecond = 1e-6;  // unit of the times in a DroppedRecord

std::uint64_t parse_number(std::string_view text) {
  if (text.size() != kNumberBytes) throw_bad_value("length of a stored number", std::to_string(text.size()));
  std::uint64_t value = 0;
  for (const char c : text) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}

std::string entry_key(const PurgeStamp& stamp) {
  return store::encode_key({kEntryPrefix}, {stamp.issuer, stamp.number});
}

// Stored record of how far an issuer's entries have been dropped, see PurgeLog::IssuerProgress.
struct DroppedRecord {
  std::uint64_t issuer = 0;
  std::uint64_t dropped = 0;
  Seconds evicted_valid_since = 0;
};

DroppedRecord parse_dropped(std::string_view key, std::string_view value) {
  const auto second_number = value.substr(std::min(kNumberBytes, value.size()));
  const Seconds evicted_valid_since = static_cast<Seconds>(parse_number(second_number)) * kMicrosecond;
  return {.issuer = parse_number(key.substr(1)),
          .dropped = parse_number(value.substr(0, kNumberBytes)),
          .evicted_valid_since = evicted_valid_since};
}

}  // namespace

std::string load_or_create_identity(store::Store& store, const std::string& fresh_identity) {
  std::string identity;
  store.for_each([&](std::string_view key, std::string_view value) {
    if (key == kIdentityKey) identity = value;
  });
  if (!identity.empty()) return identity;
  store.put(std::string(kIdentityKey), fresh_identity, 0);
  return fresh_identity;
}

std::string position_series(const std::string& identity) {
  // Earlier releases began their positions anew at some restarts and used the identity alone.
  constexpr std::string_view kSuffix = "-2";
  return identity + std::string(kSuffix);
}

PurgePersister::PurgePersister(Scheduler& scheduler, Log& log, purge::PurgeRegistry& purges,
                               store::Store& store)
    : scheduler_(scheduler), log_(log), purges_(purges), store_(store) {
  restore();
  scheduler_.watch(store_.changed_fd(), *this);
}

PurgePersister::~PurgePersister() { scheduler_.unwatch(store_.changed_fd(), *this); }

void PurgePersister::restore() {
  const Seconds now = scheduler_.now();
  std::vector<PurgeEntry> entries;
  try {
    store_.for_each([&](std::string_view key, std::string_view value) {
      if (key.starts_with(kEntryPrefix)) {
        entries.push_back(decode_stored_purge(value));
      } else if (key.starts_with(kDroppedPrefix)) {
        const auto record = parse_dropped(key, value);
        purges_.restore_dropped(record.issuer, record.dropped, record.evicted_valid_since, now);
      } else if (key == kErasedPositionKey) {
        purges_.restore_erased(parse_number(value));
      }
    });
  } catch (const InputError& e) {
    throw StoreError(std::string("store: ") + e.what());
  }
  std::ranges::sort(entries, {}, &PurgeEntry::position);
  for (const auto& entry : entries) purges_.restore(entry, now);
  purges_.finish_restore();
  log_("purge", "{} purges read from the store", entries.size());
}

void PurgePersister::on_ready(std::uint32_t) {
  std::uint64_t count = 0;
  if (::read(store_.changed_fd(), &count, sizeof count) != sizeof count) return;
  purges_.mark_stored(store_.durable_sequence(), scheduler_.now());
  const bool failed = store_.failed();
  if (failed == std::exchange(failure_logged_, failed)) return;
  if (failed)
    log_("store", "{}: purges issued here are not accepted until writes succeed again", store_.last_error());
  else
    log_("store", "writes succeed again");
}

void PurgePersister::on_turn_end() {
  if (store_.failed()) return;
  if (store_new()) erase_dropped();
}

bool PurgePersister::store_new() {
  while (const auto* entry = purges_.next_to_store()) {
    if (!store_.put(entry_key(entry->stamp), encode_stored_purge(*entry), entry->position)) return false;
    purges_.mark_queued(*entry);
  }
  return true;
}

// The records are written before the erasure: a crash between them only leaves an entry that is not needed.
void PurgePersister::erase_dropped() {
  while (const auto* erasure = purges_.next_to_erase()) {
    if (!put_dropped(erasure->stamp.issuer)) return;
    if (!store_.put(std::string(kErasedPositionKey), store::encode_key("", {erasure->position}), 0)) return;
    if (!store_.erase(entry_key(erasure->stamp))) return;
    purges_.mark_erased();
  }
}

bool PurgePersister::put_dropped(std::uint64_t issuer) {
  const auto progress = purges_.log().progress(issuer);
  // Rounded up, since a later time covers at least as many copies.
  const auto evicted_micros = static_cast<std::uint64_t>(progress.evicted_valid_since / kMicrosecond) +
                              (progress.evicted_valid_since > 0 ? 1 : 0);
  return store_
      .put(store::encode_key({kDroppedPrefix}, {issuer}),
           store::encode_key("", {progress.dropped, evicted_micros}), 0)
      .has_value();
}

}  // namespace walkpaddle::replication
