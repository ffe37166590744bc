#include <apricothook/ports/apricothook_answer_stream.hpp>

#include <algorithm>
#include <cstring>

namespace Apricothook {

namespace {

void call(const std::function<void()> &callback)
{
    if (callback)
        callback();
}

} // namespace

bool AnswerStream::begin(AnswerHead head)
{
    std::function<void()> wake;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != State::Waiting)
            return false;
        m_head = std::move(head);
        m_state = State::Open;
        m_isRetaining = m_retainLimit > 0;
        wake = m_onReadable;
    }
    call(wake);
    return true;
}

bool AnswerStream::append(std::string_view bytes)
{
    std::function<void()> wake;
    bool hasRoom = true;
    {
        const std::lock_guard lock(m_mutex);
        if (m_state != State::Open)
            return true;
        m_written += bytes.size();
        m_isRetaining = m_isRetaining && m_written <= m_retainLimit;
        if (m_isRetaining)
            m_retained.append(bytes);
        else
            m_retained = std::string();
        if (!m_isAbandoned)
            m_buffer.append(bytes);
        hasRoom = m_buffer.size() - m_taken < Capacity;
        m_isPaused = !hasRoom;
        wake = m_onReadable;
    }
    call(wake);
    return hasRoom;
}

void AnswerStream::finish()
{
    end(State::Finished);
}

void AnswerStream::cut()
{
    end(State::Cut);
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
    end(isTooLate ? State::Cut : State::Refused);
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

void AnswerStream::setRoomCallback(std::function<void()> callback)
{
    const std::lock_guard lock(m_mutex);
    m_onRoom = std::move(callback);
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
    std::function<void()> wake;
    std::size_t count = 0;
    {
        const std::lock_guard lock(m_mutex);
        count = std::min(size, m_buffer.size() - m_taken);
        std::memcpy(to, m_buffer.data() + m_taken, count);
        m_taken += count;
        if (m_taken == m_buffer.size()) {
            m_buffer.clear();
            m_taken = 0;
        } else if (m_taken >= Capacity) {
            m_buffer.erase(0, m_taken);
            m_taken = 0;
        }
        // The writer resumes when the buffer is half empty. Waking it earlier would make it
        // pause and resume with every read of a slow reader.
        if (m_isPaused && m_buffer.size() - m_taken <= Capacity / 2) {
            m_isPaused = false;
            wake = m_onRoom;
        }
    }
    call(wake);
    return count;
}

bool AnswerStream::isReadable() const
{
    const std::lock_guard lock(m_mutex);
    return m_taken < m_buffer.size() || hasEnded();
}

void AnswerStream::abandon()
{
    std::function<void()> wake;
    {
        const std::lock_guard lock(m_mutex);
        m_isAbandoned = true;
        m_buffer.clear();
        m_taken = 0;
        m_isPaused = false;
        wake = m_onRoom;
        m_onReadable = nullptr;
    }
    call(wake);
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

std::size_t AnswerStream::written() const
{
    const std::lock_guard lock(m_mutex);
    return m_written;
}

bool AnswerStream::hasEnded() const
{
    return m_state != State::Waiting && m_state != State::Open;
}

void AnswerStream::end(State state)
{
    std::function<void()> wake;
    {
        const std::lock_guard lock(m_mutex);
        if (hasEnded())
            return;
        m_state = state;
        wake = m_onReadable;
    }
    call(wake);
}

} // namespace Apricothook
