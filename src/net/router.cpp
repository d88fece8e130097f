#include "net/router.h"

#include <signal.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <cerrno>
#include <system_error>

#include "net/txn.h"

namespace walkpaddle::net {

namespace {

Sec longest_time_limit(const Settings& s) {
  Sec longest = 0;
  for (int n = 0; n < s.whole("categories.count"); ++n)
    longest = std::max(longest, s.ms("categories." + std::to_string(n) + ".deadline"));
  return longest;
}

// A quarter of the memory for what clients do not read yet; as much again waits in requests and answers that
// have not come whole, and the allocator keeps some.
std::size_t bytes_to_hold(double memory_mb) { return static_cast<std::size_t>(memory_mb * (1 << 20) / 4); }

}  // namespace

Router::Share::Share(int sockets) {
  constexpr int kOwn =
      14;  // standard streams, epoll, signals, listener, bus and its next dial, a file; spare
  clients = static_cast<std::size_t>(std::max(2, (sockets - kOwn) / 2));
  caches = static_cast<std::size_t>(std::max(2, sockets - kOwn - (sockets - kOwn) / 2));
}

Router::Signals::Signals(Scheduler& s) : scheduler(s), came(s) {
  sigset_t set;
  sigemptyset(&set);
  sigaddset(&set, SIGTERM);
  sigaddset(&set, SIGINT);
  sigaddset(&set, SIGHUP);
  sigprocmask(SIG_BLOCK, &set, nullptr);
  fd = Fd(::signalfd(-1, &set, SFD_NONBLOCK | SFD_CLOEXEC));
  if (!fd) throw std::system_error(errno, std::generic_category(), "signalfd");
  scheduler.watch(fd.get(), *this);
}

Router::Signals::~Signals() { scheduler.forget(fd.get(), *this); }

int Router::Signals::take() {
  signalfd_siginfo info;
  return ::read(fd.get(), &info, sizeof info) == sizeof info ? static_cast<int>(info.ssi_signo) : 0;
}

Router::Router(Config config, std::function<Config()> read_again, Log& log)
    : log_(log),
      config_(std::move(config)),
      read_again_(std::move(read_again)),
      share_(config_.sockets),
      signals_(scheduler_),
      desk_(scheduler_, fold_seed(config_.seed), config_.settings),
      outbox_(scheduler_, bytes_to_hold(config_.memory_mb)),
      caches_(scheduler_, outbox_, log, share_.caches, config_.settings.whole("allowed.streams_per_conn", 32),
              config_.settings.ms("allowed.dial_timeout"), config_.settings.ms("allowed.idle_close"),
              config_.settings.flag("allowed.cancel")),
      list_(scheduler_, outbox_, log, desk_, caches_),
      clients_(scheduler_, outbox_, log, config_.listen, share_.clients, rule_names(config_.settings),
               [this](std::shared_ptr<Client> client, Order order) {
                 scheduler_.start(serve(scheduler_, desk_, caches_, std::move(client), std::move(order),
                                        config_.bytes_a_second));
               }) {
  log_("start", "{} on {}, {} descriptors, {} MB", config_.name, text_of(config_.listen), config_.sockets,
       config_.memory_mb);
  scheduler_.start(live());
}

Router::~Router() { scheduler_.drop_tasks(); }

void Router::run() { scheduler_.run(); }

void Router::enter(Phase phase) {
  constexpr std::string_view kNames[] = {"starting", "serving", "draining", "stopped"};
  constexpr std::string_view kAlive[] = {"UNREADY", "READY", "DRAIN", "DRAIN"};
  phase_ = phase;
  clients_.set_word(kAlive[static_cast<int>(phase)]);
  log_("phase", "{}, {} clients, {} txns open", kNames[static_cast<int>(phase)], clients_.count(),
       desk_.txns_open());
}

// What may change while txns are open is where the event bus is; all else needs a restart.
void Router::reload() {
  try {
    const auto fresh = read_again_();
    log_("reload", "event bus {}", fresh.has_bus ? text_of(fresh.bus) : "none");
    if (fresh.has_bus) list_.follow(fresh.bus);
  } catch (const std::exception& e) {
    log_("reload", "kept as it was: {}", e.what());
  }
}

Task Router::live() {
  enter(Phase::starting);
  list_.held(hand_known(config_.known, config_.settings, list_));
  if (config_.has_bus) list_.follow(config_.bus);

  enter(Phase::serving);
  for (;;) {
    const int signal = signals_.take();
    if (signal == SIGHUP) reload();
    if (signal == SIGTERM || signal == SIGINT) break;
    if (signal == 0) co_await signals_.came.wait();
  }

  // Clients that have not heard yet still come, for most of a second; those that are open have their time, as
  // far as the platform gives it: it kills after the longest time limit, counted as kMost at most, and kKill.
  // What is open then is answered kSpare before; further signals change nothing.
  constexpr Sec kComing = 0.8, kLook = 0.02, kMost = 3, kKill = 0.7, kSpare = 0.1;
  enter(Phase::draining);
  const Sec asked = scheduler_.now(),
            last_end = asked + std::min(longest_time_limit(config_.settings), kMost) + kKill - kSpare;
  Event look(scheduler_);
  while (scheduler_.now() < last_end && (scheduler_.now() < asked + kComing || desk_.txns_open() > 0))
    co_await look.wait(scheduler_.now() + kLook);

  enter(Phase::stopped);
  clients_.stop_accepting();
  clients_.abort_open();
  co_await look.wait(scheduler_.now() + kLook);
  clients_.close_idle();
  co_await look.wait(scheduler_.now() + kLook);
  scheduler_.stop();
}

}  // namespace walkpaddle::net
