#include "compat/release.h"

#include <algorithm>

#include "base/error.h"
#include "compat/rules.h"
#include "compat/schema_reader.h"

namespace walkpaddle::compat {

namespace {

constexpr std::string_view kListPrefix = "List(";

/// The element type of a list, also of nested lists; any other type is returned as it is.
std::string_view element_type(std::string_view type) {
  while (type.starts_with(kListPrefix)) {
    type.remove_prefix(kListPrefix.size());
    type.remove_suffix(1);
  }
  return type;
}

}  // namespace

std::vector<std::string> Release::reachable_structs(const std::string& root) const {
  std::vector<std::string> found{root};
  for (std::size_t n = 0; n < found.size(); ++n) {
    const auto fields = structs.find(found[n]);
    if (fields == structs.end()) continue;
    for (const auto& [number, field] : fields->second) {
      std::string type(element_type(field.type));
      if (structs.contains(type) && std::ranges::find(found, type) == found.end())
        found.push_back(std::move(type));
    }
  }
  return found;
}

Release read_release(const std::vector<capnp::schema::Node::Reader>& nodes, std::string_view rules) {
  Release release;
  release.structs = read_structs(nodes);
  read_rules(rules, release);
  return release;
}

Release read_release(const std::vector<std::string>& requests, std::string_view rules) {
  const SchemaRequests schemas(requests);
  return read_release(schemas.nodes(), rules);
}

}  // namespace walkpaddle::compat
