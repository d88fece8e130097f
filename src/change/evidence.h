// What a router counts of its own work, for the judge: cumulative since its epoch began, which is a process
// in a generation. A copy of it replaces an earlier one and is never added to it, so nothing is summed twice
// however often and by whatever way it comes. No I/O.
#pragma once

#include <array>
#include <cmath>
#include <cstdint>

#include "base/time.h"

namespace walkpaddle::change {

struct Counters {
  // Answers by time, each twice as long as the one before: up to 1 ms, 2 ms, ... 4 s, longer.
  static constexpr int kTimes = 14;
  std::uint64_t epoch = 0;  // 0: none; the later one is greater
  std::uint64_t txns = 0, refused = 0, failed = 0, late = 0;
  std::uint64_t hops = 0, fills = 0,
                turned_away = 0;  // turned_away: hops that a server refused for want of room
  std::uint64_t breaches = 0;     // of a rule, as far as a router sees its own
  std::array<std::uint32_t, kTimes> took{};
  double memory_mb = 0, cpu = 0;  // cpu: seconds since the epoch began
  bool operator==(const Counters&) const = default;

  static int time_of(Seconds took) {
    const int n = took <= 0.001 ? 0 : static_cast<int>(std::ceil(std::log2(took / 0.001)));
    return n < kTimes ? n : kTimes - 1;
  }
  // What came since `earlier`, which is of the same epoch; all of it where that is not so.
  Counters since(const Counters& earlier) const {
    Counters d = *this;
    if (earlier.epoch != epoch || earlier.txns > txns) return d;
    d.txns -= earlier.txns, d.refused -= earlier.refused, d.failed -= earlier.failed, d.late -= earlier.late;
    d.hops -= earlier.hops, d.fills -= earlier.fills, d.turned_away -= earlier.turned_away;
    d.breaches -= earlier.breaches, d.cpu -= earlier.cpu;
    for (int n = 0; n < kTimes; ++n)
      d.took[static_cast<std::size_t>(n)] -= earlier.took[static_cast<std::size_t>(n)];
    return d;
  }
};

// Counts from the host; quiet for the warm-up after a start or a move.
class Tally {
 public:
  // epoch: a time in microseconds does; quiet_until: what ends before is not counted.
  void begin(std::uint64_t epoch, Seconds quiet_until) {
    counters_ = {.epoch = epoch}, quiet_until_ = quiet_until;
  }
  enum class End : std::uint8_t { completed, rejected, aborted };
  void txn(End end, Seconds took, Seconds sla, int hops, Seconds now) {
    if (now < quiet_until_) return;
    ++counters_.txns;
    counters_.refused += end == End::rejected;
    counters_.failed += end == End::aborted;
    counters_.late += end == End::completed && took > sla;
    counters_.hops += static_cast<std::uint64_t>(hops);
    if (end == End::completed) ++counters_.took[static_cast<std::size_t>(Counters::time_of(took))];
  }
  void hop(bool filled, bool turned_away, Seconds now) {
    if (now < quiet_until_) return;
    counters_.fills += filled, counters_.turned_away += turned_away;
  }
  void breach() { ++counters_.breaches; }  // counts in the warm-up too
  // cpu: of the process since its start.
  void load(double memory_mb, Seconds cpu, Seconds now) {
    if (now < quiet_until_) cpu_before_ = cpu;
    counters_.memory_mb = memory_mb, counters_.cpu = cpu - cpu_before_;
  }
  const Counters& counters() const { return counters_; }

 private:
  Counters counters_;
  Seconds quiet_until_ = 0, cpu_before_ = 0;
};

}  // namespace walkpaddle::change
