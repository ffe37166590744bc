#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <algorithm>
#include <cstring>

namespace Apricothook {

namespace {

void invokeIfSet(const std::function<void()> &callback)
{
    if (callback)
        callback();
}

} // namespace

bool AnswerStream::begin(AnswerHead head)
{
    std::function<void()> notify;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != State::Waiting)
            return false;
        m_head = std::move(head);
        m_state = State::Open;
        m_isRetaining = m_retainLimit > 0;
        notify = m_onReadable;
    }
    invokeIfSet(notify);
    return true;
}

bool AnswerStream::append(std::string_view bytes)
{
    std::function<void()> notify;
    bool hasCapacity = true;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != State::Open)
            return true;
        m_bytesWritten += bytes.size();
        m_isRetaining = m_isRetaining && m_bytesWritten <= m_retainLimit;
        if (m_isRetaining)
            m_retained.append(bytes);
        else
            m_retained = std::string();
        if (!m_isAbandoned)
            m_buffer.append(bytes);
        hasCapacity = m_buffer.size() - m_readOffset < Capacity;
        m_isPaused = !hasCapacity;
        notify = m_onReadable;
    }
    invokeIfSet(notify);
    return hasCapacity;
}

void AnswerStream::finish()
{
    end(State::Finished);
}

void AnswerStream::abort()
{
    end(State::Aborted);
}

void AnswerStream::refuse(const Refusal &refusal)
{
    bool isTooLate = false;
    {
        const std::lock_guard lock(m_mutex);
        isTooLate = m_state != State::Waiting;
        if (!isTooLate)
            m_refusal = refusal;
    }
    end(isTooLate ? State::Aborted : State::Refused);
}

void AnswerStream::retain(std::size_t limit)
{
    const std::lock_guard lock(m_mutex);
    m_retainLimit = limit;
}

std::shared_ptr<const KeptAnswer> AnswerStream::retained() const
{
    const std::lock_guard lock(m_mutex);
    if (m_state != State::Finished || !m_isRetaining)
        return nullptr;
    return std::make_shared<const KeptAnswer>(KeptAnswer {m_head, m_retained});
}

bool AnswerStream::isAbandoned() const
{
    const std::lock_guard lock(m_mutex);
    return m_isAbandoned;
}

void AnswerStream::setWritableCallback(std::function<void()> callback)
{
    const std::lock_guard lock(m_mutex);
    m_onWritable = std::move(callback);
}

AnswerStream::State AnswerStream::state() const
{
    const std::lock_guard lock(m_mutex);
    return m_state;
}

std::optional<AnswerHead> AnswerStream::head() const
{
    const std::lock_guard lock(m_mutex);
    if (m_state == State::Waiting || m_state == State::Refused)
        return std::nullopt;
    return m_head;
}

std::optional<Refusal> AnswerStream::refusal() const
{
    const std::lock_guard lock(m_mutex);
    return m_refusal;
}

std::size_t AnswerStream::read(char *to, std::size_t size)
{
    std::function<void()> notify;
    std::size_t count = 0;
    {
        const std::lock_guard lock(m_mutex);
        count = std::min(size, m_buffer.size() - m_readOffset);
        std::memcpy(to, m_buffer.data() + m_readOffset, count);
        m_readOffset += count;
        if (m_readOffset == m_buffer.size()) {
            m_buffer.clear();
            m_readOffset = 0;
        } else if (m_readOffset >= Capacity) {
            m_buffer.erase(0, m_readOffset);
            m_readOffset = 0;
        }
        // The writer resumes when the buffer is half empty. Waking it earlier would make it
        // pause and resume with every read of a slow reader.
        if (m_isPaused && m_buffer.size() - m_readOffset <= Capacity / 2) {
            m_isPaused = false;
            notify = m_onWritable;
        }
    }
    invokeIfSet(notify);
    return count;
}

bool AnswerStream::isReadable() const
{
    const std::lock_guard lock(m_mutex);
    return m_readOffset < m_buffer.size() || hasEnded();
}

void AnswerStream::abandon()
{
    std::function<void()> notify;
    {
        const std::lock_guard lock(m_mutex);
        m_isAbandoned = true;
        m_buffer.clear();
        m_readOffset = 0;
        m_isPaused = false;
        notify = m_onWritable;
        m_onReadable = nullptr;
    }
    invokeIfSet(notify);
}

void AnswerStream::setReadableCallback(std::function<void()> callback)
{
    const std::lock_guard lock(m_mutex);
    m_onReadable = std::move(callback);
}

void AnswerStream::setKey(const RequestKey &key)
{
    const std::lock_guard lock(m_mutex);
    m_key = key;
}

RequestKey AnswerStream::key() const
{
    const std::lock_guard lock(m_mutex);
    return m_key;
}

std::size_t AnswerStream::bytesWritten() const
{
    const std::lock_guard lock(m_mutex);
    return m_bytesWritten;
}

bool AnswerStream::hasEnded() const
{
    return m_state != State::Waiting && m_state != State::Open;
}

void AnswerStream::end(State state)
{
    std::function<void()> notify;
    {
        const std::lock_guard lock(m_mutex);
        if (hasEnded())
            return;
        m_state = state;
        notify = m_onReadable;
    }
    invokeIfSet(notify);
}

} // namespace Apricothook
