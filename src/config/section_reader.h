/// \file
/// Reads the sections of the operator's file and of the operators' documents, by libConfuse. Errors are
/// ConfigError with file and line; of several the first counts. A file is read by one thread at a time.
#pragma once

#include <confuse.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace walkpaddle::config {

/// The option that every document's list ends with, as CFG_INT(kEndOption, 0, CFGF_NONE): by it a file that
/// ends within a section is recognized.
constexpr const char* kEndOption = "end_of_file";

/// One section of a document, or the document itself. Valid as long as its Document.
class Section {
 public:
  /// `section`: of the library; `file`: its path, for errors.
  Section(const std::string& file, cfg_t* section) : file_(&file), section_(section) {}

  std::string title() const { return cfg_title(section_); }                     ///< of a titled section
  std::string text(const char* key) const;                                      ///< empty where it is absent
  std::vector<std::string> texts(const char* key) const;                        ///< of a list
  long integer(const char* key) const { return cfg_getint(section_, key); }     ///< or the option's default
  double number(const char* key) const { return cfg_getfloat(section_, key); }  ///< or the option's default
  std::vector<double> numbers(const char* key) const;                           ///< of a list
  bool flag(const char* key) const { return cfg_getbool(section_, key) == cfg_true; }  ///< or the default
  std::vector<Section> sections(const char* name) const;   ///< all of that name, in the file's order
  std::optional<Section> section(const char* name) const;  ///< the first of that name

  /// The text, which has to be there: else refuses with `why`.
  std::string required_text(const char* key, const std::string& why) const;
  /// Throws ConfigError at the section's line. `key`: whose value is refused, if it is one key's.
  [[noreturn]] void refuse(const std::string& why, const std::string& key = {}) const;

 private:
  const std::string* file_;
  cfg_t* section_;
};

/// One file that is to be read.
class Document {
 public:
  /// `options`: of the library, ending with kEndOption; they are copied.
  Document(std::string path, cfg_opt_t* options);
  Document(const Document&) = delete;
  Document& operator=(const Document&) = delete;

  /// `check` is called with each value of the option, whose path is "section|key"; it returns 0 or
  /// reject_value().
  void validate(const char* option, cfg_validate_callback_t check);
  /// The whole file. ConfigError with file and line.
  Section read();

 private:
  const std::string path_;
  const std::unique_ptr<cfg_t, decltype(&cfg_free)> root_;
};

/// For a check of Document::validate(): keeps the error that read() then throws. `message` is its text;
/// `value` and `allowed` go with it. Gives what the check is to return.
int reject_value(cfg_t* section, cfg_opt_t* option, const std::string& message, std::string value,
                 std::string allowed);

}  // namespace walkpaddle::config
