/// \file
/// Keeps a router's endpoint observations in its store. Runs on the scheduler's thread.
#pragma once

#include <map>
#include <string_view>

#include "io/log.h"
#include "replica/observation_tracker.h"
#include "store/store.h"

namespace walkpaddle::replication {

/// Writes what changed since the last call, and reads it at a start. All parts must outlive it.
class ObservationPersister {
 public:
  /// Reads and writes nothing yet.
  ObservationPersister(Log& log, store::Store& store, replica::ObservationTracker& tracker)
      : log_(log), store_(store), tracker_(tracker) {}

  /// Whether an entry of the store is an observation.
  static bool owns(std::string_view key) { return key.starts_with(kPrefix); }
  /// Hands an entry to the tracker, with the time at which it was seen. Throws InputError if it cannot be
  /// read.
  void restore(std::string_view value, Seconds now);
  /// Logs how many were restored.
  void log_restored() const;
  /// Writes and erases what changed. What has no room now is tried again by the next call.
  void save();

 private:
  static constexpr char kPrefix = 'f';
  static std::string key_of(const replica::ObservationKey& key);

  Log& log_;
  store::Store& store_;
  replica::ObservationTracker& tracker_;
  std::map<replica::ObservationKey, replica::HybridTimestamp> stored_;
  std::size_t restored_ = 0;
  std::size_t refused_ = 0;
  bool failure_logged_ = false;
};

}  // namespace walkpaddle::replication
