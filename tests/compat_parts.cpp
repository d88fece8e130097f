// Property test of the compatibility check. It generates a schema at random, changes it, lets Cap'n Proto
// compile both, and passes messages between them in both directions. If the check says safe, no reader may
// refuse or misread anything that a decision uses. Prints one line; standard error gets the number of pairs
// that the check rejected although 200 messages showed no fault.
#include <capnp/dynamic.h>
#include <capnp/message.h>
#include <rapidcheck.h>

#include <cmath>
#include <cstdio>
#include <optional>
#include <random>

#include "compat/compatibility.h"
#include "tests/schema_text.h"

using namespace walkpaddle;
using namespace walkpaddle::compat;

namespace {

// A generated field. `meaning` identifies what the field stands for, whatever its name is.
struct GeneratedField {
  int meaning = 0;
  std::string name, type;
  int absent_value = 0;
  bool in_ms = false;
  std::optional<int> min, max;
  int enum_value_count = 0;
  bool required = false, retired = false, informational = false;
};
struct GeneratedSchema {
  std::vector<GeneratedField> fields;  // by number
  int max_bytes = 1000, next_meaning = 0;
  std::string alters;  // the field whose value counts double if the last field is not 0; empty: none

  std::string text() const {
    std::string t = "@0xb7d3a1c94e5f2a68;\nstruct Msg {\n";
    for (std::size_t n = 0; n < fields.size(); ++n) {
      const auto& f = fields[n];
      t += "  " + f.name + " @" + std::to_string(n) + " :" + f.type;
      if (f.absent_value != 0) t += " = " + std::to_string(f.absent_value);
      t += ";\n";
    }
    return t + "}\n";
  }
  std::string rules(const char* name, int version, const GeneratedSchema* before) const {
    std::string t = std::string(R"({"release":")") + name + R"(","channels":{"c":{"version":)" +
                    std::to_string(version) + R"(,"root":"msg.Msg","largest":)" + std::to_string(max_bytes) +
                    R"(}},"fields":{)";
    for (std::size_t n = 0; n < fields.size(); ++n) {
      const auto& f = fields[n];
      t += (n > 0 ? "," : "") + std::string("\"msg.Msg.") + f.name + "\":{\"unit\":\"" +
           (f.in_ms ? "ms" : "s") + "\"";
      if (f.min) t += ",\"least\":" + std::to_string(*f.min);
      if (f.max) t += ",\"most\":" + std::to_string(*f.max);
      if (f.enum_value_count > 0) t += ",\"values\":" + std::to_string(f.enum_value_count);
      if (f.required) t += ",\"absent\":\"must\"";
      if (f.retired) t += ",\"retired\":true";
      if (f.informational) t += ",\"plain\":true";
      // A field that is renamed and keeps its meaning states its former name.
      if (before != nullptr && n < before->fields.size() && before->fields[n].meaning == f.meaning &&
          before->fields[n].name != f.name)
        t += ",\"was\":\"" + before->fields[n].name + "\"";
      if (n + 1 == fields.size() && !alters.empty()) t += ",\"alters\":\"msg.Msg." + alters + "\"";
      t += "}";
    }
    return t + "}}";
  }
};

int random_int(int from, int to) { return *rc::gen::inRange(from, to + 1); }

GeneratedField generate_field(GeneratedSchema& d) {
  static const char* types[] = {"UInt8", "UInt16", "UInt32", "Int64", "Float32", "Float64"};
  GeneratedField f;
  f.meaning = d.next_meaning++;
  f.name = "f" + std::to_string(f.meaning);
  f.type = types[random_int(0, 5)];
  if (random_int(0, 3) == 0) f.absent_value = random_int(1, 3);
  if (random_int(0, 3) == 0) f.min = 0, f.max = random_int(4, 60);
  if (f.type == "UInt8" && random_int(0, 1) == 0)
    f.enum_value_count = random_int(4, 6), f.min = f.max = std::nullopt;
  f.required = random_int(0, 5) == 0;
  f.informational = random_int(0, 5) == 0;
  return f;
}

GeneratedSchema generate_schema() {
  GeneratedSchema d;
  for (int n = random_int(2, 5); n > 0; --n) d.fields.push_back(generate_field(d));
  return d;
}

void mutate(GeneratedSchema& d) {
  auto& f = d.fields[static_cast<std::size_t>(random_int(0, static_cast<int>(d.fields.size()) - 1))];
  switch (random_int(0, 15)) {
    case 0:
    case 1:
      d.fields.push_back(generate_field(d)), d.alters.clear();
      break;
    case 2:
      if (d.fields.size() > 1) d.fields.pop_back(), d.alters.clear();
      break;
    case 3:
      std::swap(f, d.fields[0]);
      break;
    case 4:
      f.type = f.type == "Float64" ? "Int64" : "Float64";
      break;
    case 5:
      f.name = "g" + std::to_string(f.meaning);
      break;
    case 6:
      f.retired = true, f.name = "retired" + std::to_string(f.meaning);
      break;
    case 7:  // reuses a retired number
      if (f.retired)
        f.meaning = d.next_meaning++, f.name = "f" + std::to_string(f.meaning), f.retired = false;
      break;
    case 8:
      f.absent_value = random_int(0, 3);
      break;
    case 9:
      if (f.enum_value_count == 0) f.in_ms = !f.in_ms;
      break;
    case 10:
      if (f.max) *f.max += 30;
      break;
    case 11:
      if (f.max && *f.max > 6) *f.max -= 2;  // the value when absent stays within the bounds
      break;
    case 12:
      if (f.enum_value_count > 0) ++f.enum_value_count;
      break;
    case 13:
      f.required = !f.required;
      break;
    case 14:
      d.max_bytes += random_int(0, 1) == 0 ? 500 : -300;
      break;
    case 15: {
      auto scale = generate_field(d);
      scale.type = "UInt8", scale.enum_value_count = 0, scale.min = scale.max = std::nullopt,
      scale.required = false, scale.informational = false, scale.absent_value = 0;
      d.alters = d.fields[0].name;
      d.fields.push_back(scale);
      break;
    }
  }
}

// The content of one message: its values in seconds, by meaning, with the value when absent for a field left
// out.
struct Content {
  std::map<int, double> values;
  bool doubled = false;
  int bytes = 0;
};

Content write(const GeneratedSchema& d, capnp::DynamicStruct::Builder b, std::mt19937& random) {
  Content content;
  const auto roll = [&](int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); };
  content.bytes = 1 + roll(d.max_bytes);
  for (std::size_t n = 0; n < d.fields.size(); ++n) {
    const auto& f = d.fields[n];
    if (f.retired) continue;
    double value = f.absent_value;
    if (f.required || roll(3) > 0) {
      const int min = f.min.value_or(0);
      const int max = f.enum_value_count > 0 ? f.enum_value_count - 1 : f.max.value_or(100);
      do value = min + roll(max - min + 1);
      while (f.required && value == f.absent_value && max > min);
      b.set(f.name, capnp::DynamicValue::Reader(value));
    }
    content.values[f.meaning] = value * (f.in_ms ? 0.001 : 1);
    if (n + 1 == d.fields.size() && !d.alters.empty()) content.doubled = value != 0;
  }
  return content;
}

// Whether a reader accepts the message and reads all that its decisions use with the writer's
// meaning.
bool reads_correctly(const GeneratedSchema& d, const GeneratedSchema& writer, capnp::DynamicStruct::Reader r,
                     const Content& content, bool older) {
  if (content.bytes > d.max_bytes) return false;
  for (std::size_t n = 0; n < d.fields.size(); ++n) {
    const auto& f = d.fields[n];
    if (f.retired) continue;
    const double value = r.get(f.name).as<double>();
    if ((f.min && value < *f.min) || (f.max && value > *f.max)) return false;
    if (f.enum_value_count > 0 && value >= f.enum_value_count) return false;
    if (f.required && value == f.absent_value) return false;
    if (f.informational) continue;
    const auto it = content.values.find(f.meaning);
    const double intended = it != content.values.end() ? it->second : f.absent_value * (f.in_ms ? 0.001 : 1);
    if (std::abs(value * (f.in_ms ? 0.001 : 1) - intended) > 1e-6) return false;
    if (it == content.values.end() && older)
      return false;  // decisions of the older release use a field that is no longer written
    if (content.doubled && f.name == writer.alters && d.alters != writer.alters && value != 0) return false;
  }
  return true;
}

}  // namespace

int main() {
  int safe = 0, rejected = 0, rejected_without_fault = 0;
  const bool good = rc::check("the check calls no pair safe whose reader refuses or misreads a message", [&] {
    auto old = generate_schema();
    for (int n = random_int(0, 1); n > 0; --n) mutate(old);
    old.alters.clear();
    auto next = old;
    for (int n = random_int(1, 3); n > 0; --n) mutate(next);
    SchemaText old_text(old.text()), next_text(next.text());
    const auto old_release = old_text.release(old.rules("v1", 1, nullptr));
    const auto next_release = next_text.release(next.rules("v2", 2, &old));
    const auto report = check_compatibility(next_release, {{"r", &old_release, false}});
    std::mt19937 random(static_cast<unsigned>(random_int(0, 1 << 30)));
    bool correct = true;
    for (int times = 0; times < 200 && correct; ++times) {
      const bool new_writes = times % 2 == 0;  // the new release writes, the old one reads
      capnp::MallocMessageBuilder message;
      auto& writes = new_writes ? next_text : old_text;
      const auto content = write(new_writes ? next : old,
                                 message.initRoot<capnp::DynamicStruct>(writes.struct_schema("Msg")), random);
      const auto r =
          message.getRoot<capnp::DynamicStruct>((new_writes ? old_text : next_text).struct_schema("Msg"))
              .asReader();
      correct = reads_correctly(new_writes ? old : next, new_writes ? next : old, r, content, new_writes);
    }
    if (report.compatibility == Compatibility::safe) {
      ++safe;
      if (!correct)
        RC_LOG() << old.text() << old.rules("v1", 1, nullptr) << "\n"
                 << next.text() << next.rules("v2", 2, &old);
      RC_ASSERT(correct);
    } else {
      ++rejected, rejected_without_fault += correct;
    }
  });
  std::fprintf(stderr, "safe %d, rejected %d, of these without a fault in 200 messages %d\n", safe, rejected,
               rejected_without_fault);
  std::printf("the check calls no pair safe whose reader refuses or misreads a message: %s\n",
              good && safe > 10 ? "holds" : "BROKEN");
  return good && safe > 10 ? 0 : 1;
}
