#include "store/store.h"

#include <lmdb.h>
#include <readerwriterqueue/readerwriterqueue.h>
#include <sys/eventfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>
#include <vector>

#include "base/error.h"

namespace walkpaddle::store {

namespace {

constexpr std::string_view kForm = "walkpaddle store 1";
constexpr std::string_view kFormKey = "!form";
constexpr std::size_t kMostWaiting = 16384;  // jobs, some hundred bytes each: a few megabytes
constexpr std::size_t kABatch = 1024;        // jobs of one commit: one wait for the disk

std::uint32_t check_sum(std::string_view text) {
  std::uint32_t h = 2166136261u;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 16777619u;
  return h;
}

std::string with_sum(std::string value) {
  const auto sum = check_sum(value);
  for (int shift = 24; shift >= 0; shift -= 8) value += static_cast<char>(sum >> shift & 255);
  return value;
}

// The value alone, or nothing if its sum is wrong.
bool without_sum(std::string_view& value) {
  if (value.size() < 4) return false;
  std::uint32_t sum = 0;
  for (std::size_t n = value.size() - 4; n < value.size(); ++n)
    sum = sum << 8 | static_cast<unsigned char>(value[n]);
  value.remove_suffix(4);
  return check_sum(value) == sum;
}

std::string_view view(const MDB_val& v) { return {static_cast<const char*>(v.mv_data), v.mv_size}; }
MDB_val val(std::string_view text) { return {text.size(), const_cast<char*>(text.data())}; }

}  // namespace

struct Store::Job {
  std::string key, value;
  std::uint64_t mark = 0;
  bool erase = false;
};

struct Store::Parts {
  ~Parts() {
    if (env != nullptr) mdb_env_close(env);
  }
  std::string folder;
  MDB_env* env = nullptr;
  MDB_dbi table = 0;
  moodycamel::ReaderWriterQueue<Job> jobs{kMostWaiting};

  [[noreturn]] void refuse(const std::string& why) const { throw StoreError("store " + folder + ": " + why); }
  void must(int code, const char* what) const {
    if (code != 0) refuse(std::string(what) + ": " + mdb_strerror(code));
  }
  struct Txn {
    Txn(const Parts& parts, unsigned flags) {
      parts.must(mdb_txn_begin(parts.env, nullptr, flags, &txn), "begin");
    }
    ~Txn() {
      if (txn != nullptr) mdb_txn_abort(txn);
    }
    int commit() { return mdb_txn_commit(std::exchange(txn, nullptr)); }
    MDB_txn* txn = nullptr;
  };
};

Store::Store(const Setup& setup)
    : setup_(setup),
      parts_(std::make_unique<Parts>()),
      told_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      wanted_(::eventfd(0, EFD_CLOEXEC)) {
  if (!told_ || !wanted_) throw SystemError("eventfd", errno);
  open(setup);
  check();
  writer_ = std::thread([this] { write_all(); });
}

Store::~Store() {
  ending_ = true;
  const std::uint64_t one = 1;
  if (writer_.joinable() && ::write(wanted_.get(), &one, sizeof one) == sizeof one) writer_.join();
}

void Store::open(const Setup& setup) {
  auto& p = *parts_;
  p.folder = setup.folder;
  if (::mkdir(setup.folder.c_str(), 0700) != 0 && errno != EEXIST) p.refuse(std::strerror(errno));
  // LMDB makes what it does not find; a file shorter than its two first pages is torn, not new.
  struct stat s {};
  const auto file = setup.folder + "/data.mdb";
  const bool there = ::stat(file.c_str(), &s) == 0;
  if (there && s.st_size < 2 * ::sysconf(_SC_PAGESIZE)) p.refuse("torn: its file is cut off");
  p.must(mdb_env_create(&p.env), "create");
  p.must(mdb_env_set_mapsize(p.env, setup.megabytes << 20), "size");
  // No read-ahead and no reader's table: one process, read once.
  if (const int code = mdb_env_open(p.env, setup.folder.c_str(), MDB_NORDAHEAD | MDB_NOTLS, 0600); code != 0)
    p.refuse(code == MDB_INVALID            ? "not a store of this program"
             : code == MDB_VERSION_MISMATCH ? "of another version"
                                            : mdb_strerror(code));
  // The last commit's pages must all be there: the file is mapped, and what is missing would end the program.
  MDB_envinfo info{};
  MDB_stat stat{};
  p.must(mdb_env_info(p.env, &info), "look");
  p.must(mdb_env_stat(p.env, &stat), "look");
  if (::stat(file.c_str(), &s) != 0 ||
      static_cast<std::size_t>(s.st_size) < (info.me_last_pgno + 1) * stat.ms_psize)
    p.refuse("torn: its file is cut off");
}

void Store::check() {
  auto& p = *parts_;
  Parts::Txn txn(p, 0);
  p.must(mdb_dbi_open(txn.txn, nullptr, 0, &p.table), "open");
  MDB_stat stat{};
  p.must(mdb_stat(txn.txn, p.table, &stat), "look");
  auto key = val(kFormKey);
  MDB_val found{};
  const int code = mdb_get(txn.txn, p.table, &key, &found);
  if (code == MDB_NOTFOUND && stat.ms_entries == 0) {
    const auto text = with_sum(std::string(kForm));
    auto form = val(text);
    p.must(mdb_put(txn.txn, p.table, &key, &form, 0), "write");
    return p.must(txn.commit(), "commit");
  }
  auto form = code == 0 ? view(found) : std::string_view();
  if (code != 0 || !without_sum(form)) p.refuse("not a store of this program");
  if (form != kForm) p.refuse("of another form, '" + std::string(form.substr(0, 40)) + "'");
}

void Store::each(const std::function<void(std::string_view, std::string_view)>& take) {
  auto& p = *parts_;
  Parts::Txn txn(p, MDB_RDONLY);
  MDB_cursor* cursor = nullptr;
  p.must(mdb_cursor_open(txn.txn, p.table, &cursor), "read");
  const std::unique_ptr<MDB_cursor, decltype(&mdb_cursor_close)> close(cursor, &mdb_cursor_close);
  MDB_val key{}, value{};
  int code = 0;
  while ((code = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) == 0) {
    auto text = view(value);
    if (!without_sum(text)) p.refuse("torn: a value does not fit its check sum");
    if (view(key) != kFormKey) take(view(key), text);
  }
  if (code != MDB_NOTFOUND) p.must(code, "read");
}

bool Store::enqueue(Job job) {
  if (!parts_->jobs.try_enqueue(std::move(job))) return false;
  const std::uint64_t one = 1;
  return ::write(wanted_.get(), &one, sizeof one) == sizeof one;
}

bool Store::put(std::string key, std::string value, std::uint64_t mark) {
  return enqueue({std::move(key), with_sum(std::move(value)), mark, false});
}

bool Store::erase(std::string key) { return enqueue({std::move(key), {}, 0, true}); }

std::string Store::why() const {
  const std::lock_guard lock(why_guard_);
  return why_;
}

void Store::failed_with(std::string why) {
  {
    const std::lock_guard lock(why_guard_);
    why_ = std::move(why);
  }
  failed_.store(true, std::memory_order_release);
}

// After a failed commit the environment may refuse all that follows (MDB_PANIC); its file holds the last good
// one.
void Store::reopen() {
  auto& p = *parts_;
  if (p.env != nullptr) mdb_env_close(std::exchange(p.env, nullptr));
  open(setup_);
  check();
}

void Store::write_all() {
  constexpr auto kAgain = std::chrono::milliseconds(250);
  auto& p = *parts_;
  const auto tell = [&] {
    const std::uint64_t one = 1;
    return ::write(told_.get(), &one, sizeof one) == sizeof one;
  };
  const auto write_batch = [&](const std::vector<Job>& batch) {
    Parts::Txn txn(p, 0);
    for (const auto& job : batch) {
      auto key = val(job.key), value = val(job.value);
      const int code =
          job.erase ? mdb_del(txn.txn, p.table, &key, nullptr) : mdb_put(txn.txn, p.table, &key, &value, 0);
      if (code != 0 && code != MDB_NOTFOUND) p.refuse(std::string("write: ") + mdb_strerror(code));
    }
    if (const int code = txn.commit(); code != 0) p.refuse(std::string("commit: ") + mdb_strerror(code));
  };
  // Until it is written; false if the program ends before.
  const auto write_until_written = [&](const std::vector<Job>& batch) {
    for (bool first = true;; first = false) {
      try {
        if (!first) reopen();
        write_batch(batch);
        failed_.store(false, std::memory_order_release);
        return true;
      } catch (const std::exception& e) {
        failed_with(e.what());
      }
      if (first) tell();
      if (ending_) return false;
      std::this_thread::sleep_for(kAgain);
    }
  };
  std::vector<Job> batch;
  for (Job job;;) {
    batch.clear();
    while (batch.size() < kABatch && p.jobs.try_dequeue(job)) batch.push_back(std::move(job));
    if (batch.empty()) {
      if (ending_) return;
      std::uint64_t count = 0;
      if (::read(wanted_.get(), &count, sizeof count) != sizeof count && errno != EINTR) return;
      continue;
    }
    if (!write_until_written(batch)) return;
    std::uint64_t mark = written_.load(std::memory_order_relaxed);
    for (const auto& j : batch) mark = std::max(mark, j.mark);
    written_.store(mark, std::memory_order_release);
    tell();
  }
}

}  // namespace walkpaddle::store
