#include "soak/oracle.h"

#include <fmt/core.h>

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/hash.h"
#include "base/text.h"
#include "net/resp_parser.h"

namespace walkpaddle::soak {

namespace {

constexpr std::string_view kNames[kInvariantCount] = {"answer_once",
                                                      "answer_in_time",
                                                      "effect_once",
                                                      "attempt_after_leave",
                                                      "deadline_passed",
                                                      "drain_kept",
                                                      "slow_start",
                                                      "purge_kept",
                                                      "copy_named",
                                                      "refusal_harmless",
                                                      "attempt_after_end",
                                                      "body_unchanged",
                                                      "ends_in_time",
                                                      "stays_up",
                                                      "connections_bounded",
                                                      "refused_bounded",
                                                      "guard"};

constexpr Seconds kTimerSlack = 0.05;        // for every time limit that is observed on sockets
constexpr Seconds kAnswerGrace = 0.5;        // after the request's limit
constexpr Seconds kCancellationGrace = 0.1;  // for attempts that start after the client cancelled
constexpr Seconds kDeadlineSlack = 0.15;
constexpr std::size_t kMaxViolations = 200;

}  // namespace

Seconds unix_now() {
  return std::chrono::duration<Seconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

std::string object_body(std::string_view item, std::string_view part) {
  // Sizes range from 16 bytes to some tens of kilobytes.
  const auto key = fmt::format("{}.{}", item, part);
  const auto size = 16 + stable_hash(key) % 97 * (stable_hash(key) % 31 == 0 ? 600 : 20);
  return key + "." + std::string(size, 'x');
}

std::string write_result(std::uint64_t id) { return fmt::format("done {:016x}", id); }

std::string_view name_of(Invariant invariant) { return kNames[static_cast<int>(invariant)]; }

void Oracle::report_violation(Invariant invariant, int router, std::uint64_t request,
                              std::string description) {
  if (violations_.size() < kMaxViolations)
    violations_.push_back({invariant, unix_now() - began_, router, request, std::move(description)});
}

void Oracle::record_loop_lag(Seconds lag) {
  constexpr Seconds kLagMemory = 2;
  const Seconds now = unix_now();
  worst_lag_ = std::max(worst_lag_, lag);
  lags_.emplace_back(now, lag);
  while (lags_.front().first < now - kLagMemory) lags_.pop_front();
}

Seconds Oracle::recent_lag() const {
  Seconds worst = 0;
  for (const auto& [at, lag] : lags_) worst = std::max(worst, lag);
  return worst;
}

Seconds Oracle::slack() const { return kTimerSlack + 2 * recent_lag(); }

void Oracle::record_stall(int router, Seconds from, Seconds to) { stalls_[router].emplace_back(from, to); }

Seconds Oracle::stalled_time(int router, Seconds from, Seconds to) const {
  const auto it = stalls_.find(router);
  if (it == stalls_.end()) return 0;
  Seconds sum = 0;
  for (const auto& [begin, end] : it->second) sum += std::max(0.0, std::min(end, to) - std::max(begin, from));
  return sum;
}

void Oracle::record_request(const Request& request) {
  ++counts_.sent;
  records_[request.id] = {.request = request, .attempts = {}};
}

void Oracle::record_answer(std::uint64_t id, std::string_view status, std::string_view fields,
                           std::string_view body) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  auto& r = it->second;
  const auto& request = r.request;
  ++counts_.checked[static_cast<int>(Invariant::answer_once)];
  if (r.answered_at >= 0)
    return report_violation(Invariant::answer_once, request.router, id,
                            fmt::format("second answer: {}", status));
  r.answered_at = unix_now();
  const Seconds allowed = request.sent + request.limit + request.read_pauses + kAnswerGrace + slack();
  ++counts_.checked[static_cast<int>(Invariant::answer_in_time)];
  if (r.left_at < 0 && r.answered_at > allowed + stalled_time(request.router, request.sent, r.answered_at))
    report_violation(Invariant::answer_in_time, request.router, id,
                     fmt::format("{} after {:.3f} s, limit {:.3f} s", status, r.answered_at - request.sent,
                                 request.limit));
  const bool ran = std::ranges::any_of(r.attempts, &Attempt::ran);
  if (status == "REJECT") {
    ++counts_.rejected, ++counts_.checked[static_cast<int>(Invariant::refusal_harmless)];
    if (ran && request.effect == Idempotency::non_idempotent)
      report_violation(Invariant::refusal_harmless, request.router, id,
                       "rejected although an attempt of it may have run");
    return;
  }
  if (status != "RESULT") return void(++counts_.failed);
  ++counts_.served;
  latencies_.push_back(r.answered_at - request.sent);
  if (request.effect != Idempotency::idempotent) {
    if (r.attempts.empty() || body != write_result(id))
      report_violation(Invariant::answer_once, request.router, id,
                       "served, but no server produced this answer");
    return;
  }
  if (net::field(fields, "notmod").value_or("") == "1") {
    ++counts_.checked[static_cast<int>(Invariant::copy_named)];
    if (request.etag.empty() ||
        std::ranges::none_of(r.attempts, [&](const Attempt& a) { return a.confirmed_etag == request.etag; }))
      report_violation(Invariant::copy_named, request.router, id,
                       "not modified, but no server confirmed the entity tag");
  } else if (body != object_body(request.item, std::to_string(request.part))) {
    report_violation(Invariant::body_unchanged, request.router, id,
                     fmt::format("{} bytes that no server sent for it: {}", body.size(), body.substr(0, 24)));
  }
  check_purges(r);
}

// The client received the copy of the last attempt that was answered with one.
void Oracle::check_purges(const Record& r) {
  const auto last = std::find_if(r.attempts.rbegin(), r.attempts.rend(),
                                 [](const Attempt& a) { return a.copy_created > 0; });
  if (last == r.attempts.rend() || !last->exact_time) return;
  const auto& request = r.request;
  const auto& purges = event_times(request.router, request.start).purges;
  for (const auto& key : {request.item, fmt::format("#{}", request.group)}) {
    const auto it = purges.find(key);
    if (it == purges.end()) continue;
    for (const auto& p : it->second) {
      ++counts_.checked[static_cast<int>(Invariant::purge_kept)];
      // Times on the wire are whole milliseconds: a copy from the same one as the purge is current.
      if (last->at > p.delivered + rules_.purge_grace + slack() && last->copy_created < p.purged - 0.001)
        return report_violation(
            Invariant::purge_kept, request.router, request.id,
            fmt::format("attempt sent {:.3f} s after the purge was delivered, answered from a copy {:.3f} s "
                        "older than the purge",
                        last->at - p.delivered, p.purged - last->copy_created));
    }
  }
}

bool Oracle::has_run(std::uint64_t id) const {
  const auto it = records_.find(id);
  return it != records_.end() && std::ranges::any_of(it->second.attempts, &Attempt::ran);
}

void Oracle::record_cancellation(std::uint64_t id) {
  const auto it = records_.find(id);
  if (it == records_.end() || it->second.answered_at >= 0 || it->second.left_at >= 0) return;
  it->second.left_at = unix_now(), ++counts_.cancelled;
}

void Oracle::excuse(std::uint64_t id, std::string_view) {
  const auto it = records_.find(id);
  if (it == records_.end() || it->second.answered_at >= 0) return;
  it->second.excused = true, ++counts_.excused;
}

void Oracle::record_read_pause(std::uint64_t id, Seconds by) {
  if (const auto it = records_.find(id); it != records_.end()) it->second.request.read_pauses += by;
}

void Oracle::record_crossed_close(std::uint64_t id) {
  const auto it = records_.find(id);
  if (it == records_.end() || it->second.answered_at >= 0) return;
  auto& r = it->second;
  r.crossed = true, ++counts_.crossed;
  ++counts_.checked[static_cast<int>(Invariant::attempt_after_end)];
  if (!r.attempts.empty())
    report_violation(Invariant::attempt_after_end, r.request.router, id,
                     "crossed the close of its connection but was forwarded to a server");
}

void Oracle::record_connection_end(std::uint64_t id, std::string_view how) {
  const auto it = records_.find(id);
  if (it == records_.end()) return;
  auto& r = it->second;
  if (r.answered_at >= 0 || r.left_at >= 0 || r.excused || r.crossed || r.closed) return;
  r.closed = true;
  report_violation(Invariant::answer_once, r.request.router, id,
                   fmt::format("{} without an answer {:.3f} s after the request was sent, {} attempts", how,
                               unix_now() - r.request.sent, r.attempts.size()));
}

void Oracle::record_write(int server, std::string_view body) {
  ++counts_.checked[static_cast<int>(Invariant::body_unchanged)];
  if (body == kWriteBody) return;
  report_violation(Invariant::body_unchanged, -1, 0,
                   fmt::format("server {} was sent a write with {} bytes in place of {}", server, body.size(),
                               kWriteBody.size()));
}

std::size_t Oracle::record_attempt(std::uint64_t id, const Attempt& attempt) {
  ++counts_.attempts;
  const auto it = records_.find(id);
  if (it == records_.end()) return 0;
  auto& r = it->second;
  check_attempt(r, attempt);
  check_cold(r, attempt);
  r.attempts.push_back(attempt);
  return r.attempts.size() - 1;
}

void Oracle::check_attempt(const Record& r, const Attempt& a) {
  const auto& request = r.request;
  const auto count_check = [&](Invariant invariant) { ++counts_.checked[static_cast<int>(invariant)]; };
  if (r.crossed)
    report_violation(Invariant::attempt_after_end, request.router, request.id,
                     "forwarded to a server after its connection was closed");
  const auto report_repeat = [&](std::string description) {
    report_violation(Invariant::effect_once, request.router, request.id, std::move(description));
  };
  count_check(Invariant::effect_once);
  for (const auto& earlier : r.attempts) {
    if (!earlier.ran || request.effect == Idempotency::idempotent) continue;
    if (request.effect == Idempotency::non_idempotent) {
      report_repeat("second attempt although an earlier one may have run");
      break;
    }
    if (a.exact_time && a.at > earlier.at + rules_.window + slack()) {
      report_repeat(fmt::format("repeated {:.3f} s after an earlier attempt, the window is {:.1f} s",
                                a.at - earlier.at, rules_.window));
      break;
    }
  }
  if (!a.exact_time) return;
  const Seconds late = slack();
  count_check(Invariant::attempt_after_leave);
  if (r.left_at >= 0 &&
      a.at > r.left_at + kCancellationGrace + late + stalled_time(request.router, r.left_at, a.at))
    report_violation(Invariant::attempt_after_leave, request.router, request.id,
                     fmt::format("attempt starts {:.3f} s after the client cancelled", a.at - r.left_at));
  count_check(Invariant::deadline_passed);
  const Seconds time_left = request.sent + request.limit - a.at;
  if (a.limit > time_left + kDeadlineSlack + late)
    report_violation(
        Invariant::deadline_passed, request.router, request.id,
        fmt::format("attempt has a limit of {:.3f} s, the request has {:.3f} s left", a.limit, time_left));
  const auto& drains = event_times(request.router, request.start).drains;
  for (const int endpoint : {a.server, a.source}) {
    const auto it = drains.find(endpoint);
    if (it == drains.end()) continue;
    count_check(Invariant::drain_kept);
    if (a.at > it->second + rules_.drain_grace + late + stalled_time(request.router, it->second, a.at))
      report_violation(
          Invariant::drain_kept, request.router, request.id,
          fmt::format("{} server {} {:.3f} s after its drain event was delivered",
                      endpoint == a.server ? "sent to" : "filled from", endpoint, a.at - it->second));
  }
}

// Counts the attempts that a cold server receives from all routers in a sliding window. A violation needs two
// thirds of them to come from routers that had received the event of the server's start.
void Oracle::check_cold(const Record& r, const Attempt& a) {
  const auto start = server_starts_.find(a.server);
  if (start == server_starts_.end() || a.at > start->second + rules_.warm_after) return;
  auto& window = cold_attempts_[a.server];
  const auto& starts = event_times(r.request.router, r.request.start).starts;
  const auto it = starts.find(a.server);
  window.push_back({a.at, it != starts.end() && it->second >= start->second - 1 && it->second < a.at});
  while (window.front().at < a.at - rules_.cold_window || window.front().at < start->second)
    window.pop_front();
  const double warmed = std::clamp((a.at - start->second) / rules_.warm_after, 0.0, 1.0);
  const double expected = rules_.cold_multiple * (rules_.cold_from + (1 - rules_.cold_from) * warmed) *
                          rules_.capacity * rules_.cold_window;
  const double max_attempts =
      expected < 30 ? expected + 3 * std::sqrt(expected) + 3 : expected + 2 * std::sqrt(expected) + 2;
  ++counts_.checked[static_cast<int>(Invariant::slow_start)];
  const auto with_known_start = static_cast<double>(std::ranges::count_if(window, &ColdAttempt::start_known));
  const auto all = static_cast<double>(window.size());
  if (all > max_attempts && with_known_start > all * 2 / 3 && cold_violation_at_[a.server] < start->second) {
    cold_violation_at_[a.server] = a.at;
    report_violation(
        Invariant::slow_start, r.request.router, r.request.id,
        fmt::format("server {}: {} attempts in {:.1f} s, {:.1f} s after its start; allowed: {:.0f}", a.server,
                    window.size(), rules_.cold_window, a.at - start->second, max_attempts));
  }
}

void Oracle::finish_attempt(std::uint64_t id, std::size_t number, bool ran, Seconds copy_created,
                            std::string_view confirmed_etag) {
  const auto it = records_.find(id);
  if (it == records_.end() || number >= it->second.attempts.size()) return;
  auto& a = it->second.attempts[number];
  a.ran = ran, a.ended = true, a.copy_created = copy_created, a.confirmed_etag = confirmed_etag;
}

void Oracle::record_start_event(int router, int start, int server, Seconds at) {
  event_times(router, start).starts[server] = at;
}
void Oracle::record_drain_event(int router, int start, int server, Seconds at) {
  event_times(router, start).drains.emplace(server, at);
}
void Oracle::record_ready_event(int router, int start, int server) {
  event_times(router, start).drains.erase(server);
}
void Oracle::record_purge_event(int router, int start, int group, std::string_view item, Seconds purged,
                                Seconds at) {
  auto& all = event_times(router, start).purges[item.empty() ? fmt::format("#{}", group) : std::string(item)];
  all.push_back({purged, at});
}

void Oracle::finish() {
  const Seconds now = unix_now();
  for (const auto& [id, r] : records_) {
    if (r.answered_at >= 0 || r.left_at >= 0 || r.excused || r.crossed || r.closed) continue;
    report_violation(Invariant::answer_once, r.request.router, id,
                     fmt::format("no answer {:.3f} s after the request was sent, limit {:.3f} s, {} attempts",
                                 now - r.request.sent, r.request.limit, r.attempts.size()));
  }
}

}  // namespace walkpaddle::soak
