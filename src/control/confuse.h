// What every document of operators has in common, by libConfuse: the first error with file and line, a file
// that ends within a section, words of a section.
#pragma once

#include <confuse.h>

#include <memory>
#include <string>
#include <vector>

namespace walkpaddle::control {

using Cfg = std::unique_ptr<cfg_t, decltype(&cfg_free)>;

constexpr const char* kEnd = "end_of_file";  // an option that every document's list ends with

Cfg begin(cfg_opt_t* all);
void parse(cfg_t* cfg, const std::string& path);  // InputError with file and line
[[noreturn]] void refuse(const std::string& path, cfg_t* section, const std::string& why);
std::string text_of(cfg_t* cfg, const char* name);
std::vector<std::string> texts_of(cfg_t* cfg, const char* name);

}  // namespace walkpaddle::control
