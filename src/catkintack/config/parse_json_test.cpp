#include "catkintack/config/parse_json.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "catkintack/config/list_document.hpp"

namespace catkintack::config {
namespace {

using nlohmann::json;

std::string nested(std::size_t levels) {
  return std::string(levels, '[') + std::string(levels, ']');
}

TEST(parse_json, accepts_the_greatest_depth) {
  EXPECT_NO_THROW(parse_json(nested(max_json_depth)));
  EXPECT_THROW(parse_json(nested(max_json_depth + 1)), json::exception);
}

TEST(parse_json, ignores_brackets_in_strings) {
  const std::string brackets(1000, '[');
  EXPECT_EQ(parse_json("\"\\\"" + brackets + "\"").get<std::string>(), "\"" + brackets);
}

TEST(parse_json, counts_siblings_once) {
  std::string text = "[0";
  for (int i = 0; i < 1000; ++i) {
    text += ",[]";
  }
  EXPECT_EQ(parse_json(text + "]").size(), 1001U);
}

// Guards against a document with a deeply nested value that ends each process which reads it
// (incident 15).
TEST(parse_json, deeply_nested_list_document_is_malformed) {
  constexpr std::size_t levels = 400'000;
  const std::string text =
      R"({"version":3,"customers":[{"customer":"a","plan":"gold","key_hash":")" +
      std::string(64, '0') + R"(","other":)" + nested(levels) + "}]}";
  EXPECT_FALSE(parse_document(list_kind::plans, text));
  EXPECT_FALSE(parse_entries(list_kind::plans, text));
}

}  // namespace
}  // namespace catkintack::config
