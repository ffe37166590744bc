#pragma once

#include <apricothook/ports/apricothook_answer_stream.hpp>
#include <apricothook/ports/apricothook_bounded_queue.hpp>
#include <apricothook/ports/apricothook_core_inbox.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>

namespace Apricothook {

/** One JSON-RPC request of an operator's command line. */
struct QueuedOperatorCall
{
    std::string body;
    std::shared_ptr<AnswerStream> answer;
};

/**
 * Answers operators in a thread of its own, as a question to the core is waited for and no
 * caller's connection may be held up by that. The codec is libjsonrpccpp's; only its transport is
 * replaced, by the stream that every other answer goes through.
 */
class OperatorService
{
public:
    explicit OperatorService(CoreInbox &inbox);
    ~OperatorService();

    void start();
    void stop();
    /** False when too many calls wait. */
    bool tryCall(QueuedOperatorCall call);

private:
    void run();

    CoreInbox &m_inbox;
    BoundedQueue<QueuedOperatorCall> m_calls;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Apricothook
