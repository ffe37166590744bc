#include <apricothook/requests/internal/apricothook_inquiry_step.hpp>

#include <apricothook/requests/internal/apricothook_flow_context.hpp>
#include <apricothook/requests/internal/apricothook_resend_delay.hpp>

#include <algorithm>

namespace Apricothook {

namespace {

constexpr Duration FetchPatience = std::chrono::seconds(2);

InquiryStep::Progress progressOf(KeyState state)
{
    switch (state) {
    case KeyState::NotSeen:
    case KeyState::NotRun:
        return InquiryStep::Progress::NotRun;
    case KeyState::Running:
        return InquiryStep::Progress::Running;
    case KeyState::Answered:
        return InquiryStep::Progress::Answered;
    case KeyState::Conflict:
        return InquiryStep::Progress::Conflict;
    case KeyState::LostMemory:
        return InquiryStep::Progress::Forgotten;
    case KeyState::Unknown:
        break;
    }
    return InquiryStep::Progress::Unknown;
}

} // namespace

bool InquiryStep::ask(RequestLife &exchange, Instant now, Outbox &out)
{
    const auto homes = m_context.ports.homes.homesOf(exchange.key, exchange.customer, now);
    if (!homes)
        return false;
    const std::uint64_t sequence = exchange.request.exchange.value();
    exchange.homes.clear();
    for (const MemberId &home : homes.value()) {
        exchange.homes.push_back({home, false, false});
        out.push_back({home,
                       KeyQuery {sequence, exchange.key, exchange.customer,
                                 exchange.request.profile.fingerprint}});
    }
    ++exchange.sends;
    const Instant due = now + resendDelay(exchange.sends);
    m_context.due.set(exchange.request.exchange, std::min(due, exchange.deadline));
    return true;
}

InquiryStep::Advance InquiryStep::replied(RequestLife &exchange, const MemberId &from,
                                          const KeyQueryReply &reply)
{
    const auto home = std::ranges::find(exchange.homes, from, &HomeAnswer::home);
    if (home == exchange.homes.end() || reply.key != exchange.key)
        return {};
    home->isAnswered = true;
    const Progress progress = progressOf(reply.state);
    if (progress == Progress::NotRun) {
        // "Not run" needs the word of every home; one that granted it tells otherwise.
        const bool isComplete = std::ranges::all_of(exchange.homes, &HomeAnswer::isAnswered);
        return {isComplete ? Progress::NotRun : Progress::Waiting, {}};
    }
    exchange.holder = reply.holder;
    return {progress, reply.target};
}

bool InquiryStep::giveKept(RequestLife &exchange, Instant now)
{
    const std::shared_ptr<const KeptAnswer> kept = m_context.ports.answers.find(exchange.key, now);
    if (!kept)
        return false;
    replay(*kept, *exchange.request.answer);
    return true;
}

bool InquiryStep::fetch(RequestLife &exchange, Instant now)
{
    const std::optional<MemberUpdate> holder = m_context.ports.members.find(exchange.holder.member);
    if (!holder || holder->instance != exchange.holder
        || exchange.holder == m_context.ports.members.self())
        return false;
    m_context.ports.platform.fetchAnswer(holder->peerAddress, exchange.key,
                                         exchange.request.exchange);
    m_context.due.set(exchange.request.exchange, std::min(now + FetchPatience, exchange.deadline));
    return true;
}

void replay(const KeptAnswer &kept, AnswerStream &stream)
{
    if (!stream.begin(kept.head))
        return;
    stream.append(kept.body);
    stream.finish();
}

} // namespace Apricothook
