#pragma once

#include <json/value.h>

#include <iosfwd>

namespace Apricothook {

/**
 * Writes an answer for people: single values as "name: value" lines, then each list of objects as a
 * table. Shows what is there: a daemon of another release may leave out keys or have more.
 */
void printAnswer(std::ostream &stream, const Json::Value &answer);

} // namespace Apricothook
