#include "compat/channel_comparison.h"

#include <utility>

namespace walkpaddle::compat {

namespace {

/// Whether no value of the field, nor its absence, makes a reader refuse the message.
bool accepts_any(const Field& field) {
  return !field.min && !field.max && field.enum_value_count == 0 && !field.required;
}

std::string unit_of(const Field& field) { return field.unit.empty() ? "none" : field.unit; }

/// Whether `a` allows a value outside the bounds of `b`.
bool exceeds_bounds(const Field& a, const Field& b) {
  const bool below = b.min && (!a.min || *a.min < *b.min);
  const bool above = b.max && (!a.max || *a.max > *b.max);
  return below || above;
}

/// Compares one channel. In all names `next` stands for the new release and `running` for the one that runs.
class ChannelComparison {
 public:
  ChannelComparison(const Release& next, const Release& running, const std::string& channel)
      : next_(next), running_(running), channel_(channel) {}

  std::vector<Finding> compare() {
    const auto next = next_.channels.find(channel_);
    const auto running = running_.channels.find(channel_);
    if (running == running_.channels.end()) return {};  // the running release neither reads nor writes it
    running_channel_ = &running->second;
    if (next == next_.channels.end()) {
      add_breaking("", "the channel is removed, but the running release still reads it");
      return std::move(findings_);
    }
    next_channel_ = &next->second;
    if (compare_messages())
      for (const auto& name : running_.reachable_structs(running_channel_->root)) compare_struct(name);
    return std::move(findings_);
  }

 private:
  /// Compares what the channels say of whole messages. False: their root structs differ.
  bool compare_messages() {
    if (next_channel_->version < running_channel_->version)
      add_breaking("", "the channel's version goes down from " + std::to_string(running_channel_->version));
    if (next_channel_->root != running_channel_->root) {
      add_breaking("",
                   "its root struct changes from " + running_channel_->root + " to " + next_channel_->root);
      return false;
    }
    const auto next_bytes = std::to_string(next_channel_->max_bytes);
    const auto running_bytes = std::to_string(running_channel_->max_bytes);
    if (next_channel_->max_bytes > running_channel_->max_bytes)
      add_conditional("",
                      "messages may grow to " + next_bytes +
                          " bytes, but the running release refuses more than " + running_bytes,
                      nullptr);
    if (next_channel_->max_bytes < running_channel_->max_bytes)
      add_breaking("", "messages over " + next_bytes +
                           " bytes are refused, but the running release writes up to " + running_bytes);
    return true;
  }

  void compare_struct(const std::string& name) {
    const auto it = next_.structs.find(name);
    if (it == next_.structs.end()) return add_breaking(name, "the struct is removed");
    const auto& running = running_.structs.at(name);
    const auto& next = it->second;
    for (const auto& [number, field] : running) {
      const auto path = name + "." + field.name;
      const auto counterpart = next.find(number);
      if (counterpart == next.end())
        add_breaking(path, "field " + std::to_string(number) + " is removed");
      else
        compare_field(path, number, field, counterpart->second);
    }
    for (const auto& [number, field] : next)
      if (!running.contains(number)) check_added(name, field);
  }

  void compare_field(const std::string& path, int number, const Field& running, const Field& next) {
    if (!is_same_field(path, number, running, next)) return;
    if (running.retired) {
      if (!next.retired)
        add_breaking(path, "number " + std::to_string(number) + " was retired and is reused");
      return;
    }
    if (next.retired) return check_retired(path, running);
    compare_meaning(path, running, next);
    compare_values(path, running, next);
  }

  /// Whether both are the same field. If not, the difference is added to the findings.
  bool is_same_field(const std::string& path, int number, const Field& running, const Field& next) {
    const auto number_text = std::to_string(number);
    if (next.name != running.name && next.former_name != running.name) {
      if (running.retired && !next.retired) {
        add_breaking(path, "number " + number_text + " was retired and is reused for " + next.name);
        return false;
      }
      if (!next.retired) {
        add_breaking(path, "number " + number_text + " now belongs to " + next.name +
                               ": renumbered, or another meaning");
        return false;
      }
    }
    if (next.type != running.type) {
      add_breaking(path, "its type changes from " + running.type + " to " + next.type);
      return false;
    }
    if (next.in_union != running.in_union) {
      add_breaking(path, "it moves into or out of a union");
      return false;
    }
    return true;
  }

  /// Compares a field that the new release has retired. Readers get the value for an absent field instead; if
  /// it was a member of a union, no message has that member any more.
  void check_retired(const std::string& path, const Field& running) {
    if (running.required)
      return add_breaking(path, "it is no longer written, but the running release requires it");
    if (!running.informational)
      add_breaking(path, "it is no longer written, but decisions of the running release use it");
  }

  /// Compares what the values mean. A field that no decision uses may change its meaning, but the value when
  /// absent only if neither reader checks it: a reader that refuses the field refuses the whole message.
  void compare_meaning(const std::string& path, const Field& running, const Field& next) {
    const bool informational = running.informational && next.informational;
    if (next.absent_value != running.absent_value &&
        !(informational && accepts_any(running) && accepts_any(next)))
      add_breaking(path,
                   "its value when absent changes from " + running.absent_value + " to " + next.absent_value);
    if (next.unit != running.unit && !informational)
      add_breaking(path, "its unit changes from " + unit_of(running) + " to " + unit_of(next) +
                             " under the same type");
  }

  /// Compares the values that each release may write with those that the other refuses.
  void compare_values(const std::string& path, const Field& running, const Field& next) {
    if (exceeds_bounds(next, running))
      add_conditional(
          path,
          "its bounds are wider than those of the running release, which refuses values outside its own",
          &next);
    if (exceeds_bounds(running, next))
      add_breaking(
          path,
          "its bounds are narrower than those of the running release, which may write values outside them");
    if (next.enum_value_count > running.enum_value_count && !running.skips_unknown)
      add_conditional(path,
                      "it has " + std::to_string(next.enum_value_count) +
                          " values, but the running release knows only " +
                          std::to_string(running.enum_value_count),
                      &next);
    if (next.enum_value_count < running.enum_value_count)
      add_breaking(path, "it has fewer values than the running release, which may write the others");
    if (running.required && !next.required)
      add_conditional(path, "it may be absent, but the running release requires it", &next);
    if (next.required && !running.required)
      add_breaking(path, "it becomes required, but the running release may leave it out");
  }

  void check_added(const std::string& name, const Field& field) {
    if (field.retired) return;
    const auto path = name + "." + field.name;
    if (field.required)
      add_breaking(path, "it is new and required, but the running release does not write it");
    const bool is_skipped = name == running_channel_->root && running_channel_->skips_unknown;
    if (field.in_union && !is_skipped)
      add_conditional(path, "a new member of a union, which the running release misreads or refuses", &field);
    if (!field.alters.empty())
      add_conditional(path,
                      "it alters what " + field.alters + " means, which the running release reads without it",
                      &field);
  }

  void add_breaking(const std::string& field, std::string why) {
    findings_.push_back({.compatibility = Compatibility::breaking,
                         .channel = channel_,
                         .field = field,
                         .router = {},
                         .why = std::move(why),
                         .version = running_channel_->version});
  }

  /// `next`: the field in the new release; nullptr if the finding is about the channel itself.
  void add_conditional(const std::string& field, std::string why, const Field* next) {
    findings_.push_back({.compatibility = Compatibility::conditional,
                         .channel = channel_,
                         .field = field,
                         .router = {},
                         .why = std::move(why),
                         .version = running_channel_->version,
                         .needed_version = next_channel_->version,
                         .gated = next != nullptr && next->gated});
  }

  const Release& next_;
  const Release& running_;
  const std::string& channel_;
  std::vector<Finding> findings_;
  const Channel* running_channel_ = nullptr;
  const Channel* next_channel_ = nullptr;
};

}  // namespace

std::vector<Finding> compare_channel(const Release& next, const Release& running,
                                     const std::string& channel) {
  return ChannelComparison(next, running, channel).compare();
}

}  // namespace walkpaddle::compat
