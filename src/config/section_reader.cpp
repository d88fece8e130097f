#include "config/section_reader.h"

#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/error.h"

namespace walkpaddle::config {

namespace {

constexpr std::size_t kMaxMessageBytes = 300;

// libConfuse's callbacks carry no user data, so the state of the current read is kept here.
thread_local std::optional<ConfigError> first_error;
thread_local std::string file_being_read;

ConfigError::Location location_of(const cfg_t* section) {
  return {.file = file_being_read, .line = section != nullptr ? section->line : 0};
}

void record_library_error(cfg_t* section, const char* format, va_list arguments) {
  if (first_error) return;
  char text[kMaxMessageBytes];
  std::vsnprintf(text, sizeof text, format, arguments);
  // read() appends kEndOption to the text. Within an unfinished section it is reported as an unknown option.
  const bool unfinished = std::strstr(text, kEndOption) != nullptr;
  first_error.emplace(location_of(section), unfinished ? "the file ends within a section" : text);
}

}  // namespace

std::string Section::text(const char* key) const {
  const char* text = cfg_getstr(section_, key);
  return text == nullptr ? "" : text;
}

std::vector<std::string> Section::texts(const char* key) const {
  std::vector<std::string> texts;
  for (unsigned n = 0; n < cfg_size(section_, key); ++n) texts.emplace_back(cfg_getnstr(section_, key, n));
  return texts;
}

std::vector<double> Section::numbers(const char* key) const {
  std::vector<double> numbers;
  for (unsigned n = 0; n < cfg_size(section_, key); ++n) numbers.push_back(cfg_getnfloat(section_, key, n));
  return numbers;
}

std::vector<Section> Section::sections(const char* name) const {
  std::vector<Section> all;
  for (unsigned n = 0; n < cfg_size(section_, name); ++n)
    all.emplace_back(*file_, cfg_getnsec(section_, name, n));
  return all;
}

std::optional<Section> Section::section(const char* name) const {
  if (cfg_size(section_, name) == 0) return std::nullopt;
  return Section(*file_, cfg_getnsec(section_, name, 0));
}

std::string Section::required_text(const char* key, const std::string& why) const {
  auto value = text(key);
  if (value.empty()) refuse(why, key);
  return value;
}

void Section::refuse(const std::string& why, const std::string& key) const {
  throw ConfigError({.file = *file_, .line = section_->line, .key = key}, why);
}

Document::Document(std::string path, cfg_opt_t* options)
    : path_(std::move(path)), root_(cfg_init(options, CFGF_NONE), &cfg_free) {
  first_error.reset();
  cfg_set_error_function(root_.get(), record_library_error);
}

void Document::validate(const char* option, cfg_validate_callback_t check) {
  cfg_set_validate_func(root_.get(), option, check);
}

Section Document::read() {
  std::ifstream in(path_);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) throw InputError("cannot read " + path_);
  file_being_read = path_;
  const auto marked = text + "\n" + kEndOption + " = 1\n";
  if (cfg_parse_buf(root_.get(), marked.c_str()) != CFG_SUCCESS) {
    if (first_error) throw ConfigError(*first_error);
    throw ConfigError({.file = path_}, "cannot be parsed");
  }
  return {path_, root_.get()};
}

int reject_value(cfg_t* section, cfg_opt_t* option, const std::string& message, std::string value,
                 std::string allowed) {
  auto where = location_of(section);
  where.key = option->name;
  if (!first_error) first_error.emplace(std::move(where), message, std::move(value), std::move(allowed));
  return -1;
}

}  // namespace walkpaddle::config
