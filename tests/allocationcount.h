#pragma once

#include <cstddef>

/// Memory allocations of the calling thread. core_requests_allocations.cpp counts them for the whole test program.
std::size_t allocationsOfThisThread();

/// Bytes that the calling thread has allocated and not returned, less those of other threads that it has returned.
std::ptrdiff_t heldBytesOfThisThread();
