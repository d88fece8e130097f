/// \file
/// Reads the sections of the operator's file and of the change documents with libConfuse. Errors are thrown
/// as ConfigError with file and line; if there are several, the first is thrown. A Document must be created
/// and read by one thread, which creates no other Document in between.
#pragma once

#include <confuse.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace walkpaddle::config {

/// An option that must end the option table of every document, as CFG_INT(kEndOption, 0, CFGF_NONE). It is
/// appended to the text of a file to detect one that ends within a section.
constexpr const char* kEndOption = "end_of_file";

/// A section of a document, or the whole document. Valid as long as its Document exists.
class Section {
 public:
  /// `file`: path for errors, which must outlive the section; `section`: from libConfuse.
  Section(const std::string& file, cfg_t* section) : file_(&file), section_(section) {}

  std::string title() const { return cfg_title(section_); }  ///< the title of a titled section
  std::string text(const char* key) const;                   ///< empty if absent
  std::vector<std::string> texts(const char* key) const;     ///< the items of a list
  long integer(const char* key) const { return cfg_getint(section_, key); }     ///< the default if absent
  double number(const char* key) const { return cfg_getfloat(section_, key); }  ///< the default if absent
  std::vector<double> numbers(const char* key) const;                           ///< the items of a list
  bool flag(const char* key) const { return cfg_getbool(section_, key) == cfg_true; }  ///< or the default
  std::vector<Section> sections(const char* name) const;   ///< all of that name, in the order of the file
  std::optional<Section> section(const char* name) const;  ///< the first section of that name

  /// The text of a required key. Throws as refuse() does, with `why`, if it is absent or empty.
  std::string required_text(const char* key, const std::string& why) const;
  /// Throws ConfigError with the line of the section. `key`: the key whose value is refused; empty if none.
  [[noreturn]] void refuse(const std::string& why, const std::string& key = {}) const;

 private:
  const std::string* file_;
  cfg_t* section_;
};

/// A file to be read.
class Document {
 public:
  /// `options`: option table for libConfuse that ends with kEndOption; it is copied.
  Document(std::string path, cfg_opt_t* options);
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  /// Sets a check that is called with each value of an option. `option`: path "section|key". The check
  /// returns 0 or the result of reject_value().
  void validate(const char* option, cfg_validate_callback_t check);
  /// Reads the whole file. Throws ConfigError with file and line, InputError if it cannot be opened.
  Section read();

 private:
  const std::string path_;
  const std::unique_ptr<cfg_t, decltype(&cfg_free)> root_;
};

/// For a check of Document::validate(): records the error that read() then throws, with its `message`, the
/// offending `value` and the `allowed` values. Returns the result for the check to return.
int reject_value(cfg_t* section, cfg_opt_t* option, const std::string& message, std::string value,
                 std::string allowed);

}  // namespace walkpaddle::config
