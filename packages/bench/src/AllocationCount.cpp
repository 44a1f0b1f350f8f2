#include "AllocationCount.h"

#include <cstdlib>
#include <new>

namespace {
std::size_t Bytes = 0;
} // namespace

std::size_t buckthorndeck::allocatedBytes() { return Bytes; }

void *operator new(std::size_t Size) {
  Bytes += Size;
  if (void *Memory = std::malloc(Size))
    return Memory;
  throw std::bad_alloc();
}

void operator delete(void *Memory) noexcept { std::free(Memory); }
void operator delete(void *Memory, std::size_t) noexcept { std::free(Memory); }
