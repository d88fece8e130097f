/// \file
/// A small durable key-value table in a folder, based on LMDB. Each value has a checksum. The table is read
/// in full at the start and written in batches by a thread of its own, so that the disk never blocks the
/// scheduler.
///
/// Errors: opening a store that is truncated, that another program wrote or that has an unknown format throws
/// a StoreError with a message of one line. A write that fails later, for example on a full disk, sets
/// failed() and is retried until it succeeds. Queued writes stay queued and become durable in order.
///
/// Threads: for_each(), put() and erase() only on the thread that created the store, since the queue to the
/// writer has a single producer; durable_sequence(), failed() and last_error() on any thread.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <tl/expected.hpp>
#include <vector>

#include "io/fd.h"

namespace walkpaddle::store {

/// Why a write was not queued. The caller should retry it later.
enum class WriteError {
  queue_full,          ///< too many writes are queued
  writer_unreachable,  ///< the writer thread could not be woken; the write is queued and may still be made
};

/// Result of put() and erase().
using WriteResult = tl::expected<void, WriteError>;

/// A durable key-value table.
class Store {
 public:
  /// Location and size limit.
  struct Setup {
    std::string folder;               ///< created if it does not exist
    std::size_t max_megabytes = 256;  ///< largest size of the table on disk
  };

  /// Opens the store or creates a new one, and starts the writer thread. Throws StoreError, or SystemError if
  /// no file descriptor is available.
  explicit Store(const Setup& setup);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  /// Writes what is queued, unless writes fail.
  ~Store();

  /// Calls `visit` with all keys and values, in order of key. To be called before the first write. Throws
  /// StoreError if the checksum of a value does not match, and whatever `visit` throws.
  void for_each(const std::function<void(std::string_view key, std::string_view value)>& visit);

  /// Sets the value of the key. Writes become durable in the order of the calls. `sequence` is what
  /// durable_sequence() reports once the write is durable; it must rise from call to call, or be 0 if it is
  /// not needed.
  WriteResult put(std::string key, std::string value, std::uint64_t sequence);
  /// Erases the key if it exists.
  WriteResult erase(std::string key);

  /// An eventfd that becomes readable when durable_sequence() or failed() may have changed. The caller must
  /// read it to reset it.
  int changed_fd() const { return changed_.get(); }
  /// All writes with a sequence up to this one are durable.
  std::uint64_t durable_sequence() const { return durable_sequence_.load(std::memory_order_acquire); }
  /// Whether the last write failed and is being retried.
  bool failed() const { return failed_.load(std::memory_order_acquire); }
  /// Why the last failed write failed, as a message for the operator.
  std::string last_error() const;

 private:
  struct Job;
  struct Database;

  WriteResult enqueue(Job job);
  void open();
  void check_not_truncated() const;
  void check_format();

  // Called on the writer thread only.
  void run_writer();
  bool write_until_durable(const std::vector<Job>& batch);
  void write_batch(const std::vector<Job>& batch);
  void reopen();
  void set_failed(std::string why);

  const Setup setup_;
  std::unique_ptr<Database> database_;
  Fd changed_;  // signals the owner
  Fd wake_;     // wakes the writer thread
  std::atomic<std::uint64_t> durable_sequence_ = 0;
  std::atomic<bool> failed_ = false;
  std::atomic<bool> stopping_ = false;
  mutable std::mutex last_error_mutex_;
  std::string last_error_;
  std::thread writer_;
};

}  // namespace walkpaddle::store
