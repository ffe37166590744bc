#include <apricothook/text/apricothook_text_change.hpp>

#include <string_view>

namespace Apricothook {

namespace {

std::string_view wordOf(TextSection section)
{
    switch (section) {
    case TextSection::Policy:
        return "policy";
    case TextSection::DataCentre:
        return "data centre";
    case TextSection::Roster:
        return "daemon";
    case TextSection::Model:
        return "model";
    case TextSection::Service:
        return "service";
    case TextSection::Target:
        return "target";
    case TextSection::Customer:
        return "customer";
    case TextSection::Class:
        return "class";
    }
    return "";
}

std::string_view wordsOf(ChangeEffect effect)
{
    switch (effect) {
    case ChangeEffect::Drains:
        return "drains: gets no new work and ends what it runs";
    case ChangeEffect::Loads:
        return "loads";
    case ChangeEffect::Unloads:
        return "gives models up";
    case ChangeEffect::MovesHomes:
        return "keys without a ticket change homes; both homes grant until the window has passed";
    case ChangeEffect::ChangesLimits:
        return "limits change";
    case ChangeEffect::ChangesTiers:
        return "the order of shedding changes";
    case ChangeEffect::ChangesTrust:
        return "the accepted tokens change";
    }
    return "";
}

std::string describeKeys(const TextChange &change)
{
    std::string told;
    for (const KeyChange &key : change.keys) {
        told += told.empty() ? " " : ", ";
        told += key.key + " " + key.before + " -> " + key.after;
    }
    return told;
}

std::string describeLoads(const TextChange &change)
{
    std::string told;
    for (const ModelLoad &load : change.loads) {
        told += told.empty() ? " " : ", ";
        told += load.model.text() + " at " + load.target.text() + " ("
            + std::to_string(load.weightBytes) + " bytes)";
    }
    return told;
}

std::string describeKind(const TextChange &change)
{
    if (change.kind == ChangeKind::Added)
        return " is added";
    if (change.kind == ChangeKind::Removed)
        return " is removed";
    return describeKeys(change);
}

} // namespace

std::string describe(const TextChange &change)
{
    std::string told(wordOf(change.section));
    if (!change.subject.empty())
        told += " " + change.subject;
    told += (change.kind == ChangeKind::Changed ? ":" : "") + describeKind(change);
    for (const ChangeEffect effect : change.effects) {
        told += "; " + std::string(wordsOf(effect));
        if (effect == ChangeEffect::Loads)
            told += describeLoads(change);
    }
    return told;
}

} // namespace Apricothook
