#pragma once

#include <apricothook/model/apricothook_identifiers.hpp>
#include <apricothook/model/apricothook_refusal.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Apricothook {

struct Header
{
    std::string name;
    std::string value;
    auto operator<=>(const Header &) const = default;
};

/** Status and headers of an answer. */
struct AnswerHead
{
    int status = 200;
    std::vector<Header> headers;
    auto operator<=>(const AnswerHead &) const = default;
};

/** A complete answer, kept to replay it to resends of the request. */
struct KeptAnswer
{
    AnswerHead head;
    std::string body;
    auto operator<=>(const KeptAnswer &) const = default;
};

/**
 * Passes an answer from a writer (target adapter or decision core) to a reader (caller adapter) in
 * another thread. Buffers at most `Capacity` unread bytes, so that a slow caller throttles its
 * target instead of filling the memory.
 *
 * The first call of refuse(), finish() or abort() ends the stream; later calls are ignored.
 * Callbacks run in the other side's thread, without the lock, and may only wake their own thread.
 */
class AnswerStream
{
public:
    static constexpr std::size_t Capacity = 64UL * 1024;
    enum class State {
        Waiting,  ///< The head has not been written.
        Open,     ///< The head has been written; the body may be incomplete.
        Finished, ///< The complete answer has been written.
        Refused,
        Aborted, ///< The answer can't be completed; the caller must get a truncated answer.
    };

    // ---- Writer.

    /** Writes the head. False if one was written before or the stream has ended. */
    bool begin(AnswerHead head);
    /** Buffers all bytes. False if the writer should pause until the writable callback. */
    bool append(std::string_view bytes);
    void finish();
    void abort();
    /** Refuses if no head was written; aborts otherwise, as the status was already sent. */
    void refuse(const Refusal &refusal);
    /** Retains a copy of the answer up to `limit` bytes. Must be called before begin(). */
    void retain(std::size_t limit);
    /** The retained answer; null if the answer is too long or hasn't finished. */
    std::shared_ptr<const KeptAnswer> retained() const;
    /** Whether the reader has abandoned the answer; the writer should then cancel its work. */
    bool isAbandoned() const;
    void setWritableCallback(std::function<void()> callback);

    // ---- Reader.

    State state() const;
    std::optional<AnswerHead> head() const;
    std::optional<Refusal> refusal() const;
    /** Reads up to `size` bytes; 0 if none is available (state() tells whether more may follow). */
    std::size_t read(char *to, std::size_t size);
    /** Whether bytes are available or the stream has ended. */
    bool isReadable() const;
    void abandon();
    void setReadableCallback(std::function<void()> callback);

    // ---- Both.

    /** Key that is sent in the answer's Apricothook-Request header. */
    void setKey(const RequestKey &key);
    RequestKey key() const;
    /** Body bytes written so far: the offset at which a broken stream is resumed. */
    std::size_t bytesWritten() const;

private:
    bool hasEnded() const;
    void end(State state);

    mutable std::mutex m_mutex;
    State m_state = State::Waiting;
    AnswerHead m_head;
    std::optional<Refusal> m_refusal;
    std::string m_buffer;
    std::size_t m_readOffset = 0;
    std::size_t m_bytesWritten = 0;
    bool m_isAbandoned = false;
    bool m_isPaused = false;
    std::size_t m_retainLimit = 0;
    bool m_isRetaining = false;
    std::string m_retained;
    RequestKey m_key;
    std::function<void()> m_onReadable;
    std::function<void()> m_onWritable;
};

} // namespace Apricothook
