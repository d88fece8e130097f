#include "net/router.h"

#include <fmt/core.h>
#include <signal.h>
#include <sys/signalfd.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>

#include "base/error.h"
#include "base/text.h"
#include "control/documents.h"
#include "net/request_handler.h"
#include "warm_start/snapshot_file.h"

namespace walkpaddle::net {

namespace {

Seconds longest_time_limit(const Settings& s) {
  Seconds longest = 0;
  for (int n = 0; n < s.whole("categories.count"); ++n)
    longest = std::max(longest, s.ms("categories." + std::to_string(n) + ".deadline"));
  return longest;
}

// A quarter of the memory for what clients do not read yet; as much again waits in requests and answers that
// have not come whole, and the allocator keeps some.
std::size_t bytes_to_hold(double memory_mb) { return static_cast<std::size_t>(memory_mb * (1 << 20) / 4); }

}  // namespace

Router::Share::Share(int sockets, const control::File& file) {
  // Standard streams, epoll, signals, listener, bus or what is held for it, a file, one just accepted, and
  // the clients that are leaving; spare.
  int own = 14;
  // Each peer and its next connection, some strangers, operators, the store's file, lock and words.
  if (file.fleet.on && file.fleet.purges) own += 2 * static_cast<int>(file.fleet.peers.size()) + 6;
  if (file.fleet.share) ++own;  // one socket for all
  if (!file.socket.empty()) own += 9;
  if (file.dns.on) own += 18;  // two sockets and the most connections of lookups
  if (!file.store_folder.empty()) own += 4;
  clients = static_cast<std::size_t>(std::max(2, (sockets - own) / 2));
  caches = static_cast<std::size_t>(std::max(2, sockets - own - (sockets - own) / 2));
}

namespace {

sigset_t heeded() {
  sigset_t set;
  sigemptyset(&set);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP}) sigaddset(&set, signal);
  return set;
}

}  // namespace

void Router::hold_signals() {
  const auto set = heeded();
  sigprocmask(SIG_BLOCK, &set, nullptr);
  ::signal(SIGPIPE, SIG_IGN);  // who reads the log may go
}

Router::Signals::Signals(Scheduler& s) : scheduler(s), came(s) {
  const auto set = heeded();
  hold_signals();
  fd = Fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd) throw SystemError("signalfd", errno);
  scheduler.watch(fd.get(), *this);
}

Router::Signals::~Signals() { scheduler.forget(fd.get(), *this); }

int Router::Signals::take() {
  signalfd_siginfo info;
  return ::read(fd.get(), &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
}

purge::PurgeRegistry::Setup Router::purges_setup() {
  purge::PurgeRegistry::Setup s;
  s.discovery_settle_time = config_.settings.ms("specifics.purge_settles");
  const auto& f = file_.fleet;
  if (!f.on) return s;
  if (!file_.store_folder.empty())
    store_ = std::make_unique<store::Store>(
        store::Store::Setup{file_.store_folder, static_cast<std::size_t>(file_.store_megabytes)});
  if (!f.purges) return s;
  // A start without a store is another issuer each time: its numbers begin anew.
  run_ = fmt::format("{:016x}", stable_hash(fmt::format("{} {} {}", f.name, config_.seed, scheduler_.now())));
  if (store_) run_ = replication::load_or_create_identity(*store_, run_);
  s.replicated = true;
  s.peer_count = static_cast<int>(f.peers.size());
  s.storage = store_ ? purge::LogStorage::disk : purge::LogStorage::memory;
  s.self = stable_hash(f.name + " " + run_);
  s.max_copy_age = f.copy_life;
  s.timing = {f.lease, f.beat};
  s.max_entries = static_cast<std::size_t>(f.entries);
  s.max_objects = static_cast<std::size_t>(f.objects);
  return s;
}

Router::Router(Config config, const control::File& file, std::function<Config()> read_again, Log& log)
    : log_(log),
      config_(std::move(config)),
      file_(file),
      read_again_(std::move(read_again)),
      share_(config_.sockets, file_),
      signals_(scheduler_),
      purges_(purges_setup(), scheduler_.now()),
      dispatcher_(scheduler_, fold_seed(config_.seed), config_.settings, purges_,
                  [this](guard::Invariant broken, std::uint64_t request) {
                    log_("guard", "{:016x}: not done, it would break {}", request,
                         guard::kInvariants[static_cast<std::size_t>(broken)]);
                  }),
      fleet_at_turns_end_(scheduler_, [this] { pull_fleet(); }),
      outbox_(scheduler_, bytes_to_hold(config_.memory_mb)),
      upstream_(scheduler_, outbox_, log,
                {.max_connections = share_.caches,
                 .max_attempts_per_connection = config_.settings.whole("allowed.streams_per_conn", 32),
                 .dial_timeout = config_.settings.ms("allowed.dial_timeout"),
                 .endpoint_idle_close = config_.settings.ms("allowed.idle_close"),
                 .can_cancel = config_.settings.flag("allowed.cancel")}),
      list_(scheduler_, outbox_, log, dispatcher_, upstream_),
      client_listener_(
          scheduler_, outbox_, log,
          config_.listening >= 0 ? Fd(config_.listening) : listen_on(config_.listen), share_.clients,
          request_class_names(config_.settings),
          [this](std::shared_ptr<ClientConnection> client, Request order) {
            scheduler_.start_isolated(serve(scheduler_, log_, dispatcher_, upstream_, std::move(client),
                                            std::move(order), config_.bytes_a_second));
          }) {
  upstream_.set_guard(dispatcher_.guard());
  client_listener_.set_guard(dispatcher_.guard());
  scheduler_.on_failure([this](std::exception_ptr failure) {
    try {
      std::rethrow_exception(failure);
    } catch (const std::exception& e) {
      log_("failure", "one request or connection ended by: {}", e.what());
    }
  });
  log_("start", "{} on {}, {} descriptors, {} MB", config_.name, text_of(config_.listen), config_.sockets,
       config_.memory_mb);
  const auto& f = file_.fleet;
  if (store_ && f.purges)
    purge_persister_ = std::make_unique<replication::PurgePersister>(scheduler_, log_, purges_, *store_);
  purges_.after_input(scheduler_.now());
  if (f.on && f.purges) {
    replication::PeerLinks::Setup links{f.name, parse_address(f.listen), {}};
    for (const auto& p : f.peers) links.peers.push_back({p.name, parse_address(p.address)});
    peer_links_ = std::make_unique<replication::PeerLinks>(scheduler_, outbox_, log_, purges_, links);
  }
  if (f.share) {
    fleet::Share::Setup share{.name = f.name,
                              .listen = parse_address(f.listen),
                              .peers = {},
                              .seed = fold_seed(config_.seed),
                              .store = store_.get(),
                              .look_again = [this] { list_.apply_observations(); },
                              .learnt = [this] { return belief(); },
                              .take_learnt = [this](const fleet::Belief& b) { take_back(b); },
                              .changes = changes_setup()};
    for (const auto& p : f.peers) share.peers.push_back({p.name, parse_address(p.address)});
    shared_ = std::make_unique<fleet::Share>(scheduler_, log_, share);
    list_.set_observations(&shared_->watch());
  }
  if (file_.tell_boxes)
    purge_notifier_ = std::make_unique<PurgeNotifier>(scheduler_, log_, purges_, upstream_, run_);
  if (!file_.socket.empty()) {
    control::Operators::Names names{f.name,
                                    {},
                                    [this](int box) { return std::string(upstream_.id(box)); },
                                    [this] { return upstream_.endpoint_count(); },
                                    [this] { return counts(); }};
    for (const auto& p : f.peers) names.peers.push_back(p.name);
    operators_ = std::make_unique<control::Operators>(scheduler_, outbox_, log_, purges_, file_.socket, names,
                                                      shared_.get());
  }
  scheduler_.start(live());
}

fleet::Belief Router::belief() const {
  const auto learnt = dispatcher_.policy().snapshot();
  fleet::Belief b{.link = learnt.link_limit, .misses = learnt.miss_ratio};
  for (const auto& r : learnt.limits)
    b.rooms.push_back({stable_hash(upstream_.id(r.endpoint)), r.attempts, r.fills});
  for (const auto& o : learnt.objects) b.objects.push_back({o.object, o.count});
  for (const auto& r : learnt.service_times) b.rules.push_back({r.mean, r.answers});
  return b;
}

void Router::take_back(const fleet::Belief& b) {
  WarmStartSnapshot learnt{
      .link_limit = b.link, .miss_ratio = b.misses, .age = std::max(0.0, scheduler_.now() - b.at)};
  for (const auto& o : b.objects) learnt.objects.push_back({o.object, o.count});
  for (const auto& r : b.rules) learnt.service_times.push_back({r.sending, r.answers});
  std::map<std::uint64_t, int> members;
  for (int m = 0; m < upstream_.endpoint_count(); ++m) members[stable_hash(upstream_.id(m))] = m;
  for (const auto& r : b.rooms)
    if (const auto it = members.find(r.server); it != members.end())
      learnt.limits.push_back({it->second, r.hops, r.fills});
  dispatcher_.input().restore_snapshot(learnt);
}

void Router::pull_fleet() {
  constexpr Seconds kTrim = 0.25;
  if (const Seconds now = scheduler_.now(); now >= trim_at_) purges_.trim(now), trim_at_ = now + kTrim;
  if (purge_persister_) purge_persister_->on_turn_end();
  if (peer_links_) peer_links_->on_turn_end();
  if (shared_) shared_->pull();
  if (!ready_ && shared_ && shared_->changes() != nullptr && phase_ == Phase::serving &&
      (!shared_->gossip().catching_up() || scheduler_.now() > shared_->started() + 2))
    became_ready();
}

// ---- changes -------------------------------------------------------------------------------------------

namespace {

constexpr Seconds kWarmUp = 5;  // of a start; a change's own document says how long of a move

std::string text_in(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw InputError("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

compat::Release release_in(const std::filesystem::path& folder) {
  std::vector<std::string> requests;
  std::error_code error;
  for (const auto& entry : std::filesystem::directory_iterator(folder, error))
    if (entry.path().extension() == ".bin") requests.push_back(text_in(entry.path()));
  if (error) throw InputError("cannot read the folder " + folder.string());
  return compat::read_release(requests, text_in(folder / "rules.json"));
}

std::uint64_t epoch_of(Seconds now) { return static_cast<std::uint64_t>(now * 1e6); }

}  // namespace

std::optional<fleet::Changes::Setup> Router::changes_setup() {
  const auto& c = file_.changes;
  if (!c.on) return std::nullopt;
  const char* generation = std::getenv(kGeneration);
  // What an earlier program left stands in the configuration already.
  if (const char* lines = std::getenv(kSettings)) settings_lines_ = lines;
  generations_[generation != nullptr ? generation : c.generation] = settings_lines_;
  fleet::Changes::Setup s{.name = file_.fleet.name,
                          .site = c.site,
                          .generation = generation != nullptr ? generation : c.generation,
                          .peers = {},
                          .seed = fold_seed(config_.seed),
                          .kept =
                              [folder = c.protocol] {
                                std::vector<compat::Release> kept;
                                std::error_code error;
                                for (const auto& entry : std::filesystem::directory_iterator(folder, error))
                                  if (entry.is_directory()) kept.push_back(release_in(entry.path()));
                                return kept;
                              },
                          .release =
                              [folder = c.protocol](const std::string& name) {
                                if (folder.empty())
                                  throw InputError("the operator's file names no protocol folder");
                                return release_in(std::filesystem::path(folder) / name);
                              },
                          .carry_out = [this](const change::Rollout::Move& m) { carry_out(m); },
                          .counted = [this] { return counted(); }};
  for (const auto& p : file_.fleet.peers) s.peers.push_back({p.name, p.site});
  dispatcher_.begin_tally(epoch_of(scheduler_.now()), scheduler_.now() + kWarmUp);
  return s;
}

// All of the folder, or nothing of it and one line that says why.
void Router::read_documents() {
  if (!shared_ || shared_->changes() == nullptr) return;
  const Seconds now = scheduler_.now();
  try {
    const auto documents = control::read_documents(file_.changes.folder, now);
    auto& calendar = shared_->changes()->calendar();
    auto& rollout = shared_->changes()->rollout();
    for (const auto& w : documents.windows) calendar.declare(w);
    for (const auto& [window, version] : documents.withdrawals) calendar.withdraw(window, version);
    for (const auto& e : documents.exceptions) calendar.except(e);
    for (const auto& d : documents.changes) rollout.propose(d, now);
    for (const auto& [change, why] : documents.stops) rollout.stop(change, why, now);
    log_("change", "{}: {} windows, {} changes", file_.changes.folder, documents.windows.size(),
         documents.changes.size());
  } catch (const InputError& e) {
    log_("change", "kept as it was: {}", e.what());
  }
}

change::Counters Router::counted() {
  constexpr Seconds kLoad = 1;
  if (const Seconds now = scheduler_.now(); now >= load_at_) {
    load_at_ = now + kLoad;
    timespec cpu{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &cpu);
    long pages = 0, resident = 0;
    std::ifstream("/proc/self/statm") >> pages >> resident;
    dispatcher_.tally()->load(
        static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1 << 20),
        static_cast<double>(cpu.tv_sec) + static_cast<double>(cpu.tv_nsec) * 1e-9, now);
  }
  return dispatcher_.tally()->counters();
}

// Settings are handed to the module between two turns: no txn notices. What the platform told stays under
// them, so that going back is handing over what was before.
void Router::carry_out(const change::Rollout::Move& move) {
  auto& rollout = shared_->changes()->rollout();
  const Seconds now = scheduler_.now();
  if (phase_ != Phase::serving) return;  // it ends, and no other program begins for it
  if (move.document.work == freeze::kRelease) {
    const char* earlier = std::getenv(kEarlier);
    const std::string program = !move.back ? move.document.body : earlier != nullptr ? earlier : "";
    if (program.empty() || ::access(program.c_str(), X_OK) != 0)
      return rollout.move_failed("'" + program + "' is no program here", now);
    next_ = Next{move, program, settings_lines_, Fd()};
    signals_.came.set();
    return;
  }
  auto& lines = generations_[move.to];
  if (!move.back) {
    lines = generations_[move.document.before];
    lines += (lines.empty() ? "" : "\n") + move.document.body;
  }
  try {
    auto settings = config_.settings;
    settings.put_lines(lines);
    check(settings);
    dispatcher_.settings_changed(settings);
  } catch (const InputError& e) {
    return rollout.move_failed(e.what(), now);
  }
  settings_lines_ = lines;
  dispatcher_.begin_tally(epoch_of(now), now + move.document.warm_up);
  rollout.moved(now);
}

// The alarm that the program before set for this one: past it the kernel ends a start that hangs.
void Router::became_ready() {
  ready_ = true;
  ::alarm(0);
  log_("change", "this router runs {}", shared_->changes()->rollout().running());
  read_documents();
}

// New connections wait at the listener for the next program; those that are open end when nothing is open on
// them, all within the time that a planned end has.
Task Router::make_way() {
  constexpr Seconds kLook = 0.01, kMost = 3;
  enter(Phase::yielding);
  log_("change", "makes way for {}", next_->move.to);
  Event look(scheduler_);
  const Seconds end = scheduler_.now() + std::min(longest_time_limit(config_.settings), kMost);
  next_->listener = client_listener_.hand_over_listener();
  do {
    client_listener_.close_idle();
    co_await look.wait(scheduler_.now() + kLook);
  } while (scheduler_.now() < end && (client_listener_.count() > 0 || dispatcher_.open_requests() > 0));
  leave_learnt();
  client_listener_.abort_open();
  co_await look.wait(scheduler_.now() + kLook);
  client_listener_.close_idle();
  co_await look.wait(scheduler_.now() + kLook);
  scheduler_.stop();
}

// --------------------------------------------------------------------------------------------------------

Router::~Router() { scheduler_.drop_tasks(); }

void Router::run() { scheduler_.run(); }

void Router::enter(Phase phase) {
  constexpr std::string_view kNames[] = {"starting", "serving", "draining", "yielding", "stopped"};
  constexpr std::string_view kAlive[] = {"UNREADY", "READY", "DRAIN", "READY", "DRAIN"};
  phase_ = phase;
  const bool says_ready = kAlive[static_cast<int>(phase)] == "READY";
  if (says_ready &&
      dispatcher_.guard().may_say_ready(list_.has_initial_list(), true) != guard::Invariant::none)
    return;
  client_listener_.set_alive_word(kAlive[static_cast<int>(phase)]);
  log_("phase", "{}, {} clients, {} txns open", kNames[static_cast<int>(phase)], client_listener_.count(),
       dispatcher_.open_requests());
}

void Router::tell_counters() {
  std::string text;
  for (const auto& [name, count] : counts())
    if (count > 0) text += fmt::format("{}{} {}", text.empty() ? "" : ", ", name, count);
  log_("counters", "{}", text);
}

std::vector<std::pair<std::string, std::uint64_t>> Router::counts() {
  const auto& guard = dispatcher_.guard();
  const auto& c = guard.counters();
  const auto ejected = dispatcher_.policy().ejections();
  std::vector<std::pair<std::string, std::uint64_t>> all = {{"served", c.served},
                                                            {"shed", c.shed},
                                                            {"failed", c.failed},
                                                            {"left", c.left},
                                                            {"attempts", c.attempts},
                                                            {"retries", c.retries},
                                                            {"ejected_unreached", ejected.unreachable},
                                                            {"ejected_failing", ejected.failing},
                                                            {"ejected_silent", ejected.silent}};
  const auto add = [&](std::string_view prefix, const auto& names, const auto& values) {
    for (std::size_t n = 0; n < names.size(); ++n)
      all.emplace_back(fmt::format("{}_{}", prefix, names[n]), values[n]);
  };
  add("client_closed", guard::kClientCloses, c.client_closes);
  add("endpoint_closed", guard::kEndpointCloses, c.endpoint_closes);
  for (std::size_t n = 1; n < guard::kInvariants.size(); ++n)
    all.emplace_back(fmt::format("violation_{}", guard::kInvariants[n]),
                     guard.violations(static_cast<guard::Invariant>(n)));
  return all;
}

// What may change while txns are open is where the event bus is; all else needs a restart.
bool Router::reload() {
  try {
    const auto fresh = read_again_();
    log_("reload", "event bus {}", fresh.has_bus ? text_of(fresh.bus) : "none");
    if (fresh.has_bus) list_.follow(fresh.bus);
    return true;
  } catch (const std::exception& e) {
    log_("reload", "kept as it was: {}", e.what());
    return false;
  }
}

// Whatever is wrong with the file costs one line, and the start goes on with nothing learnt.
void Router::take_over() {
  if (file_.learnt.empty()) return;
  const Seconds now = scheduler_.now();
  try {
    std::ifstream in(file_.learnt, std::ios::binary);
    if (!in) return log_("learnt", "no {} yet, all is learnt afresh", file_.learnt);
    std::string text(warm_start::kMaxSnapshotBytes + 1, '\0');
    in.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(in.gcount()));
    const auto snapshot = warm_start::parse_snapshot(
        text, config_.settings.text("family"), config_.settings.number("specifics.client_kb_per_s"), now);
    WarmStartSnapshot learnt;
    int rules = 0, members = 0;
    for (const auto& own : request_class_names(config_.settings)) {
      const auto at = std::ranges::find(snapshot.service_times, own.name,
                                        &warm_start::SnapshotFile::ServiceTime::request_class);
      learnt.service_times.push_back(at == snapshot.service_times.end()
                                         ? WarmStartSnapshot::ServiceTime{}
                                         : WarmStartSnapshot::ServiceTime{at->mean, at->answers});
      rules += learnt.service_times.back().answers > 0;
    }
    // Only members that the list names; one that started since is as the list tells.
    for (const auto& u : snapshot.unreachable)
      for (int m = 0; m < upstream_.endpoint_count(); ++m)
        if (upstream_.id(m) == u.id) learnt.unreachable.push_back({m, u.failed_at}), ++members;
    dispatcher_.input().restore_snapshot(learnt);
    log_("learnt", "from {}, {:.0f} s old: {} sending times, {} members last not reached", file_.learnt,
         now - snapshot.written_at, rules, members);
  } catch (const std::exception& e) {
    log_("learnt", "{} refused: {}; all is learnt afresh", file_.learnt, e.what());
  }
}

void Router::leave_learnt() {
  if (file_.learnt.empty()) return;
  const auto learnt = dispatcher_.input().snapshot();
  warm_start::SnapshotFile snapshot{.family = std::string(config_.settings.text("family")),
                                    .client_kb_per_s = config_.settings.number("specifics.client_kb_per_s"),
                                    .written_at = scheduler_.now()};
  const auto names = request_class_names(config_.settings);
  for (std::size_t n = 0; n < std::min(names.size(), learnt.service_times.size()); ++n)
    if (learnt.service_times[n].answers > 0)
      snapshot.service_times.push_back(
          {names[n].name, learnt.service_times[n].mean, learnt.service_times[n].answers});
  for (const auto& u : learnt.unreachable)
    snapshot.unreachable.push_back({std::string(upstream_.id(u.endpoint)), u.at});
  // Whole or not at all: a start that reads meanwhile finds the last one.
  const auto beside = file_.learnt + ".new";
  std::ofstream out(beside, std::ios::binary | std::ios::trunc);
  out << warm_start::serialize(snapshot) << std::flush;
  out.close();
  if (!out || std::rename(beside.c_str(), file_.learnt.c_str()) != 0)
    return log_("learnt", "{} not written: {}", file_.learnt, std::system_category().message(errno));
  log_("learnt", "left in {}: {} sending times, {} members last not reached", file_.learnt,
       snapshot.service_times.size(), snapshot.unreachable.size());
}

Task Router::live() {
  enter(Phase::starting);
  list_.set_last_event(hand_known(config_.known, config_.settings, list_));
  take_over();
  if (config_.has_bus) list_.follow(config_.bus);

  // A file that cannot be used is looked at again. Guards against a word that crosses the file's writing: the
  // bus that it names would never be followed. What it tells counts as told 4 s after the word.
  constexpr Seconds kAgain = 0.25, kLongest = 3;
  Seconds read_until = 0;
  enter(Phase::serving);
  for (;;) {
    const int signal = signals_.take();
    if (signal == SIGHUP) read_until = reload() ? 0 : scheduler_.now() + kLongest, read_documents();
    if (signal == SIGTERM || signal == SIGINT) break;
    if (next_) co_return scheduler_.start(make_way());
    if (signal != 0) continue;
    const bool again = scheduler_.now() < read_until;
    const bool told = co_await signals_.came.wait(again ? scheduler_.now() + kAgain : kNoTime);
    if (!told && reload()) read_until = 0;
  }
  next_.reset();  // who asks for the end gets it

  // Clients that have not heard yet still come, for most of a second; those that are open have their time, as
  // far as the platform gives it: it kills after the longest time limit, counted as kMost at most, and kKill.
  // What is open then is answered kSpare before; further signals change nothing.
  constexpr Seconds kComing = 0.8, kLook = 0.02, kMost = 3, kKill = 0.7, kSpare = 0.1;
  constexpr Seconds kCrossing =
      0.06;  // as long as a request may cross the close of its connection, and a little
  enter(Phase::draining);
  const Seconds asked = scheduler_.now(),
                last_end = asked + std::min(longest_time_limit(config_.settings), kMost) + kKill - kSpare;
  Event look(scheduler_);
  while (scheduler_.now() < last_end &&
         (scheduler_.now() < asked + kComing || dispatcher_.open_requests() > 0 ||
          client_listener_.has_unsent_answers()))
    co_await look.wait(scheduler_.now() + kLook);

  enter(Phase::stopped);
  tell_counters();
  leave_learnt();
  client_listener_.stop_accepting();
  client_listener_.abort_open();
  // What still comes is read and sent nowhere: a close over unread bytes would reset the connection, and what
  // its client was last sent goes with it.
  const Seconds end = scheduler_.now() + kCrossing;
  do {
    co_await look.wait(scheduler_.now() + kLook / 2);
    client_listener_.close_idle();
  } while (scheduler_.now() < end && client_listener_.count() > 0);
  scheduler_.stop();
}

}  // namespace walkpaddle::net
