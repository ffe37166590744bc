#include <apricothook/target/internal/apricothook_engine_call.hpp>

#include <apricothook/target/internal/apricothook_engine_documents.hpp>

#include <utility>

namespace Apricothook {

EngineCall::EngineCall(LoopContext &context, HttpRequest request, std::optional<Instant> notAfter,
                       Answered answered)
    : m_context(context)
    , m_deadline(context.now() + context.options().callDeadline)
    , m_notAfter(notAfter)
    , m_answered(std::move(answered))
{
    HttpExchangeOwner &self = *this;
    m_exchange = std::make_unique<HttpExchange>(context.multi(), std::move(request), self);
}

void EngineCall::onTurn(Instant now)
{
    if (now >= m_deadline)
        cancel();
}

bool EngineCall::mayBegin()
{
    return !m_notAfter || m_context.now() <= *m_notAfter;
}

BodyVerdict EngineCall::onBody(std::string_view bytes)
{
    if (m_answer.body.size() + bytes.size() > MaximumDocumentBytes)
        return BodyVerdict::Abort;
    m_answer.body.append(bytes);
    return BodyVerdict::Taken;
}

void EngineCall::onEnded(const ExchangeEnd &exchangeEnd)
{
    end(exchangeEnd.isWhole ? m_answer : CallAnswer {});
}

void EngineCall::end(const CallAnswer &answer)
{
    if (std::exchange(m_hasEnded, true))
        return;
    m_exchange.reset();
    m_answered(answer);
}

} // namespace Apricothook
