// The checker's verdicts against what readers really read: schemas are drawn, changed, compiled by the
// library, messages written by the one and read by the other, both ways. Where the verdict is safe no reader
// may refuse or misread anything that a decision uses. To standard error: how often it calls breaking what no
// message of some hundreds showed to be. One line.
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

// A field as its authors mean it; `meaning` names what it stands for, whatever it is called.
struct Drawn {
  int meaning = 0;
  std::string name, type;
  int absent = 0;
  bool ms = false;
  std::optional<int> least, most;
  int values = 0;
  bool must = false, retired = false, plain = false;
};
struct Drawing {
  std::vector<Drawn> fields;  // by number
  int largest = 1000, meanings = 0;
  std::string alters;  // the last field says that the first one's number counts double

  std::string text() const {
    std::string t = "@0xb7d3a1c94e5f2a68;\nstruct Msg {\n";
    for (std::size_t n = 0; n < fields.size(); ++n) {
      const auto& f = fields[n];
      t += "  " + f.name + " @" + std::to_string(n) + " :" + f.type;
      if (f.absent != 0) t += " = " + std::to_string(f.absent);
      t += ";\n";
    }
    return t + "}\n";
  }
  std::string rules(const char* name, int version, const Drawing* before) const {
    std::string t = std::string(R"({"release":")") + name + R"(","channels":{"c":{"version":)" +
                    std::to_string(version) + R"(,"root":"msg.Msg","largest":)" + std::to_string(largest) +
                    R"(}},"fields":{)";
    for (std::size_t n = 0; n < fields.size(); ++n) {
      const auto& f = fields[n];
      t += (n > 0 ? "," : "") + std::string("\"msg.Msg.") + f.name + "\":{\"unit\":\"" + (f.ms ? "ms" : "s") +
           "\"";
      if (f.least) t += ",\"least\":" + std::to_string(*f.least);
      if (f.most) t += ",\"most\":" + std::to_string(*f.most);
      if (f.values > 0) t += ",\"values\":" + std::to_string(f.values);
      if (f.must) t += ",\"absent\":\"must\"";
      if (f.retired) t += ",\"retired\":true";
      if (f.plain) t += ",\"plain\":true";
      // Who renames a field and keeps its meaning says so.
      if (before != nullptr && n < before->fields.size() && before->fields[n].meaning == f.meaning &&
          before->fields[n].name != f.name)
        t += ",\"was\":\"" + before->fields[n].name + "\"";
      if (n + 1 == fields.size() && !alters.empty()) t += ",\"alters\":\"msg.Msg." + alters + "\"";
      t += "}";
    }
    return t + "}}";
  }
};

int draw(int from, int to) { return *rc::gen::inRange(from, to + 1); }

Drawn draw_field(Drawing& d) {
  static const char* types[] = {"UInt8", "UInt16", "UInt32", "Int64", "Float32", "Float64"};
  Drawn f;
  f.meaning = d.meanings++;
  f.name = "f" + std::to_string(f.meaning);
  f.type = types[draw(0, 5)];
  if (draw(0, 3) == 0) f.absent = draw(1, 3);
  if (draw(0, 3) == 0) f.least = 0, f.most = draw(4, 60);
  if (f.type == "UInt8" && draw(0, 1) == 0) f.values = draw(4, 6), f.least = f.most = std::nullopt;
  f.must = draw(0, 5) == 0;
  f.plain = draw(0, 5) == 0;
  return f;
}

Drawing draw_schema() {
  Drawing d;
  for (int n = draw(2, 5); n > 0; --n) d.fields.push_back(draw_field(d));
  return d;
}

void change(Drawing& d) {
  auto& f = d.fields[static_cast<std::size_t>(draw(0, static_cast<int>(d.fields.size()) - 1))];
  switch (draw(0, 15)) {
    case 0:
    case 1:
      d.fields.push_back(draw_field(d)), d.alters.clear();
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
    case 7:  // taken again
      if (f.retired) f.meaning = d.meanings++, f.name = "f" + std::to_string(f.meaning), f.retired = false;
      break;
    case 8:
      f.absent = draw(0, 3);
      break;
    case 9:
      if (f.values == 0) f.ms = !f.ms;
      break;
    case 10:
      if (f.most) *f.most += 30;
      break;
    case 11:
      if (f.most && *f.most > 6) *f.most -= 2;  // what is absent stays within
      break;
    case 12:
      if (f.values > 0) ++f.values;
      break;
    case 13:
      f.must = !f.must;
      break;
    case 14:
      d.largest += draw(0, 1) == 0 ? 500 : -300;
      break;
    case 15: {
      auto scale = draw_field(d);
      scale.type = "UInt8", scale.values = 0, scale.least = scale.most = std::nullopt, scale.must = false,
      scale.plain = false, scale.absent = 0;
      d.alters = d.fields[0].name;
      d.fields.push_back(scale);
      break;
    }
  }
}

// What a writer means in one message: by meaning, in seconds; nothing for what it leaves out.
struct Said {
  std::map<int, double> meant;
  bool doubled = false;
  int bytes = 0;
};

Said write(const Drawing& d, capnp::DynamicStruct::Builder b, std::mt19937& chance) {
  Said said;
  const auto roll = [&](int n) { return static_cast<int>(chance() % static_cast<unsigned>(n)); };
  said.bytes = 1 + roll(d.largest);
  for (std::size_t n = 0; n < d.fields.size(); ++n) {
    const auto& f = d.fields[n];
    if (f.retired) continue;
    double value = f.absent;
    if (f.must || roll(3) > 0) {
      const int least = f.least.value_or(0);
      const int most = f.values > 0 ? f.values - 1 : f.most.value_or(100);
      do value = least + roll(most - least + 1);
      while (f.must && value == f.absent && most > least);
      b.set(f.name, capnp::DynamicValue::Reader(value));
    }
    said.meant[f.meaning] = value * (f.ms ? 0.001 : 1);
    if (n + 1 == d.fields.size() && !d.alters.empty()) said.doubled = value != 0;
  }
  return said;
}

// Whether a reader takes all that its decisions use as it was meant.
bool reads(const Drawing& d, const Drawing& writer, capnp::DynamicStruct::Reader r, const Said& said,
           bool older) {
  if (said.bytes > d.largest) return false;
  for (std::size_t n = 0; n < d.fields.size(); ++n) {
    const auto& f = d.fields[n];
    if (f.retired) continue;
    const double value = r.get(f.name).as<double>();
    if ((f.least && value < *f.least) || (f.most && value > *f.most)) return false;
    if (f.values > 0 && value >= f.values) return false;
    if (f.must && value == f.absent) return false;
    if (f.plain) continue;
    const auto it = said.meant.find(f.meaning);
    const double meant = it != said.meant.end() ? it->second : f.absent * (f.ms ? 0.001 : 1);
    if (std::abs(value * (f.ms ? 0.001 : 1) - meant) > 1e-6) return false;
    if (it == said.meant.end() && older) return false;  // it decides by what nobody tells it any more
    if (said.doubled && f.name == writer.alters && d.alters != writer.alters && value != 0) return false;
  }
  return true;
}

}  // namespace

int main() {
  int safe = 0, called = 0, harmless = 0;
  const bool good = rc::check("no safe verdict where a reader refuses or misreads", [&] {
    auto old = draw_schema();
    for (int n = draw(0, 1); n > 0; --n) change(old);
    old.alters.clear();
    auto next = old;
    for (int n = draw(1, 3); n > 0; --n) change(next);
    SchemaText old_text(old.text()), next_text(next.text());
    const auto old_release = old_text.release(old.rules("v1", 1, nullptr));
    const auto next_release = next_text.release(next.rules("v2", 2, &old));
    const auto v = check_compatibility(next_release, {{"r", &old_release, false}});
    std::mt19937 chance(static_cast<unsigned>(draw(0, 1 << 30)));
    bool agree = true;
    for (int times = 0; times < 200 && agree; ++times) {
      const bool forth = times % 2 == 0;  // the new writes, the old reads
      capnp::MallocMessageBuilder message;
      auto& writes = forth ? next_text : old_text;
      const auto said =
          write(forth ? next : old, message.initRoot<capnp::DynamicStruct>(writes.of("Msg")), chance);
      const auto r =
          message.getRoot<capnp::DynamicStruct>((forth ? old_text : next_text).of("Msg")).asReader();
      agree = reads(forth ? old : next, forth ? next : old, r, said, forth);
    }
    if (v.compatibility == Compatibility::safe) {
      ++safe;
      if (!agree)
        RC_LOG() << old.text() << old.rules("v1", 1, nullptr) << "\n"
                 << next.text() << next.rules("v2", 2, &old);
      RC_ASSERT(agree);
    } else {
      ++called, harmless += agree;
    }
  });
  std::fprintf(stderr, "safe %d, called breaking %d, of these harmless in 200 messages %d\n", safe, called,
               harmless);
  std::printf("no safe verdict where a reader refuses or misreads: %s\n",
              good && safe > 10 ? "holds" : "BROKEN");
  return good && safe > 10 ? 0 : 1;
}
