#include "catkintack/control/compression.hpp"

#include <zlib.h>

namespace catkintack::control {
namespace {

// The first byte of the result tells which of the two follows.
constexpr char plain = 0;
constexpr char deflated = 1;
// Then, of deflated bytes, their original size in big-endian order.
constexpr std::size_t size_bytes = 4;
// Below this size the gain is less than the cost of setting up the compressor.
constexpr std::size_t min_deflated_size = 2048;

}  // namespace

std::string compress(const std::string& bytes) {
  if (bytes.size() < min_deflated_size) {
    return plain + bytes;
  }
  uLongf written = compressBound(bytes.size());
  std::string result(1 + size_bytes + written, deflated);
  for (std::size_t i = 0; i < size_bytes; ++i) {
    result[1 + i] = static_cast<char>(bytes.size() >> (8U * (size_bytes - 1 - i)));
  }
  const int status =
      compress2(reinterpret_cast<Bytef*>(result.data() + 1 + size_bytes), &written,
                reinterpret_cast<const Bytef*>(bytes.data()), bytes.size(), Z_BEST_SPEED);
  if (status != Z_OK) {
    return plain + bytes;
  }
  result.resize(1 + size_bytes + written);
  return result;
}

std::optional<std::string> decompress(const std::string& compressed, std::size_t max_size) {
  if (compressed.empty() || (compressed[0] != plain && compressed[0] != deflated)) {
    return std::nullopt;
  }
  if (compressed[0] == plain) {
    return compressed.size() - 1 > max_size ? std::nullopt : std::optional(compressed.substr(1));
  }
  if (compressed.size() < 1 + size_bytes) {
    return std::nullopt;
  }
  std::size_t size = 0;
  for (std::size_t i = 0; i < size_bytes; ++i) {
    size = (size << 8U) | static_cast<unsigned char>(compressed[1 + i]);
  }
  if (size > max_size) {
    return std::nullopt;
  }
  std::string result(size, '\0');
  uLongf written = size;
  const int status = uncompress(reinterpret_cast<Bytef*>(result.data()), &written,
                                reinterpret_cast<const Bytef*>(compressed.data() + 1 + size_bytes),
                                compressed.size() - 1 - size_bytes);
  return status == Z_OK && written == size ? std::optional(std::move(result)) : std::nullopt;
}

}  // namespace catkintack::control
