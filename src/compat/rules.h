/// \file
/// The rules that a schema cannot say, JSON: {"release": NAME, "channels": {NAME: {"version", "root",
/// "largest", "unknown"}}, "fields": {"FILE.Struct.field": {...}}, "given_up": {RELEASE: REASON}}. Of a
/// field:
///
/// | key | meaning |
/// | --- | --- |
/// | unit | what a number counts ("s", "ms", "bytes"); a decision reads it so |
/// | least, most | outside them a reader refuses the message as spoilt |
/// | values | a number that stands for one of so many words, from 0 |
/// | unknown | what a reader does with a word past `values`: "refused" (also if nothing is said), "passed
/// over" | | absent | "must": a reader refuses a message without it; else it may be absent | | retired |
/// nobody writes it any more, its number is not to be taken again | | was | the name that it had before | |
/// alters | another field whose meaning depends on this one: who does not read this one misreads that one |
/// | gated | it is written only once every live router reads its channel in this version |
/// | plain | no decision uses it |
#pragma once

#include <string_view>

#include "compat/release.h"

namespace walkpaddle::compat {

/// Adds what the rules say to a release that has its structs. Throws InputError with what is wrong.
void read_rules(std::string_view text, Release& release);

}  // namespace walkpaddle::compat
