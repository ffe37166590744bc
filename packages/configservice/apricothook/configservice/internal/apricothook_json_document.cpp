#include <apricothook/configservice/internal/apricothook_json_document.hpp>

#include <json/reader.h>
#include <json/writer.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <memory>

namespace Apricothook {

namespace {

constexpr std::size_t HexDigits = 16;
constexpr int HexBase = 16;

} // namespace

std::optional<Json::Value> readJsonObject(std::string_view text)
{
    Json::CharReaderBuilder builder;
    Json::CharReaderBuilder::strictMode(&builder.settings_);
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    try {
        if (!reader->parse(text.data(), text.data() + text.size(), &value, nullptr))
            return std::nullopt;
    } catch (const Json::Exception &) {
        // The library throws when a document is nested too deeply.
        return std::nullopt;
    }
    return value.isObject() ? std::optional(std::move(value)) : std::nullopt;
}

std::string writeJson(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

std::string hexOf(std::uint64_t number)
{
    std::array<char, HexDigits + 1> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(number));
    return {digits.data(), HexDigits};
}

std::optional<std::uint64_t> fromHex(const Json::Value &value)
{
    if (!value.isString())
        return std::nullopt;
    const std::string digits = value.asString();
    std::uint64_t number = 0;
    const char *end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, number, HexBase);
    if (digits.size() != HexDigits || error != std::errc() || rest != end)
        return std::nullopt;
    return number;
}

} // namespace Apricothook
