#pragma once

#include <apricothook/target/internal/apricothook_activity.hpp>
#include <apricothook/target/internal/apricothook_http_exchange.hpp>
#include <apricothook/target/internal/apricothook_loop_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace Apricothook {

/** What a short call gave; status 0 when there was no whole answer in time. */
struct CallAnswer
{
    int status = 0;
    std::string body;
};

/** A short request to an engine: a poll, an order, a cancel. Sent at most once, never resumed. */
class EngineCall : public Activity, private HttpExchangeOwner
{
public:
    using Answered = std::function<void(const CallAnswer &)>;

    /** `notAfter`: nothing is sent later. `answered` is called once, at the end. */
    EngineCall(LoopContext &context, HttpRequest request, std::optional<Instant> notAfter,
               Answered answered);

    void onTurn(Instant now) override;
    void cancel() override { end(CallAnswer {}); }
    bool hasEnded() const override { return m_hasEnded; }

private:
    bool mayBegin() override;
    void onSent() override { }
    void onHead(const AnswerHead &head) override { m_answer.status = head.status; }
    BodyVerdict onBody(std::string_view bytes) override;
    void onEnded(const ExchangeEnd &end) override;
    void end(const CallAnswer &answer);

    LoopContext &m_context;
    Instant m_deadline;
    std::optional<Instant> m_notAfter;
    Answered m_answered;
    CallAnswer m_answer;
    bool m_hasEnded = false;
    std::unique_ptr<HttpExchange> m_exchange;
};

} // namespace Apricothook
