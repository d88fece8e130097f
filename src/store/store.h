// A small durable table in a folder, by LMDB: values under keys, each with a check sum. Read whole at the
// start, written by a thread of its own in batches, so that no disk holds up the loop. Errors: a store that
// is torn, foreign or of a newer form is refused when it is opened, as StoreError with one plain line. A
// write that fails later (a full disk, a failing one) is told by failed() and made again until it succeeds,
// in order: what was taken on stays owed, and nothing behind it is reported as written before it.
#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>

#include "io/fd.h"

namespace walkpaddle::store {

class Store {
 public:
  struct Setup {
    std::string folder;
    std::size_t megabytes = 256;  // the most it may grow to
  };
  explicit Store(const Setup& setup);
  ~Store();  // writes what is waiting

  // All that is held, in the order of the keys; before the first write.
  void each(const std::function<void(std::string_view key, std::string_view value)>& take);

  // Gives false when too much waits to be written already: nothing was taken, try again later. Writes become
  // durable in the order of these calls; `mark` rises and is told by written() then.
  bool put(std::string key, std::string value, std::uint64_t mark);
  bool erase(std::string key);

  int told() const { return told_.get(); }  // readable when written() or failed() moved; host reads it empty
  std::uint64_t written() const { return written_.load(std::memory_order_acquire); }
  bool failed() const { return failed_.load(std::memory_order_acquire); }
  std::string why() const;  // of the last failure

 private:
  struct Job;
  struct Parts;
  void write_all();
  void reopen();
  void failed_with(std::string why);
  bool enqueue(Job job);
  void open(const Setup& setup);
  void check();

  const Setup setup_;
  std::unique_ptr<Parts> parts_;
  Fd told_, wanted_;
  std::atomic<std::uint64_t> written_ = 0;
  std::atomic<bool> failed_ = false, ending_ = false;
  mutable std::mutex why_guard_;
  std::string why_;
  std::thread writer_;
};

}  // namespace walkpaddle::store
