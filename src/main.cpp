// The real router: reads its configuration and runs until it is told to stop.
#include <fmt/core.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>

#include "net/config.h"
#include "net/router.h"
#include "text.h"

int main() {
  try {
    const char* path = std::getenv("LB_CONFIG");
    if (path == nullptr) throw walkpaddle::Malformed("LB_CONFIG is not set");
    const auto read = [path] {
      std::ifstream file(path);
      std::stringstream text;
      if (!(text << file.rdbuf())) throw walkpaddle::Malformed(std::string("cannot read ") + path);
      auto config = walkpaddle::net::parse_config(text.str());
      if (const char* listen = std::getenv("LB_LISTEN"))
        config.listen = walkpaddle::net::parse_address(listen);
      return config;
    };
    auto config = read();
    walkpaddle::net::Log log(config.name);
    walkpaddle::net::Router(std::move(config), read, log).run();
    return 0;
  } catch (const std::exception& e) {
    fmt::print(stderr, "walkpaddle: {}\n", e.what());
    return 1;
  }
}
