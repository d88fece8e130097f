#include "store/store.h"

#include <lmdb.h>
#include <readerwriterqueue/readerwriterqueue.h>
#include <sys/eventfd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <utility>

#include "base/error.h"

namespace walkpaddle::store {

namespace {

constexpr std::string_view kFormat = "walkpaddle store 1";
constexpr std::string_view kFormatKey = "!form";
constexpr std::size_t kMaxPendingJobs = 16384;  // a few hundred bytes each, so a few megabytes
constexpr std::size_t kMaxBatchJobs = 1024;     // in one commit, which waits for the disk once

// FNV-1a, 32 bits.
std::uint32_t checksum(std::string_view text) {
  std::uint32_t hash = 2166136261u;
  for (const char c : text) hash = (hash ^ static_cast<unsigned char>(c)) * 16777619u;
  return hash;
}

std::string with_checksum(std::string value) {
  const auto sum = checksum(value);
  for (int shift = 24; shift >= 0; shift -= 8) value += static_cast<char>(sum >> shift & 255);
  return value;
}

// Removes the checksum from the end of the value; false if it does not match.
bool strip_checksum(std::string_view& value) {
  constexpr std::size_t kChecksumBytes = 4;
  if (value.size() < kChecksumBytes) return false;
  std::uint32_t sum = 0;
  for (const char c : value.substr(value.size() - kChecksumBytes))
    sum = sum << 8 | static_cast<unsigned char>(c);
  value.remove_suffix(kChecksumBytes);
  return checksum(value) == sum;
}

std::string_view view(const MDB_val& value) {
  return {static_cast<const char*>(value.mv_data), value.mv_size};
}

MDB_val lmdb_value(std::string_view text) { return {text.size(), const_cast<char*>(text.data())}; }

// Adds one to an eventfd's counter; false if that fails.
bool raise_event(const Fd& event) {
  const std::uint64_t one = 1;
  return ::write(event.get(), &one, sizeof one) == sizeof one;
}

}  // namespace

struct Store::Job {
  enum class Kind { put, erase };

  Kind kind = Kind::put;
  std::string key;
  std::string value;
  std::uint64_t sequence = 0;
};

struct Store::Database {
  explicit Database(std::string its_folder) : folder(std::move(its_folder)) {}
  Database(const Database&) = delete;
  Database& operator=(const Database&) = delete;
  ~Database() { close(); }

  void close() {
    if (env != nullptr) mdb_env_close(std::exchange(env, nullptr));
  }
  std::string file() const { return folder + "/data.mdb"; }
  [[noreturn]] void fail(const std::string& why) const { throw StoreError("store " + folder + ": " + why); }
  void check(int code, const char* action) const {
    if (code != 0) fail("cannot " + std::string(action) + ": " + mdb_strerror(code));
  }

  // An LMDB transaction; the destructor aborts it unless commit() was called.
  struct Transaction {
    Transaction(const Database& database, unsigned flags) {
      database.check(mdb_txn_begin(database.env, nullptr, flags, &txn), "begin a transaction");
    }
    Transaction(const Transaction&) = delete;
    Transaction& operator=(const Transaction&) = delete;
    ~Transaction() {
      if (txn != nullptr) mdb_txn_abort(txn);
    }
    int commit() { return mdb_txn_commit(std::exchange(txn, nullptr)); }

    MDB_txn* txn = nullptr;
  };

  const std::string folder;
  MDB_env* env = nullptr;
  MDB_dbi table = 0;
  moodycamel::ReaderWriterQueue<Job> jobs{kMaxPendingJobs};
};

Store::Store(const Setup& setup)
    : setup_(setup),
      database_(std::make_unique<Database>(setup.folder)),
      changed_(::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)),
      wake_(::eventfd(0, EFD_CLOEXEC)) {
  if (!changed_ || !wake_) throw SystemError("eventfd", errno);
  open();
  check_format();
  writer_ = std::thread([this] { run_writer(); });
}

Store::~Store() {
  stopping_ = true;
  if (writer_.joinable() && raise_event(wake_)) writer_.join();
}

void Store::open() {
  auto& db = *database_;
  if (::mkdir(db.folder.c_str(), 0700) != 0 && errno != EEXIST)
    db.fail(std::string("cannot create the folder: ") + std::strerror(errno));
  // LMDB would initialise an empty file as a new database. An existing file shorter than the two meta pages
  // is truncated, not new.
  struct stat file {};
  const bool exists = ::stat(db.file().c_str(), &file) == 0;
  if (exists && file.st_size < 2 * ::sysconf(_SC_PAGESIZE)) db.fail("its file is truncated");
  db.check(mdb_env_create(&db.env), "create an environment");
  db.check(mdb_env_set_mapsize(db.env, setup_.max_megabytes << 20), "set the map size");
  // The store is read once, by one process: read-ahead and thread-bound reader slots are not needed.
  const int code = mdb_env_open(db.env, db.folder.c_str(), MDB_NORDAHEAD | MDB_NOTLS, 0600);
  if (code == MDB_INVALID) db.fail("not a store of this program");
  if (code == MDB_VERSION_MISMATCH) db.fail("its file was written by another version of LMDB");
  if (code != 0) db.fail(std::string("cannot open: ") + mdb_strerror(code));
  check_not_truncated();
}

// Throws if the file lacks pages of the last commit. The file is memory-mapped, so reading a missing page
// would kill the process.
void Store::check_not_truncated() const {
  const auto& db = *database_;
  MDB_envinfo info{};
  MDB_stat stat{};
  db.check(mdb_env_info(db.env, &info), "read the last page number");
  db.check(mdb_env_stat(db.env, &stat), "read the page size");
  struct stat file {};
  const std::size_t needed_bytes = (info.me_last_pgno + 1) * stat.ms_psize;
  if (::stat(db.file().c_str(), &file) != 0 || static_cast<std::size_t>(file.st_size) < needed_bytes)
    db.fail("its file is truncated");
}

// Opens the table and checks its format version; writes the version into a new table.
void Store::check_format() {
  auto& db = *database_;
  Database::Transaction transaction(db, 0);
  db.check(mdb_dbi_open(transaction.txn, nullptr, 0, &db.table), "open the table");
  MDB_stat stat{};
  db.check(mdb_stat(transaction.txn, db.table, &stat), "count its entries");
  auto key = lmdb_value(kFormatKey);
  MDB_val found{};
  const int code = mdb_get(transaction.txn, db.table, &key, &found);
  if (code == MDB_NOTFOUND && stat.ms_entries == 0) {
    const auto text = with_checksum(std::string(kFormat));
    auto format = lmdb_value(text);
    db.check(mdb_put(transaction.txn, db.table, &key, &format, 0), "write");
    return db.check(transaction.commit(), "commit");
  }
  auto format = code == 0 ? view(found) : std::string_view();
  if (code != 0 || !strip_checksum(format)) db.fail("not a store of this program");
  constexpr std::size_t kMaxFormatBytesShown = 40;
  if (format != kFormat)
    db.fail("unknown format '" + std::string(format.substr(0, kMaxFormatBytesShown)) + "'");
}

void Store::for_each(const std::function<void(std::string_view, std::string_view)>& visit) {
  auto& db = *database_;
  Database::Transaction transaction(db, MDB_RDONLY);
  MDB_cursor* cursor = nullptr;
  db.check(mdb_cursor_open(transaction.txn, db.table, &cursor), "read");
  const std::unique_ptr<MDB_cursor, decltype(&mdb_cursor_close)> close(cursor, &mdb_cursor_close);
  MDB_val key{};
  MDB_val value{};
  int code = 0;
  while ((code = mdb_cursor_get(cursor, &key, &value, MDB_NEXT)) == 0) {
    auto text = view(value);
    if (!strip_checksum(text)) db.fail("damaged: the checksum of a value does not match");
    if (view(key) != kFormatKey) visit(view(key), text);
  }
  if (code != MDB_NOTFOUND) db.check(code, "read");
}

WriteResult Store::enqueue(Job job) {
  if (!database_->jobs.try_enqueue(std::move(job))) return tl::unexpected(WriteError::queue_full);
  if (!raise_event(wake_)) return tl::unexpected(WriteError::writer_unreachable);
  return {};
}

WriteResult Store::put(std::string key, std::string value, std::uint64_t sequence) {
  return enqueue({Job::Kind::put, std::move(key), with_checksum(std::move(value)), sequence});
}

WriteResult Store::erase(std::string key) { return enqueue({Job::Kind::erase, std::move(key), {}, 0}); }

std::string Store::last_error() const {
  const std::lock_guard lock(last_error_mutex_);
  return last_error_;
}

void Store::set_failed(std::string why) {
  {
    const std::lock_guard lock(last_error_mutex_);
    last_error_ = std::move(why);
  }
  failed_.store(true, std::memory_order_release);
}

// After a failed commit the LMDB environment may reject all further calls (MDB_PANIC). The file still has the
// last successful commit.
void Store::reopen() {
  database_->close();
  open();
  check_format();
}

void Store::write_batch(const std::vector<Job>& batch) {
  const auto& db = *database_;
  Database::Transaction transaction(db, 0);
  for (const auto& job : batch) {
    auto key = lmdb_value(job.key);
    auto value = lmdb_value(job.value);
    const int code = job.kind == Job::Kind::erase ? mdb_del(transaction.txn, db.table, &key, nullptr)
                                                  : mdb_put(transaction.txn, db.table, &key, &value, 0);
    if (code != MDB_NOTFOUND) db.check(code, "write");
  }
  db.check(transaction.commit(), "commit");
}

// Writes the batch, retrying until it succeeds; false if the store is being destroyed first.
bool Store::write_until_durable(const std::vector<Job>& batch) {
  constexpr auto kRetryPause = std::chrono::milliseconds(250);
  for (bool first = true;; first = false) {
    try {
      if (!first) reopen();
      write_batch(batch);
      failed_.store(false, std::memory_order_release);
      return true;
    } catch (const std::exception& e) {
      set_failed(e.what());
    }
    if (first) raise_event(changed_);
    if (stopping_) return false;
    std::this_thread::sleep_for(kRetryPause);
  }
}

void Store::run_writer() {
  std::vector<Job> batch;
  for (Job job;;) {
    batch.clear();
    while (batch.size() < kMaxBatchJobs && database_->jobs.try_dequeue(job)) batch.push_back(std::move(job));
    if (batch.empty()) {
      if (stopping_) return;
      std::uint64_t count = 0;
      if (::read(wake_.get(), &count, sizeof count) != sizeof count && errno != EINTR) return;
      continue;
    }
    if (!write_until_durable(batch)) return;
    std::uint64_t sequence = durable_sequence_.load(std::memory_order_relaxed);
    for (const auto& written : batch) sequence = std::max(sequence, written.sequence);
    durable_sequence_.store(sequence, std::memory_order_release);
    raise_event(changed_);
  }
}

}  // namespace walkpaddle::store
