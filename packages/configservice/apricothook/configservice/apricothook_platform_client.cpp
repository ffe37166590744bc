#include <apricothook/configservice/apricothook_platform_client.hpp>

#include <apricothook/configservice/internal/apricothook_answer_fetcher.hpp>
#include <apricothook/configservice/internal/apricothook_text_fetcher.hpp>
#include <apricothook/configservice/internal/apricothook_text_watch.hpp>
#include <apricothook/configservice/internal/apricothook_vm_watch.hpp>

#include <utility>

namespace Apricothook {

PlatformClient::PlatformClient(PlatformSurroundings surroundings, const Endpoint &platform,
                               std::uint64_t seed, PlatformPaceLimits limits)
    : m_surroundings(surroundings)
{
    const std::string url = "http://" + platform.text();
    m_textWatch = std::make_unique<TextWatch>(surroundings, url, seed, limits, m_stop);
    m_vmWatch = std::make_unique<VmWatch>(surroundings, url, seed + 1, limits, m_stop);
    m_textFetcher = std::make_unique<TextFetcher>(surroundings, m_stop);
    m_answerFetcher = std::make_unique<AnswerFetcher>(surroundings, m_stop);
}

PlatformClient::~PlatformClient()
{
    stop();
}

void PlatformClient::start()
{
    m_textWatch->duty().start();
    m_vmWatch->duty().start();
    m_textFetcher->duty().start();
    m_answerFetcher->duty().start();
}

void PlatformClient::stop()
{
    m_stop = true;
    m_textWatch->duty().stop();
    m_vmWatch->duty().stop();
    m_textFetcher->duty().stop();
    m_answerFetcher->duty().stop();
}

void PlatformClient::setWatching(bool isWatching, Generation after)
{
    m_textWatch->setWatching(isWatching, after);
    m_vmWatch->setWatching(isWatching);
}

void PlatformClient::readOnce(Generation after)
{
    m_textWatch->readOnce(after);
}

void PlatformClient::fetchText(const Endpoint &peer, Generation generation, std::uint64_t textHash)
{
    m_textFetcher->fetch(peer, generation, textHash);
}

void PlatformClient::fetchAnswer(const Endpoint &peer, const RequestKey &key, ExchangeId exchange)
{
    m_answerFetcher->fetch(peer, key, exchange);
}

void PlatformClient::offerText(Generation generation, std::uint64_t textHash,
                               std::shared_ptr<const std::string> text)
{
    m_surroundings.shelf.put(generation, textHash, std::move(text));
}

} // namespace Apricothook
