// The test oracle of the soak. It records what clients sent and received, what servers received and what
// discovery delivered, and checks these records against the invariants of docs/promises.md. It sees the
// routers from outside only. All times are Unix time in seconds on this machine's clock; the soak
// steps only the routers' clocks.
#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace walkpaddle::soak {

Seconds unix_now();

enum class Invariant {
  answer_once,
  answer_in_time,
  effect_once,
  attempt_after_leave,
  deadline_passed,
  drain_kept,
  slow_start,
  purge_kept,
  copy_named,
  refusal_harmless,
  attempt_after_end,
  body_unchanged,
  ends_in_time,
  stays_up,
  connections_bounded,
  refused_bounded,
  guard,  // the router's own guard refused a step that would have violated an invariant
  count
};
constexpr int kInvariantCount = static_cast<int>(Invariant::count);
std::string_view name_of(Invariant invariant);

// The body that every write of a client has, with line ends so that a part of it can pass for the whole.
constexpr std::string_view kWriteBody = "some\r\nbytes\r\n";
// The body of a part of an object, and what a server answers to a write: fixed, so that they can be compared.
std::string object_body(std::string_view item, std::string_view part);
std::string write_result(std::uint64_t id);

enum class Idempotency { idempotent, with_key, non_idempotent };

// Values from the settings that the checks use, with the grace periods of the platform's protocol.
struct Rules {
  Seconds window = 1.5;       // in which a server drops a repeat with the same idempotency key
  Seconds drain_grace = 1;    // for attempts after the router received the drain event
  Seconds purge_grace = 0.5;  // for attempts after the router received the purge event
  Seconds warm_after = 8, cold_window = 1;
  double cold_from = 0.1, cold_multiple = 2;
  double capacity = 60;  // of a warm server, in attempts per second
};

struct Violation {
  Invariant invariant;
  Seconds at;
  int router;
  std::uint64_t request;  // 0 if the violation concerns no request
  std::string description;
};

class Oracle {
 public:
  struct Request {
    std::uint64_t id = 0;
    int router = 0, start = 0;  // the router, and the number of its process start
    Idempotency effect = Idempotency::idempotent;
    std::string item, key, etag;
    int part = 0, group = 0;
    Seconds sent = 0, limit = 0, read_pauses = 0;
  };
  struct Attempt {
    int server = 0;
    Seconds at = 0;
    bool exact_time = true;  // `at` is when the router sent it: the server had no unread input before
    Seconds limit = 0;
    int source = -1;
    bool ran = true, ended = false;
    Seconds copy_created = 0;    // creation time of the copy in the answer
    std::string confirmed_etag;  // the entity tag that a still_good answer confirmed
  };
  Oracle(const Rules& rules, Seconds began) : rules_(rules), began_(began) {}

  // Clients.
  void record_request(const Request& request);
  void record_answer(std::uint64_t id, std::string_view status, std::string_view fields,
                     std::string_view body);
  bool has_run(std::uint64_t id) const;                  // whether an attempt of it ran, or may have
  void record_cancellation(std::uint64_t id);            // by the client: it cancelled the request or closed
  void excuse(std::uint64_t id, std::string_view why);   // the protocol requires no answer
  void record_read_pause(std::uint64_t id, Seconds by);  // the client does not read for that long
  void record_crossed_close(std::uint64_t id);           // the request crossed an idle close: not accepted
  void record_connection_end(std::uint64_t id, std::string_view how);  // reports an answer that is owed

  // Servers. record_attempt() returns the attempt's number for finish_attempt().
  std::size_t record_attempt(std::uint64_t id, const Attempt& attempt);
  void record_write(int server, std::string_view body);  // of any client, judged or not
  void finish_attempt(std::uint64_t id, std::size_t number, bool ran, Seconds copy_created,
                      std::string_view confirmed_etag);
  void record_server_start(int server, Seconds at) { server_starts_[server] = at; }

  // Discovery: events delivered to the router's process with that start number.
  void record_start_event(int router, int start, int server, Seconds at);
  void record_drain_event(int router, int start, int server, Seconds at);
  void record_ready_event(int router, int start, int server);
  void record_purge_event(int router, int start, int object_group, std::string_view item, Seconds purged,
                          Seconds delivered);

  // Processes.
  void record_stall(int router, Seconds from, Seconds to);
  void report_violation(Invariant invariant, int router, std::uint64_t request, std::string description);
  Seconds recent_lag() const;         // the worst of the last seconds
  void record_loop_lag(Seconds lag);  // delay of the soak's own event loop: observations may be that late

  void finish();  // at the end of the run: reports requests that were never answered
  const std::vector<Violation>& violations() const { return violations_; }
  struct Counts {
    std::uint64_t sent = 0, served = 0, rejected = 0, failed = 0, cancelled = 0, excused = 0, crossed = 0,
                  attempts = 0;
    std::uint64_t checked[kInvariantCount] = {};
  };
  const Counts& counts() const { return counts_; }
  Seconds worst_lag() const { return worst_lag_; }
  const std::vector<Seconds>& latencies() const { return latencies_; }

 private:
  struct Record {
    Request request;
    std::vector<Attempt> attempts;
    Seconds left_at = -1, answered_at = -1;
    bool excused = false, crossed = false, closed = false;
  };
  struct Purge {
    Seconds purged, delivered;
  };
  struct EventTimes {
    std::map<int, Seconds> drains;
    std::map<int, Seconds> starts;
    std::map<std::string, std::vector<Purge>, std::less<>> purges;  // by object, or by "#group"
  };
  Seconds slack() const;  // tolerance for timers and for the recent lag of the event loop
  // Seconds between `from` and `to` in which the router was stopped.
  Seconds stalled_time(int router, Seconds from, Seconds to) const;
  void check_attempt(const Record& record, const Attempt& attempt);
  void check_cold(const Record& record, const Attempt& attempt);
  void check_purges(const Record& record);
  EventTimes& event_times(int router, int start) { return event_times_[{router, start}]; }

  const Rules rules_;
  const Seconds began_;
  std::unordered_map<std::uint64_t, Record> records_;
  // Attempts that ran, by idempotency key.
  std::map<std::string, std::vector<std::pair<Seconds, std::uint64_t>>> effects_;
  std::map<std::pair<int, int>, EventTimes> event_times_;
  std::map<int, Seconds> server_starts_;
  struct ColdAttempt {
    Seconds at;
    bool start_known;
  };
  std::map<int, std::deque<ColdAttempt>> cold_attempts_;  // by server, within the sliding window
  std::map<int, Seconds> cold_violation_at_;
  std::map<int, std::vector<std::pair<Seconds, Seconds>>> stalls_;
  std::deque<std::pair<Seconds, Seconds>> lags_;
  Seconds worst_lag_ = 0;
  std::vector<Seconds> latencies_;
  std::vector<Violation> violations_;
  Counts counts_;
};

}  // namespace walkpaddle::soak
