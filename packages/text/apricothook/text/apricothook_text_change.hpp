#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>

#include <compare>
#include <string>
#include <vector>

namespace Apricothook {

/** Which section of the fleet text a change is in. */
enum class TextSection { Policy, DataCentre, Roster, Model, Service, Target, Customer, Class };

enum class ChangeKind { Added, Removed, Changed };

/** What a change brings about besides being in force. */
enum class ChangeEffect {
    Drains,        ///< The target gets no new work and ends what it runs.
    Loads,         ///< An engine loads a model or a version from the weight store.
    Unloads,       ///< An engine gives a model up.
    MovesHomes,    ///< Keys without a ticket get another home.
    ChangesLimits, ///< A customer's limits or share, or a bound on every daemon.
    ChangesTiers,  ///< Which requests are shed first.
    ChangesTrust,  ///< Which bearer tokens name a customer.
};

/** One key whose value changes; values as they stand in the text. */
struct KeyChange
{
    std::string key;
    std::string before;
    std::string after;
    auto operator<=>(const KeyChange &) const = default;
};

/** A model that a target has to load once the text is in force. */
struct ModelLoad
{
    TargetId target;
    ModelId model;
    std::uint64_t weightBytes = 0;
    auto operator<=>(const ModelLoad &) const = default;
};

/** What becomes of one thing of the text. */
struct TextChange
{
    TextSection section = TextSection::Policy;
    ChangeKind kind = ChangeKind::Changed;
    /** Its name; empty for the policy. */
    std::string subject;
    /** Of a changed thing, in the order of docs/TEXT.md. */
    std::vector<KeyChange> keys;
    /** Without duplicates, in the order of the enumeration. */
    std::vector<ChangeEffect> effects;
    std::vector<ModelLoad> loads;
    auto operator<=>(const TextChange &) const = default;
};

/** One line in plain words, such as "target t1: slots 8 -> 16". */
std::string describe(const TextChange &change);

} // namespace Apricothook
