/// @file
/// Deserializes cereal's portable binary format from bytes that may be malformed.
#pragma once

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cereal/types/common.hpp>
#include <cereal/types/vector.hpp>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <limits>
#include <string_view>
#include <type_traits>
#include <utility>
#include <vector>

namespace catkintack::control {

/// @brief Reads what cereal::PortableBinaryOutputArchive writes.
///
/// cereal's own archive allocates what a length in the message announces before it reads the
/// elements. Here memory grows only with the bytes that are there. Throws cereal::Exception when
/// the bytes end too early.
class bounded_input_archive
    : public cereal::InputArchive<bounded_input_archive, cereal::AllowEmptyClassElision> {
 public:
  /// @param bytes Must outlive the archive.
  explicit bounded_input_archive(std::string_view bytes) : InputArchive(this), bytes_(bytes) {
    std::uint8_t little_endian = 0;
    copy(&little_endian, sizeof(little_endian));
    swaps_ = (little_endian != 0) != is_little_endian();
  }

  std::size_t remaining() const { return bytes_.size(); }
  void copy(void* target, std::size_t size) {
    if (size > bytes_.size()) {
      throw cereal::Exception("the message ends too early");
    }
    std::memcpy(target, bytes_.data(), size);
    bytes_.remove_prefix(size);
  }
  template <class Value>
  void load_value(Value& value) {
    auto* const raw = reinterpret_cast<char*>(&value);
    copy(raw, sizeof(value));
    if (swaps_) {
      std::reverse(raw, raw + sizeof(value));
    }
  }

 private:
  static bool is_little_endian() {
    const std::uint16_t one = 1;
    std::uint8_t first = 0;
    std::memcpy(&first, &one, sizeof(first));
    return first == 1;
  }

  std::string_view bytes_;
  bool swaps_ = false;
};

}  // namespace catkintack::control

/// The archive that writes what bounded_input_archive reads; cereal needs it for enumerations.
template <>
struct cereal::traits::detail::get_output_from_input<catkintack::control::bounded_input_archive> {
  using type = cereal::PortableBinaryOutputArchive;
};

namespace catkintack::control {

/// @brief Loads a number.
template <class Value, std::enable_if_t<std::is_arithmetic_v<Value>, int> = 0>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, Value& value) {
  archive.load_value(value);
}

/// @brief Loads a named value.
template <class Value>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive,
                                    cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

/// @brief Loads the number of elements of a container, which have a byte each at least.
template <class Size>
void CEREAL_SERIALIZE_FUNCTION_NAME(bounded_input_archive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  if (tag.size > archive.remaining()) {
    throw cereal::Exception("a length exceeds the message");
  }
}

/// @brief Loads bytes, such as those of a string.
template <class Data>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive, cereal::BinaryData<Data>& data) {
  static_assert(sizeof(std::remove_pointer_t<Data>) == 1,
                "the byte order of larger values differs");
  archive.copy(data.data, static_cast<std::size_t>(data.size));
}

/// @brief Loads a vector element by element.
template <class Value, class Allocator>
void CEREAL_LOAD_FUNCTION_NAME(bounded_input_archive& archive,
                               std::vector<Value, Allocator>& elements) {
  cereal::size_type count = 0;
  archive(cereal::make_size_tag(count));
  elements.clear();
  for (; count > 0; --count) {
    Value element{};
    archive(element);
    elements.push_back(std::move(element));
  }
}

}  // namespace catkintack::control
