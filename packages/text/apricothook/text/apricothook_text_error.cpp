#include <apricothook/text/apricothook_text_error.hpp>

#include <ostream>

namespace Apricothook {

std::string_view nameOf(TextRule rule)
{
    switch (rule) {
    case TextRule::TooLarge:
        return "too-large";
    case TextRule::Syntax:
        return "syntax";
    case TextRule::DuplicateKey:
        return "duplicate-key";
    case TextRule::TooDeep:
        return "too-deep";
    case TextRule::TooManyErrors:
        return "too-many-errors";
    case TextRule::UnknownKey:
        return "unknown-key";
    case TextRule::MissingKey:
        return "missing-key";
    case TextRule::WrongType:
        return "wrong-type";
    case TextRule::OutOfBounds:
        return "out-of-bounds";
    case TextRule::UnknownWord:
        return "unknown-word";
    case TextRule::MalformedName:
        return "malformed-name";
    case TextRule::DuplicateName:
        return "duplicate-name";
    case TextRule::UnknownReference:
        return "unknown-reference";
    case TextRule::CircularDependency:
        return "circular-dependency";
    case TextRule::MalformedEndpoint:
        return "malformed-endpoint";
    case TextRule::DuplicateEndpoint:
        return "duplicate-endpoint";
    case TextRule::MalformedKeyHash:
        return "malformed-key-hash";
    case TextRule::SharedKeyHash:
        return "shared-key-hash";
    case TextRule::EmptyList:
        return "empty-list";
    case TextRule::EngineWithoutModel:
        return "engine-without-model";
    case TextRule::EngineKeyOnPlain:
        return "engine-key-on-plain";
    case TextRule::LikeOtherKind:
        return "like-other-kind";
    case TextRule::PatienceBeyondWindow:
        return "patience-beyond-window";
    case TextRule::RegionWithoutDaemon:
        return "region-without-daemon";
    case TextRule::MalformedFileName:
        return "malformed-file-name";
    }
    return "unknown-rule";
}

void printTextErrors(std::ostream &stream, std::string_view fileName,
                     const std::vector<TextError> &errors)
{
    for (const TextError &error : errors) {
        stream << fileName << ':' << error.line << ": " << error.path << ": " << nameOf(error.rule)
               << ": " << error.detail << '\n';
    }
}

} // namespace Apricothook
