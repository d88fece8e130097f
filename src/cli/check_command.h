/// \file
/// The command `check`, which validates an operator's file.
#pragma once

#include <string>

namespace walkpaddle::cli {

/// Reads the file and the change documents in the folder that it names. Prints for each change whether it may
/// begin. Throws InputError at the first error.
void check_operator_file(const std::string& path);

}  // namespace walkpaddle::cli
