#include "fuzz/parsers.h"

#include <cstddef>
#include <cstdint>

/** Entry point that libFuzzer calls for each input. */
// NOLINTNEXTLINE(readability-identifier-naming): libFuzzer sets the name.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    briarhinge::fuzz::feed({data, size});
    return 0;
}
