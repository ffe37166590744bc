#pragma once

#include <unistd.h>

#include <utility>

namespace Apricothook {

/** Owns a file descriptor; -1 for none. */
class UniqueDescriptor
{
public:
    UniqueDescriptor() = default;
    explicit UniqueDescriptor(int descriptor) : m_descriptor(descriptor) { }
    UniqueDescriptor(UniqueDescriptor &&other) noexcept
        : m_descriptor(std::exchange(other.m_descriptor, -1))
    {
    }
    UniqueDescriptor &operator=(UniqueDescriptor &&other) noexcept
    {
        std::swap(m_descriptor, other.m_descriptor);
        return *this;
    }
    ~UniqueDescriptor()
    {
        if (isOpen())
            ::close(m_descriptor);
    }
    bool isOpen() const { return m_descriptor >= 0; }
    int value() const { return m_descriptor; }

private:
    int m_descriptor = -1;
};

} // namespace Apricothook
