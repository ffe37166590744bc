#include <apricothook/bench/apricothook_allocation_count.hpp>

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

Apricothook::AllocationCount counted;

void *allocate(std::size_t size)
{
    void *memory = std::malloc(size == 0 ? 1 : size);
    if (!memory)
        throw std::bad_alloc();
    ++counted.allocations;
    counted.liveBytes += static_cast<std::int64_t>(malloc_usable_size(memory));
    return memory;
}

void release(void *memory) noexcept
{
    if (memory)
        counted.liveBytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
    std::free(memory);
}

} // namespace

void *operator new(std::size_t size)
{
    return allocate(size);
}

void *operator new[](std::size_t size)
{
    return allocate(size);
}

void operator delete(void *memory) noexcept
{
    release(memory);
}

void operator delete[](void *memory) noexcept
{
    release(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    release(memory);
}

void operator delete[](void *memory, std::size_t) noexcept
{
    release(memory);
}

namespace Apricothook {

AllocationCount allocationsNow()
{
    return counted;
}

} // namespace Apricothook
