#include <apricothook/http1/apricothook_gzip.hpp>

#include <zlib.h>

#include <new>

namespace Apricothook {

std::string gzipCompressed(std::string_view body)
{
    constexpr int LargestWindow = 15;
    constexpr int GzipFormat = 16;
    constexpr int DefaultMemoryLevel = 8;
    z_stream stream {};
    if (deflateInit2(&stream, Z_BEST_SPEED, Z_DEFLATED, LargestWindow + GzipFormat,
                     DefaultMemoryLevel, Z_DEFAULT_STRATEGY)
        != Z_OK)
        throw std::bad_alloc();
    std::string compressed(deflateBound(&stream, body.size()), '\0');
    stream.next_in = reinterpret_cast<Bytef *>(const_cast<char *>(body.data()));
    stream.avail_in = static_cast<uInt>(body.size());
    stream.next_out = reinterpret_cast<Bytef *>(compressed.data());
    stream.avail_out = static_cast<uInt>(compressed.size());
    // The output buffer has room for the whole result, so a single call completes it.
    deflate(&stream, Z_FINISH);
    compressed.resize(stream.total_out);
    deflateEnd(&stream);
    return compressed;
}

} // namespace Apricothook
