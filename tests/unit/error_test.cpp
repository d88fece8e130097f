// The exception types: their messages, their fields and the class that each is caught as.
#include "base/error.h"

#include <catch2/catch.hpp>
#include <cerrno>
#include <string>

#include "base/text.h"

using namespace walkpaddle;

TEST_CASE("a configuration error names file, line, key, value and the allowed values") {
  const ConfigError error({"walkpaddle.conf", 7, "lease"}, "0.01", "0.2 to 600 seconds");
  CHECK(std::string(error.what()) == "walkpaddle.conf:7: lease is '0.01', expected 0.2 to 600 seconds");
  CHECK(error.where().file == "walkpaddle.conf");
  CHECK(error.where().line == 7);
  CHECK(error.where().key == "lease");
  CHECK(error.value() == "0.01");
  CHECK(error.allowed() == "0.2 to 600 seconds");
}

TEST_CASE("a configuration error without a line number omits it") {
  const ConfigError error({"config.json", 0, ""}, "settings without categories");
  CHECK(std::string(error.what()) == "config.json: settings without categories");
  CHECK(error.value().empty());
}

TEST_CASE("a message quotes at most 60 bytes of a value, the error holds all of it") {
  const std::string value(1000, 'x');
  const ConfigError error({"f", 1, "k"}, value, "less");
  CHECK(std::string(error.what()) == "f:1: k is '" + std::string(60, 'x') + "', expected less");
  CHECK(error.value() == value);
}

TEST_CASE("a protocol error has the peer and the position") {
  const ProtocolError error("bad frame kind '9'", "127.0.0.1:7000", 12);
  CHECK(std::string(error.what()) == "127.0.0.1:7000: bad frame kind '9'");
  CHECK(error.peer() == "127.0.0.1:7000");
  CHECK(error.position() == 12);
  CHECK(ProtocolError("x").position() == ProtocolError::kUnknownPosition);
}

TEST_CASE("a system error has the action, the reason and the errno") {
  const SystemError error("listen on 127.0.0.1:1", EACCES);
  CHECK(std::string(error.what()) == "listen on 127.0.0.1:1: Permission denied");
  CHECK(error.error_number() == EACCES);
}

TEST_CASE("configuration and protocol errors are input errors, store and system errors are not") {
  CHECK_THROWS_AS(throw ConfigError({}, "x"), InputError);
  CHECK_THROWS_AS(throw ProtocolError("x"), InputError);
  CHECK_THROWS_AS(throw StoreError("x"), Error);
  CHECK_THROWS_AS(throw SystemError("x", EIO), Error);
  const auto is_input = [](const Error& error) { return dynamic_cast<const InputError*>(&error) != nullptr; };
  CHECK_FALSE(is_input(StoreError("x")));
  CHECK_FALSE(is_input(SystemError("x", EIO)));
}

TEST_CASE("a number that does not fill its field is an input error that names the field") {
  CHECK(parse<int>("17", "number") == 17);
  CHECK(parse<double>("0.5", "number") == 0.5);
  for (const auto* text : {"", "17x", " 17", "1e999", "nan"}) {
    CHECK_THROWS_AS(parse<double>(text, "number"), InputError);
    CHECK(parse_or(text, -1.0) == -1.0);
  }
  CHECK_THROWS_WITH(parse<int>("seventeen", "number"), "bad number 'seventeen'");
}
