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

/** A whole answer as it is kept for those who send the request again. */
struct KeptAnswer
{
    AnswerHead head;
    std::string body;
    auto operator<=>(const KeptAnswer &) const = default;
};

/**
 * Carries one answer from a writer (target adapter or decision core) to a reader (caller adapter),
 * each in a thread of its own. It holds at most `Capacity` bytes that the reader hasn't taken, so
 * that a slow caller slows its target down and never fills the memory.
 *
 * Exactly one of refuse(), finish() and cut() ends it; calls after that are ignored. The callbacks
 * run in the thread of the other side, outside the lock, and must only wake their own thread.
 */
class AnswerStream
{
public:
    static constexpr std::size_t Capacity = 64UL * 1024;
    enum class State {
        Waiting,  ///< No head yet.
        Open,     ///< The head is known; the body may be incomplete.
        Finished, ///< The whole answer was written.
        Refused,
        Cut, ///< The answer can't be completed; the caller must see a broken answer.
    };

    // ---- Writer.

    /** False when a head was written before or the stream has ended. */
    bool begin(AnswerHead head);
    /** Takes all bytes; false when the writer should pause until the room callback. */
    bool append(std::string_view bytes);
    void finish();
    void cut();
    /** Refuses when no head was written; cuts otherwise, as the status can't be taken back. */
    void refuse(const Refusal &refusal);
    /** Keeps a copy of the answer while it is no longer than `limit` bytes; call before begin(). */
    void retain(std::size_t limit);
    /** The retained answer once it finished; null when it was too long or isn't finished. */
    std::shared_ptr<const KeptAnswer> retained() const;
    /** True once the reader has gone; the writer should cancel its work. */
    bool isAbandoned() const;
    void setRoomCallback(std::function<void()> callback);

    // ---- Reader.

    State state() const;
    std::optional<AnswerHead> head() const;
    std::optional<Refusal> refusal() const;
    /** Takes up to `size` bytes; 0 when none is there (see state() for whether more can come). */
    std::size_t read(char *to, std::size_t size);
    /** True when a read would give bytes or the stream has ended. */
    bool isReadable() const;
    void abandon();
    void setReadableCallback(std::function<void()> callback);

    // ---- Both.

    /** The key that the answer carries in Apricothook-Request. */
    void setKey(const RequestKey &key);
    RequestKey key() const;
    /** Body bytes written so far; the offset from which a broken stream is resumed. */
    std::size_t written() const;

private:
    bool hasEnded() const;
    void end(State state);

    mutable std::mutex m_mutex;
    State m_state = State::Waiting;
    AnswerHead m_head;
    std::optional<Refusal> m_refusal;
    std::string m_buffer;
    std::size_t m_taken = 0;
    std::size_t m_written = 0;
    bool m_isAbandoned = false;
    bool m_isPaused = false;
    std::size_t m_retainLimit = 0;
    bool m_isRetaining = false;
    std::string m_retained;
    RequestKey m_key;
    std::function<void()> m_onReadable;
    std::function<void()> m_onRoom;
};

} // namespace Apricothook
