#include "compat/channel_comparison.h"

#include <utility>

namespace walkpaddle::compat {

namespace {

/// No value makes its reader refuse the message.
bool accepts_any(const Field& field) {
  return !field.min && !field.max && field.enum_value_count == 0 && !field.required;
}

std::string unit_of(const Field& field) { return field.unit.empty() ? "none" : field.unit; }

/// Whether `a` goes past `b` where `b` has a bound.
bool is_wider(const Field& a, const Field& b) {
  const bool below = b.min && (!a.min || *a.min < *b.min);
  const bool above = b.max && (!a.max || *a.max > *b.max);
  return below || above;
}

/// `now` is of the release that comes, `was` of the one that runs.
class ChannelComparison {
 public:
  ChannelComparison(const Release& next, const Release& running, const std::string& channel)
      : next_(next), running_(running), channel_(channel) {}

  std::vector<Finding> compare() {
    const auto now = next_.channels.find(channel_);
    const auto was = running_.channels.find(channel_);
    if (was == running_.channels.end()) return {};  // nobody there reads or writes it
    was_ = &was->second;
    if (now == next_.channels.end()) {
      breaks("", "the channel is given up while its reader lives");
      return std::move(findings_);
    }
    now_ = &now->second;
    if (compare_messages())
      for (const auto& name : running_.reachable_structs(was_->root)) compare_struct(name);
    return std::move(findings_);
  }

 private:
  /// False: the messages are other structs.
  bool compare_messages() {
    if (now_->version < was_->version)
      breaks("", "the channel's version goes back from " + std::to_string(was_->version));
    if (now_->root != was_->root) {
      breaks("", "its messages were " + was_->root + " and are " + now_->root);
      return false;
    }
    const auto now_bytes = std::to_string(now_->max_bytes);
    const auto was_bytes = std::to_string(was_->max_bytes);
    if (now_->max_bytes > was_->max_bytes)
      conditional("", "messages grow to " + now_bytes + " bytes, over " + was_bytes + " its reader refuses",
                  nullptr);
    if (now_->max_bytes < was_->max_bytes)
      breaks("", "messages over " + now_bytes + " bytes are refused, it writes up to " + was_bytes);
    return true;
  }

  void compare_struct(const std::string& name) {
    const auto it = next_.structs.find(name);
    if (it == next_.structs.end()) return breaks(name, "the struct is gone");
    const auto& was = running_.structs.at(name);
    const auto& now = it->second;
    for (const auto& [number, field] : was) {
      const auto path = name + "." + field.name;
      const auto counterpart = now.find(number);
      if (counterpart == now.end())
        breaks(path, "field " + std::to_string(number) + " is removed");
      else
        compare_field(path, number, field, counterpart->second);
    }
    for (const auto& [number, field] : now)
      if (!was.contains(number)) check_added(name, field);
  }

  void compare_field(const std::string& path, int number, const Field& was, const Field& now) {
    if (!is_same_field(path, number, was, now)) return;
    if (was.retired) {
      if (!now.retired) breaks(path, "number " + std::to_string(number) + " was retired and is taken again");
      return;
    }
    if (now.retired) return check_retired(path, was);
    compare_meaning(path, was, now);
    compare_values(path, was, now);
  }

  /// False: it is another field, which stands among the findings.
  bool is_same_field(const std::string& path, int number, const Field& was, const Field& now) {
    const auto no = std::to_string(number);
    if (now.name != was.name && now.former_name != was.name) {
      if (was.retired && !now.retired) {
        breaks(path, "number " + no + " was retired and is taken again for " + now.name);
        return false;
      }
      if (!now.retired) {
        breaks(path, "number " + no + " now is " + now.name + ": renumbered, or another meaning");
        return false;
      }
    }
    if (now.type != was.type) {
      breaks(path, "its type was " + was.type + " and is " + now.type);
      return false;
    }
    if (now.in_union != was.in_union) {
      breaks(path, "it moved into or out of a union");
      return false;
    }
    return true;
  }

  /// Its reader gets the absent value; a reader of a union's member never hears it again.
  void check_retired(const std::string& path, const Field& was) {
    if (was.required) return breaks(path, "it is written no more, and its reader needs it");
    if (!was.informational) breaks(path, "it is written no more while a reader decides by it");
  }

  /// What no decision uses may change its meaning; a reader that refuses it refuses the whole message.
  void compare_meaning(const std::string& path, const Field& was, const Field& now) {
    const bool informational = was.informational && now.informational;
    if (now.absent_value != was.absent_value && !(informational && accepts_any(was) && accepts_any(now)))
      breaks(path, "what it means when absent was " + was.absent_value + " and is " + now.absent_value);
    if (now.unit != was.unit && !informational)
      breaks(path, "its unit was " + unit_of(was) + " and is " + unit_of(now) + " under the same type");
  }

  /// What is written now against what is refused there, and the other way.
  void compare_values(const std::string& path, const Field& was, const Field& now) {
    if (is_wider(now, was))
      conditional(path, "its bounds are wider than its reader takes, which refuses the rest", &now);
    if (is_wider(was, now)) breaks(path, "its bounds are narrower than what is written there");
    if (now.enum_value_count > was.enum_value_count && !was.skips_unknown)
      conditional(path,
                  "it has " + std::to_string(now.enum_value_count) + " words, its reader knows " +
                      std::to_string(was.enum_value_count),
                  &now);
    if (now.enum_value_count < was.enum_value_count)
      breaks(path, "it knows fewer words than are written there");
    if (was.required && !now.required) conditional(path, "it may be absent, and its reader needs it", &now);
    if (now.required && !was.required) breaks(path, "it must be there, and its writer may leave it out");
  }

  void check_added(const std::string& name, const Field& field) {
    if (field.retired) return;
    const auto path = name + "." + field.name;
    if (field.required) breaks(path, "it is new and must be there, and its writer does not know it");
    const bool is_skipped = name == was_->root && was_->skips_unknown;
    if (field.in_union && !is_skipped)
      conditional(path, "a member of a union that its reader takes for another or refuses", &field);
    if (!field.alters.empty())
      conditional(path, "it alters what " + field.alters + " means, which its reader reads without it",
                  &field);
  }

  void breaks(const std::string& field, std::string why) {
    findings_.push_back({.compatibility = Compatibility::breaking,
                         .channel = channel_,
                         .field = field,
                         .router = {},
                         .why = std::move(why),
                         .version = was_->version});
  }

  /// `now`: the field as it is written once all read it; nullptr: it is the channel itself.
  void conditional(const std::string& field, std::string why, const Field* now) {
    findings_.push_back({.compatibility = Compatibility::conditional,
                         .channel = channel_,
                         .field = field,
                         .router = {},
                         .why = std::move(why),
                         .version = was_->version,
                         .needed_version = now_->version,
                         .gated = now != nullptr && now->gated});
  }

  const Release& next_;
  const Release& running_;
  const std::string& channel_;
  std::vector<Finding> findings_;
  const Channel* was_ = nullptr;
  const Channel* now_ = nullptr;
};

}  // namespace

std::vector<Finding> compare_channel(const Release& next, const Release& running,
                                     const std::string& channel) {
  return ChannelComparison(next, running, channel).compare();
}

}  // namespace walkpaddle::compat
