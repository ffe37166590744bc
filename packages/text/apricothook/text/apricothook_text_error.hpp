#pragma once

#include <compare>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

/** Which rule a text or settings file breaks; docs/TEXT.md tells each with an example. */
enum class TextRule {
    TooLarge,             ///< More than MaximumTextBytes.
    Syntax,               ///< Not JSON with comments.
    DuplicateKey,         ///< A key stands twice in one object.
    TooDeep,              ///< Nested deeper than any text needs.
    TooManyErrors,        ///< The rest of the errors was left out.
    UnknownKey,           ///< A key that no section has.
    MissingKey,           ///< A key without a default is missing.
    WrongType,            ///< A value of another JSON type than the key takes.
    OutOfBounds,          ///< A number below or above its bounds.
    UnknownWord,          ///< A string that isn't one of the key's words.
    MalformedName,        ///< Not 1 to 64 of letters, digits, '.', '_' and '-'.
    DuplicateName,        ///< A name that stands for two things of one kind.
    UnknownReference,     ///< A name of something that the text doesn't have.
    CircularDependency,   ///< Services that depend on each other in a circle.
    MalformedEndpoint,    ///< Not an IP address in numbers with a port.
    DuplicateEndpoint,    ///< One address for two things.
    MalformedKeyHash,     ///< Not 64 hex digits.
    SharedKeyHash,        ///< One key hash twice, so that a token names no one customer.
    EmptyList,            ///< A list that needs at least one entry has none.
    EngineWithoutModel,   ///< A target of an engine service that serves no model.
    EngineKeyOnPlain,     ///< A key for engines at a target of a plain service.
    LikeOtherKind,        ///< A target of an engine service like one of a plain service, or back.
    PatienceBeyondWindow, ///< A class waits longer than keys are remembered.
    RegionWithoutDaemon,  ///< A region in use that no daemon of the roster is in.
    MalformedFileName,    ///< A file name that is empty or holds control characters.
};

/** The rule's name in kebab-case, such as "unknown-key"; stable from release to release. */
std::string_view nameOf(TextRule rule);

/** One thing that is wrong with a text, and where. */
struct TextError
{
    /** Line of the value that is wrong, counted from 1. */
    int line = 1;
    /** Such as "targets[3].slots"; "$" for the text as a whole. */
    std::string path;
    TextRule rule = TextRule::Syntax;
    /** For people; what is wrong and what would be right. Holds printable ASCII only. */
    std::string detail;
    auto operator<=>(const TextError &) const = default;
};

/** Writes each error as one line "FILE:LINE: PATH: RULE: DETAIL". */
void printTextErrors(std::ostream &stream, std::string_view fileName,
                     const std::vector<TextError> &errors);

} // namespace Apricothook
