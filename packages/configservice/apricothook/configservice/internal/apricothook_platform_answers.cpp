#include <apricothook/configservice/internal/apricothook_platform_answers.hpp>

#include <apricothook/configservice/apricothook_text_pieces.hpp>
#include <apricothook/configservice/internal/apricothook_json_document.hpp>

namespace Apricothook {

std::optional<PlatformText> readPlatformText(std::string_view body)
{
    const std::optional<Json::Value> value = readJsonObject(body);
    if (!value || !(*value)["revision"].isUInt64() || !(*value)["text"].isString())
        return std::nullopt;
    PlatformText answer {Generation((*value)["revision"].asUInt64()), (*value)["text"].asString()};
    if (answer.generation.value() == 0 || answer.text.size() > MaximumTextBytes)
        return std::nullopt;
    return answer;
}

std::optional<VmList> readPlatformVms(std::string_view body)
{
    const std::optional<Json::Value> value = readJsonObject(body);
    if (!value || !(*value)["revision"].isUInt64() || !(*value)["vms"].isArray())
        return std::nullopt;
    VmList list;
    list.revision = (*value)["revision"].asUInt64();
    for (const Json::Value &vm : (*value)["vms"]) {
        if (!vm.isObject() || !vm["id"].isString() || !vm["state"].isString())
            return std::nullopt;
        if (vm["state"].asString() == "leaving")
            list.leaving.emplace_back(vm["id"].asString());
    }
    return list;
}

} // namespace Apricothook
