#include "server/lifecycle.h"

#include <signal.h>

#include <algorithm>
#include <string>
#include <utility>

#include "guard/guard.h"

namespace walkpaddle::server {

namespace {

// The platform kills a process that was asked to end after the longest deadline, of which it counts so much
// at most, and then some time more.
constexpr Seconds kLongestDeadlineCounted = 3;
constexpr Seconds kPlatformKillDelay = 0.7;
// What is open then is answered so long before.
constexpr Seconds kAnswerBeforeKill = 0.1;
// Clients that have not yet learned of the end still come, for most of a second.
constexpr Seconds kShortestDrain = 0.8;
constexpr Seconds kDrainPollInterval = 0.02;
// As long as a request may be on its way while its connection is closed here, and a little.
constexpr Seconds kLateRequestPeriod = 0.06;
constexpr Seconds kLateRequestPollInterval = kDrainPollInterval / 2;
constexpr Seconds kHandOverPollInterval = 0.01;

Seconds longest_deadline(const config::Settings& settings) {
  Seconds longest = 0;
  for (int n = 0; n < settings.integer("categories.count"); ++n)
    longest = std::max(longest, settings.duration("categories." + std::to_string(n) + ".deadline"));
  return std::min(longest, kLongestDeadlineCounted);
}

}  // namespace

Task Lifecycle::run(RolloutControl& rollouts) {
  enter(Phase::starting);
  load_initial_state();
  enter(Phase::serving);
  for (;;) {
    const int signal = parts_.signals.take();
    if (signal == SIGHUP) {
      parts_.reload.request();
      rollouts.reload_documents();
    }
    if (signal == SIGTERM || signal == SIGINT) break;
    if (rollouts.successor_requested()) co_return parts_.scheduler.start(hand_over(rollouts));
    if (signal != 0) continue;
    const bool signal_arrived = co_await parts_.signals.arrived.wait(parts_.reload.next_try());
    if (!signal_arrived) parts_.reload.try_again();
  }
  rollouts.cancel_successor();  // who asks for the end gets it
  parts_.scheduler.start(shut_down());
}

void Lifecycle::load_initial_state() {
  const auto& config = parts_.config;
  parts_.discovery.set_last_event(
      config::replay_initial_events(config.initial_events, config.settings, parts_.discovery));
  parts_.warm_start.restore_from_file();
  if (config.discovery) parts_.discovery.follow(*config.discovery);
}

// Those that are open have their time, as far as the platform gives it; further signals change nothing.
Task Lifecycle::shut_down() {
  enter(Phase::draining);
  auto& scheduler = parts_.scheduler;
  Event poll(scheduler);
  const Seconds asked_at = scheduler.now();
  const Seconds drained_by = asked_at + drain_limit();
  while (scheduler.now() < drained_by && (scheduler.now() < asked_at + kShortestDrain || answers_pending()))
    co_await poll.wait(scheduler.now() + kDrainPollInterval);

  enter(Phase::stopped);
  stop_answering();
  // What still comes is read and sent nowhere: a close over unread bytes would reset the connection, and what
  // its client was last sent goes with it.
  const Seconds end = scheduler.now() + kLateRequestPeriod;
  do {
    co_await poll.wait(scheduler.now() + kLateRequestPollInterval);
    parts_.client_listener.close_idle();
  } while (scheduler.now() < end && parts_.client_listener.count() > 0);
  scheduler.stop();
}

bool Lifecycle::answers_pending() const {
  return parts_.dispatcher.open_requests() > 0 || parts_.client_listener.has_unsent_answers();
}

Seconds Lifecycle::drain_limit() const {
  return longest_deadline(parts_.config.settings) + kPlatformKillDelay - kAnswerBeforeKill;
}

void Lifecycle::stop_answering() {
  parts_.metrics.log_counters(parts_.log);
  parts_.warm_start.write_file();
  parts_.client_listener.stop_accepting();
  parts_.client_listener.abort_open();
}

// New connections wait at the listener for the successor; those that are open end when nothing is open on
// them, all within the time that a graceful shutdown has.
Task Lifecycle::hand_over(RolloutControl& rollouts) {
  enter(Phase::handing_over);
  auto& scheduler = parts_.scheduler;
  auto& clients = parts_.client_listener;
  Event poll(scheduler);
  const Seconds end = scheduler.now() + longest_deadline(parts_.config.settings);
  rollouts.take_listener(clients.hand_over_listener());
  do {
    clients.close_idle();
    co_await poll.wait(scheduler.now() + kHandOverPollInterval);
  } while (scheduler.now() < end && (clients.count() > 0 || parts_.dispatcher.open_requests() > 0));
  parts_.warm_start.write_file();
  clients.abort_open();
  co_await poll.wait(scheduler.now() + kHandOverPollInterval);
  clients.close_idle();
  co_await poll.wait(scheduler.now() + kHandOverPollInterval);
  scheduler.stop();
}

void Lifecycle::enter(Phase phase) {
  phase_ = phase;
  const auto health = health_status(phase);
  if (health == "READY") {
    const bool list_known = parts_.discovery.has_initial_list();
    if (parts_.dispatcher.guard().may_report_ready(list_known, true) != guard::Invariant::none) return;
  }
  parts_.client_listener.set_alive_word(health);
  parts_.log("phase", "{}, {} clients, {} txns open", to_string(phase), parts_.client_listener.count(),
             parts_.dispatcher.open_requests());
}

}  // namespace walkpaddle::server
