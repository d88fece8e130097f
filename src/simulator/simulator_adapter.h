// Connects instances of the routing policy to a simulator, by a line-based protocol.
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

/// The fields of one line, taken from left to right. A field "-" and missing fields count as absent.
/// Functions without a value for absent fields throw InputError for them; all throw it for malformed values,
/// with `name` in the message.
class Fields {
 public:
  explicit Fields(std::string_view line) : rest_(line) {}
  /// A field as text, which must not be empty.
  std::string_view text(const char* name);
  std::string_view text_or(std::string_view absent);
  std::uint64_t integer(const char* name);
  std::int64_t integer_or(std::int64_t absent, const char* name);
  double number(const char* name);
  double number_or(double absent, const char* name);
  /// A time given in milliseconds; `absent` is in seconds.
  Seconds ms_or(Seconds absent, const char* name) { return number_or(absent * 1e3, name) / 1e3; }
  /// A field that is 0 or 1.
  bool flag(const char* name);
  /// The text after the fields taken so far.
  std::string_view rest() const { return rest_; }

 private:
  std::optional<std::string_view> take();
  std::string_view rest_;
};

/// Any number of instances of the routing policy, independent of each other, behind one connection to the
/// simulator.
class SimulatorAdapter {
 public:
  /// Handles one line of input. Returns true if it completes a batch; reply() then has the answer. Throws
  /// InputError for an invalid line.
  bool handle_line(std::string_view text);
  /// The answer to the last complete batch.
  const std::string& reply() const { return reply_; }
  /// Whether a batch has begun and not ended.
  bool inside_batch() const { return inside_batch_; }

 private:
  struct ListEntry {
    std::string id;
    std::uint64_t hash;
    int location, kind, cell;
    EndpointState state;
    double weight;
    Seconds started;
  };
  struct Request {
    std::uint32_t id = 0;
    int in_flight = 0;   // attempts
    bool ended = false;  // for the client
    std::uint64_t object = 0;
    std::uint32_t group = 0;
  };
  struct Instance {
    explicit Instance(std::uint32_t seed) : policy(make_routing_policy(seed)) {}
    std::unique_ptr<RoutingPolicy> policy;
    std::unordered_map<std::string, int> endpoint_of_id;
    std::vector<std::string> endpoint_ids;
    std::unordered_map<std::uint32_t, int> slot_of_id;  // of the requests
    std::vector<Request> requests;                      // by slot
    std::vector<int> free_slots;
    std::unique_ptr<purge::PurgeIndex> purges;
    // utilization_field: position of the utilization in a load report; -1 if it has none.
    int request_classes = 0, utilization_field = -1;
  };

  void handle_message(std::string_view name, Fields& fields);
  void create_instance(Fields& fields);
  void update_endpoint_list(Instance& instance, Fields& fields);
  void receive_request(Instance& instance, Fields& fields);
  void end_attempt(Instance& instance, Fields& fields);
  void add_list_entry(Fields& fields);
  template <class F>
  void call_policy(int number, F&& call);
  void mark_affected(int number);
  int endpoint_index(Instance& instance, std::string_view id);
  void apply_purge(Instance& instance, std::string_view object, std::uint32_t group, Seconds valid_since);
  static void free_if_done(Instance& instance, int slot);
  void write_decisions(int number, Instance& instance);
  void write_decision(int number, Instance& instance, const Decision& decision);
  void append_number(double value);
  void append_ms(Seconds value) { append_number(value * 1e3); }

  std::unordered_map<int, Instance> instances_;
  std::vector<int> affected_;  // instances that the current batch concerns
  std::vector<std::vector<ListEntry>> endpoint_lists_ = std::vector<std::vector<ListEntry>>(16);
  std::vector<std::pair<int, std::string>> failures_;  // by instance
  std::string reply_;
  std::string batch_number_;
  std::size_t missing_entries_ = 0;  // of the endpoint list that is being read
  std::size_t list_index_ = 0;       // of that list
  Seconds now_ = 0;
  bool inside_batch_ = false;
};

}  // namespace walkpaddle::simulator
