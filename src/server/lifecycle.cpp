#include "server/lifecycle.h"

#include <signal.h>

#include <algorithm>
#include <string>
#include <utility>

#include "guard/guard.h"

namespace walkpaddle::server {

namespace {

// After it has asked a process to end, the platform waits for the longest deadline of the request classes,
// counted up to kMaxCountedDeadline, and for kPlatformKillDelay, and then kills the process.
constexpr Seconds kMaxCountedDeadline = 3;
constexpr Seconds kPlatformKillDelay = 0.7;
// Requests still open this long before the kill are aborted. The end of the connections takes the rest, also
// in turns that are long because clients still send at full speed.
constexpr Seconds kKillMargin = 0.2;
// Clients that have not noticed the shutdown yet keep sending requests for most of a second.
constexpr Seconds kMinDrainTime = 0.8;
constexpr Seconds kDrainPollInterval = 0.02;
// The time that a request may be in transit while its connection is closed here, and a margin.
constexpr Seconds kLateRequestPeriod = 0.06;
constexpr Seconds kLateRequestPollInterval = kDrainPollInterval / 2;
constexpr Seconds kHandOverPollInterval = 0.01;

Seconds longest_deadline(const config::Settings& settings) {
  Seconds longest = 0;
  for (int n = 0; n < settings.integer("categories.count"); ++n)
    longest = std::max(longest, settings.duration("categories." + std::to_string(n) + ".deadline"));
  return std::min(longest, kMaxCountedDeadline);
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
    const bool signal_arrived = co_await parts_.signals.arrived.wait(parts_.reload.next_retry());
    if (!signal_arrived) parts_.reload.retry();
  }
  rollouts.cancel_successor();  // a request to end the process overrides a hot restart
  parts_.scheduler.start(shut_down());
}

void Lifecycle::load_initial_state() {
  const auto& config = parts_.config;
  parts_.discovery.set_last_event(
      config::replay_initial_events(config.initial_events, config.settings, parts_.discovery));
  parts_.warm_start.restore_from_file();
  if (config.discovery) parts_.discovery.follow(*config.discovery);
}

// Open requests may complete within the time that the platform allows. Further signals are ignored.
Task Lifecycle::shut_down() {
  enter(Phase::draining);
  auto& scheduler = parts_.scheduler;
  Event poll(scheduler);
  const Seconds asked_at = scheduler.now();
  const Seconds drained_by = asked_at + drain_limit();
  parts_.client_listener.set_answer_by(drained_by);
  while (scheduler.now() < drained_by && (scheduler.now() < asked_at + kMinDrainTime || answers_pending()))
    co_await poll.wait(scheduler.now() + kDrainPollInterval);

  enter(Phase::stopped);
  stop_answering();
  scheduler.start(end_connections());
}

// Ends the connections and the program. Requests that still arrive are read but not forwarded: closing a
// socket with unread bytes would reset the connection, and the client would lose the last answers sent to it.
Task Lifecycle::end_connections() {
  auto& scheduler = parts_.scheduler;
  Event poll(scheduler);
  const Seconds end = scheduler.now() + kLateRequestPeriod;
  do {
    co_await poll.wait(scheduler.now() + kLateRequestPollInterval);
    parts_.client_listener.close_idle_and_unfinished();
  } while (scheduler.now() < end && parts_.client_listener.count() > 0);
  scheduler.stop();
}

bool Lifecycle::answers_pending() const {
  return parts_.dispatcher.open_requests() > 0 || parts_.client_listener.has_unsent_answers() ||
         parts_.client_listener.has_arriving_messages();
}

Seconds Lifecycle::drain_limit() const {
  return longest_deadline(parts_.config.settings) + kPlatformKillDelay - kKillMargin;
}

void Lifecycle::stop_answering() {
  parts_.metrics.log_counters(parts_.log);
  parts_.warm_start.write_file();
  parts_.client_listener.stop_accepting();
  parts_.client_listener.abort_open();
}

// New connections queue at the listener for the successor. Open connections are closed when no request is
// open or arriving on them, and all of them after the longest deadline.
Task Lifecycle::hand_over(RolloutControl& rollouts) {
  enter(Phase::handing_over);
  auto& scheduler = parts_.scheduler;
  auto& clients = parts_.client_listener;
  Event poll(scheduler);
  const Seconds end = scheduler.now() + longest_deadline(parts_.config.settings);
  clients.set_answer_by(end);
  rollouts.take_listener(clients.hand_over_listener());
  do {
    clients.close_idle();
    co_await poll.wait(scheduler.now() + kHandOverPollInterval);
  } while (scheduler.now() < end && (clients.count() > 0 || parts_.dispatcher.open_requests() > 0));
  parts_.warm_start.write_file();
  clients.abort_open();
  scheduler.start(end_connections());
}

void Lifecycle::enter(Phase phase) {
  phase_ = phase;
  const auto health = health_status(phase);
  if (health == "READY") {
    const bool list_known = parts_.discovery.has_initial_list();
    if (parts_.dispatcher.guard().may_report_ready(list_known, true) != guard::Invariant::none) return;
  }
  parts_.client_listener.set_alive_reply(health);
  parts_.log("phase", "{}, {} client connections, {} open requests", to_string(phase),
             parts_.client_listener.count(), parts_.dispatcher.open_requests());
}

}  // namespace walkpaddle::server
