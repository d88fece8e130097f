/// \file
/// Persists endpoint observations in the store. Runs on the scheduler's thread.
#pragma once

#include <map>
#include <string_view>

#include "io/log.h"
#include "replica/observation_tracker.h"
#include "store/store.h"

namespace walkpaddle::replication {

/// Reads stored observations at a start and writes those that change. All constructor arguments must outlive
/// it.
class ObservationPersister {
 public:
  /// Does not access the store.
  ObservationPersister(Log& log, store::Store& store, replica::ObservationTracker& tracker)
      : log_(log), store_(store), tracker_(tracker) {}

  /// Whether the entry of the store under `key` is an observation.
  static bool owns(std::string_view key) { return key.starts_with(kPrefix); }
  /// Passes a stored observation to the tracker with its original timestamp. Throws InputError if the value
  /// is malformed.
  void restore(std::string_view value, Seconds now);
  /// Logs the number of restored observations.
  void log_restored() const;
  /// Writes and erases what has changed since the last call. What the store does not accept is retried by the
  /// next call.
  void save();

 private:
  static constexpr char kPrefix = 'f';
  static std::string key_of(const replica::ObservationKey& key);

  Log& log_;
  store::Store& store_;
  replica::ObservationTracker& tracker_;
  std::map<replica::ObservationKey, replica::HybridTimestamp> stored_;
  std::size_t restored_ = 0;
  std::size_t rejected_ = 0;
  bool failure_logged_ = false;
};

}  // namespace walkpaddle::replication
