#include "control/confuse.h"

#include <cstdarg>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <iterator>

#include "base/text.h"

namespace walkpaddle::control {

namespace {

// The library calls back without a place for our own.
thread_local std::string first_error, reading_from;

void keep_error(cfg_t* cfg, const char* form, va_list args) {
  if (!first_error.empty()) return;
  char text[300];
  std::vsnprintf(text, sizeof text, form, args);
  // What stands behind the file's text: one that ends within a section takes it for that section's.
  const std::string what = std::strstr(text, kEnd) != nullptr ? "the file ends within a section" : text;
  first_error = reading_from + ":" + std::to_string(cfg != nullptr ? cfg->line : 0) + ": " + what;
}

}  // namespace

Cfg begin(cfg_opt_t* all) {
  Cfg cfg(cfg_init(all, CFGF_NONE), &cfg_free);
  first_error.clear();
  cfg_set_error_function(cfg.get(), keep_error);
  return cfg;
}

void parse(cfg_t* cfg, const std::string& path) {
  std::ifstream in(path);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) throw InputError("cannot read " + path);
  reading_from = path;
  if (cfg_parse_buf(cfg, (text + "\n" + kEnd + " = 1\n").c_str()) != CFG_SUCCESS)
    throw InputError(first_error.empty() ? path + ": cannot be read" : first_error);
}

void refuse(const std::string& path, cfg_t* section, const std::string& why) {
  throw InputError(path + ":" + std::to_string(section->line) + ": " + why);
}

std::string text_of(cfg_t* cfg, const char* name) {
  const char* text = cfg_getstr(cfg, name);
  return text == nullptr ? "" : text;
}

std::vector<std::string> texts_of(cfg_t* cfg, const char* name) {
  std::vector<std::string> texts;
  for (unsigned n = 0; n < cfg_size(cfg, name); ++n) texts.emplace_back(cfg_getnstr(cfg, name, n));
  return texts;
}

}  // namespace walkpaddle::control
