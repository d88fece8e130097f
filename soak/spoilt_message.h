// Messages as a faulty line or peer delivers them: with a wrong number of strings, a wrong length of a
// string, noise in their fields, or noise in front. The strings themselves stay as they are, so that a
// receiver that takes such a message for a sound one can be told from what was sent.
#pragma once

#include <cstddef>
#include <random>
#include <string>

namespace walkpaddle::soak {

// `message`: a whole array of strings. `fields_index`: which of them is a list of fields.
std::string spoil_message(const std::string& message, std::size_t fields_index, std::mt19937& random);

}  // namespace walkpaddle::soak
