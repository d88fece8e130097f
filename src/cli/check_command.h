/// \file
/// The command that checks an operator's file.
#pragma once

#include <string>

namespace walkpaddle::cli {

/// Reads the file and the documents in the folder that it names, and prints for each change whether it may
/// begin. Throws InputError with what is wrong.
void check_operator_file(const std::string& path);

}  // namespace walkpaddle::cli
