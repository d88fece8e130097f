// The wire's host: many isolated instances of the module behind one pair of streams.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/text.h"
#include "purge/purge_index.h"
#include "routing/policy.h"

namespace walkpaddle::simulator {

// The fields of one line, taken from left to right. "-" and missing optional fields read as absent.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}
  std::string_view text(const char* name);
  std::string_view text_or(std::string_view absent);
  std::uint64_t integer(const char* name);
  std::int64_t integer_or(std::int64_t absent, const char* name);
  double number(const char* name);
  double number_or(double absent, const char* name);
  Seconds ms_or(Seconds absent, const char* name) { return number_or(absent * 1e3, name) / 1e3; }
  bool flag(const char* name);
  std::string_view rest() const { return rest_; }

 private:
  std::optional<std::string_view> take();
  std::string_view rest_;
};

class SimulatorAdapter {
 public:
  // One line of input at a time; true when a batch is complete and reply() holds its answer.
  bool line(std::string_view text);
  const std::string& reply() const { return out_; }
  bool inside_batch() const { return inside_; }

 private:
  struct Entry {
    std::string server;
    std::uint64_t hash;
    int location, kind, cell;
    EndpointState state;
    double weight;
    Seconds started;
  };
  struct Txn {
    std::uint32_t id = 0;
    int out = 0;
    bool over = false;
    std::uint64_t object = 0;
    std::uint32_t group = 0;
  };
  struct Instance {
    explicit Instance(std::uint32_t seed) : brain(make_routing_policy(seed)) {}
    std::unique_ptr<RoutingPolicy> brain;
    std::unordered_map<std::string, int> member_of;
    std::vector<std::string> members;
    std::unordered_map<std::uint32_t, int> txn_of;
    std::vector<Txn> txns;
    std::vector<int> free_txns;
    std::unique_ptr<purge::PurgeIndex> purges;
    int rules = 0, util_at = -1;  // util_at: place of the load report's util
  };

  void event(std::string_view name, Fields& f);
  void enlist(Fields& f);
  void topology(Instance& in, Fields& f);
  void query(Instance& in, Fields& f);
  void completed(Instance& in, Fields& f);
  void server_entry(Fields& f);
  template <class F>
  void guarded(int number, F&& call);
  void touch(int number);
  int member(Instance& in, std::string_view server);
  void purged(Instance& in, std::string_view object, std::uint32_t group, Seconds from);
  static void close_if_done(Instance& in, int txn);
  void pull(int number, Instance& in);
  void write(int number, Instance& in, const Decision& d);
  void put_number(double value);
  void put_ms(Seconds value) { put_number(value * 1e3); }

  std::unordered_map<int, Instance> instances_;
  std::vector<int> touched_;
  std::vector<std::vector<Entry>> rosters_ = std::vector<std::vector<Entry>>(16);
  std::vector<std::pair<int, std::string>> faults_;
  std::string out_;
  std::string seq_;
  std::size_t entries_due_ = 0;
  std::size_t bank_ = 0;
  Seconds clock_ = 0;
  bool inside_ = false;
};

}  // namespace walkpaddle::simulator
