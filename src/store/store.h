/// \file
/// A small durable table in a folder, by LMDB: values under keys, each with a checksum. It is read whole at
/// the start and written in batches by a thread of its own, so that no disk holds up the scheduler.
///
/// Errors: a store that is truncated, foreign or of a newer form is refused when it is opened, as StoreError
/// of one line. A write that fails later (a full disk, a failing one) shows in failed() and is made again
/// until it succeeds, in order: what was taken stays pending, and nothing behind it is reported as durable
/// before it.
///
/// Threads: for_each(), put() and erase() by the one thread that made the store (the queue to the writer has
/// one producer); durable_sequence(), failed() and last_error() by any.
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

/// Why a write was not taken. It is to be tried again later.
enum class WriteError {
  queue_full,          ///< too much waits to be written already: nothing was taken
  writer_unreachable,  ///< the writer could not be woken; the write may be made nonetheless
};

/// What put() and erase() give.
using WriteResult = tl::expected<void, WriteError>;

/// The table.
class Store {
 public:
  /// Where it is and how large it may get.
  struct Setup {
    std::string folder;               ///< made if it is not there
    std::size_t max_megabytes = 256;  ///< what the table may grow to on disk
  };

  /// Opens the store or makes a new one, and starts the writer. Throws StoreError, or SystemError where the
  /// machine is out of descriptors.
  explicit Store(const Setup& setup);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;
  /// Writes what is pending, unless writes fail.
  ~Store();

  /// Calls `visit` with all keys and values, in the order of the keys; to be called before the first write.
  /// Throws StoreError if a value does not fit its checksum, and whatever `visit` throws.
  void for_each(const std::function<void(std::string_view key, std::string_view value)>& visit);

  /// Puts the value under the key. Writes become durable in the order of the calls; `sequence` rises from one
  /// call to the next, or is 0, and durable_sequence() reports it then.
  WriteResult put(std::string key, std::string value, std::uint64_t sequence);
  /// Erases the key if it is there.
  WriteResult erase(std::string key);

  /// An eventfd that is readable when durable_sequence() or failed() may have changed; the host reads it
  /// empty.
  int changed_fd() const { return changed_.get(); }
  /// All writes with a sequence up to this one are durable.
  std::uint64_t durable_sequence() const { return durable_sequence_.load(std::memory_order_acquire); }
  /// Whether the last write failed; it is tried again.
  bool failed() const { return failed_.load(std::memory_order_acquire); }
  /// Why it failed, for the operator.
  std::string last_error() const;

 private:
  struct Job;
  struct Database;

  WriteResult enqueue(Job job);
  void open();
  void refuse_truncated() const;
  void check_form();

  // By the writer's thread from here on.
  void run_writer();
  bool write_until_durable(const std::vector<Job>& batch);
  void write_batch(const std::vector<Job>& batch);
  void reopen();
  void set_failed(std::string why);

  const Setup setup_;
  std::unique_ptr<Database> database_;
  Fd changed_;  // to the host
  Fd wake_;     // to the writer
  std::atomic<std::uint64_t> durable_sequence_ = 0;
  std::atomic<bool> failed_ = false;
  std::atomic<bool> ending_ = false;
  mutable std::mutex last_error_mutex_;
  std::string last_error_;
  std::thread writer_;
};

}  // namespace walkpaddle::store
