#include <apricothook/configservice/internal/apricothook_text_delivery.hpp>

#include <apricothook/model/apricothook_hashing.hpp>

#include <memory>
#include <utility>

namespace Apricothook {

void deliverText(Generation generation, std::string text, const TextChecker &checker,
                 CoreInbox &core)
{
    const std::uint64_t textHash = hashOf(text);
    auto checked = checker.check(text);
    if (!checked) {
        const TextFault &fault = checked.error();
        core.post(ConfigurationRejected {generation, textHash, fault.errors, fault.firstError});
        return;
    }
    auto configuration = std::make_shared<const Configuration>(
        Configuration {generation, textHash, std::move(checked.value())});
    core.post(ConfigurationReceived {std::move(configuration),
                                     std::make_shared<const std::string>(std::move(text))});
}

} // namespace Apricothook
