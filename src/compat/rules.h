/// \file
/// The rules of a release that its schemas cannot express, as JSON: {"release": NAME, "channels": {NAME:
/// {"version", "root", "largest", "unknown"}}, "fields": {"FILE.Struct.field": {...}}, "given_up": {RELEASE:
/// REASON}}. The keys of a field:
///
/// - `unit`: what a number counts ("s", "ms", "bytes"), as decisions interpret it.
/// - `least`, `most`: a reader refuses a message with a value outside these bounds.
/// - `values`: the number of values of a number that is used as an enum, counted from 0.
/// - `unknown`: what a reader does with a value past `values`: "refused" (the default) or "passed over".
/// - `absent`: "must" if a reader refuses a message without the field; otherwise it may be absent.
/// - `retired`: the field is no longer written, and its number must not be reused.
/// - `was`: the field's name in an earlier release.
/// - `alters`: another field, which a reader misreads if it does not know this one.
/// - `gated`: it is written only once every live router reads this version of its channel.
/// - `plain`: no decision uses it.
#pragma once

#include <string_view>

#include "compat/release.h"

namespace walkpaddle::compat {

/// Parses the rules in `text` and adds them to `release`, whose structs are already read. Throws InputError
/// if the rules are invalid or name a field or root that no schema has.
void read_rules(std::string_view text, Release& release);

}  // namespace walkpaddle::compat
