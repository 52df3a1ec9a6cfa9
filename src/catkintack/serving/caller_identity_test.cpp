#include "catkintack/serving/caller_identity.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "catkintack/config/key_hash.hpp"
#include "catkintack/routes/route_table_builder.hpp"

namespace catkintack::serving {
namespace {

constexpr std::string_view customer_header = "Catkintack-Customer";

struct header {
  std::string name;
  std::string value;
};

http::fields make_headers(const std::vector<header>& listed) {
  http::fields result;
  for (const header& one : listed) {
    result.insert(one.name, one.value);
  }
  return result;
}

routes::route_table make_table(bool with_customers = true) {
  routes::route_table_builder builder{base::list_version(1)};
  if (with_customers) {
    builder.add(
        routes::customer_policy{.id = base::customer_id("acme"),
                                .key_hashes = {config::hash_key("k1"), config::hash_key("k2")}});
    builder.add(routes::customer_policy{.id = base::customer_id("keyless")});
  }
  return std::move(builder).build();
}

routes::route make_route(bool is_public) {
  routes::route result;
  result.is_public = is_public;
  return result;
}

caller_identity customer(const char* id) { return {.customer = base::customer_id(id)}; }
caller_identity refusal(identity_refusal why) { return {.refusal = why}; }

struct caller_identity_test : testing::Test {
  const routes::route closed_route = make_route(false);
  const routes::route public_route = make_route(true);
};

struct identity_case {
  std::vector<header> headers;
  identity_refusal refusal;
};

// Guards against callers that get in without a customer's key.
TEST_F(caller_identity_test, bad_credentials_are_refused_except_on_public_routes) {
  const std::vector<identity_case> cases = {
      {{}, identity_refusal::no_key},
      {{{"X-Authorization", "Bearer k1"}}, identity_refusal::no_key},
      {{{"Proxy-Authorization", "Bearer k1"}}, identity_refusal::no_key},
      {{{std::string(customer_header), "acme"}}, identity_refusal::no_key},
      {{{"Authorization", "Bearer k1"}, {"Authorization", "Bearer k1"}},
       identity_refusal::several_keys},
      {{{"Authorization", "Bearer k1"}, {"aUTHORIZATION", "Bearer k2"}},
       identity_refusal::several_keys},
      {{{"Authorization", "Basic k1"}}, identity_refusal::other_scheme},
      {{{"Authorization", "k1"}}, identity_refusal::other_scheme},
      {{{"Authorization", ""}}, identity_refusal::other_scheme},
      {{{"Authorization", "Bearerk1"}}, identity_refusal::other_scheme},
      {{{"Authorization", "Bearer\tk1"}}, identity_refusal::other_scheme},
      {{{"Authorization", "Bearer"}}, identity_refusal::malformed_key},
      {{{"Authorization", "Bearer   "}}, identity_refusal::malformed_key},
      {{{"Authorization", "Bearer k1 k2"}}, identity_refusal::malformed_key},
      {{{"Authorization", "Bearer k1, Bearer k1"}}, identity_refusal::malformed_key},
      {{{"Authorization", "Bearer \tk1"}}, identity_refusal::malformed_key},
      {{{"Authorization", "Bearer k1\x7f"}}, identity_refusal::malformed_key},
      {{{"Authorization", "Bearer K1"}}, identity_refusal::unknown_key},
      {{{"Authorization", "Bearer k"}}, identity_refusal::unknown_key},
      {{{"Authorization", "Bearer \"k1\""}}, identity_refusal::unknown_key},
      {{{"Authorization", "Bearer acme"}}, identity_refusal::unknown_key},
      {{{"Authorization", "Bearer " + config::hash_key("k1")}}, identity_refusal::unknown_key}};
  const routes::route_table table = make_table();
  for (std::size_t i = 0; i < cases.size(); ++i) {
    const http::fields headers = make_headers(cases[i].headers);
    EXPECT_EQ(identify_caller(table, closed_route, headers), refusal(cases[i].refusal)) << i;
    EXPECT_EQ(identify_caller(table, public_route, headers), caller_identity()) << i;
  }
}

TEST_F(caller_identity_test, each_key_of_a_customer_names_it_on_every_route) {
  const routes::route_table table = make_table();
  for (const char* text : {"Bearer k1", "bEARER k2", "Bearer   k1"}) {
    const http::fields headers = make_headers({{"aUTHORIZATION", text}});
    EXPECT_EQ(identify_caller(table, closed_route, headers), customer("acme")) << text;
    EXPECT_EQ(identify_caller(table, public_route, headers), customer("acme")) << text;
  }
}

// Guards against a host that lets anybody in because its table has no customers yet.
TEST_F(caller_identity_test,
       table_without_customers_lets_calls_in_only_if_the_deployment_has_none) {
  const routes::route_table table = make_table(false);
  const http::fields headers = make_headers({{"Authorization", "Bearer k1"}});
  constexpr auto required = customer_requirement::always;
  EXPECT_EQ(identify_caller(table, closed_route, headers), caller_identity());
  EXPECT_EQ(identify_caller(table, closed_route, headers, required),
            refusal(identity_refusal::no_customers_known));
  EXPECT_EQ(identify_relayed(table, closed_route, headers, customer_header, required),
            refusal(identity_refusal::no_customers_known));
  EXPECT_EQ(identify_caller(table, public_route, headers, required), caller_identity());
  EXPECT_FALSE(has_customer_rules(table, customer_requirement::by_table));
  EXPECT_TRUE(has_customer_rules(table, required));
}

// Guards against a relayed call that runs for nobody, for a removed customer, or for one that only
// the caller of a host without customers has named.
TEST_F(caller_identity_test, relayed_call_needs_the_name_of_one_known_customer) {
  const routes::route_table table = make_table();
  const std::string name(customer_header);
  const std::vector<std::vector<header>> bad = {{},
                                                {{name, ""}},
                                                {{name, "gone"}},
                                                {{name, "ACME"}},
                                                {{name, "acme"}, {name, "acme"}},
                                                {{name, "acme"}, {"Authorization", "Bearer x"}},
                                                {{"Authorization", "Bearer k1"}}};
  for (std::size_t i = 0; i < bad.size(); ++i) {
    const http::fields headers = make_headers(bad[i]);
    EXPECT_EQ(identify_relayed(table, closed_route, headers, customer_header),
              refusal(identity_refusal::not_identified))
        << i;
    EXPECT_EQ(identify_relayed(table, public_route, headers, customer_header), caller_identity())
        << i;
  }
  for (const char* id : {"acme", "keyless"}) {
    const http::fields headers = make_headers({{"cATKINTACK-customer", id}});
    EXPECT_EQ(identify_relayed(table, closed_route, headers, customer_header), customer(id));
    EXPECT_EQ(identify_relayed(table, public_route, headers, customer_header), customer(id));
  }
}

TEST_F(caller_identity_test, responses_have_the_status_and_the_challenge) {
  for (const auto why :
       {identity_refusal::no_key, identity_refusal::several_keys, identity_refusal::other_scheme,
        identity_refusal::malformed_key, identity_refusal::unknown_key}) {
    const std::string text = serialize(make_response(why), true);
    EXPECT_TRUE(text.starts_with("HTTP/1.1 401 Unauthorized\r\n")) << text;
    EXPECT_NE(text.find("WWW-Authenticate: Bearer\r\n"), std::string::npos) << text;
  }
  EXPECT_EQ(make_response(identity_refusal::no_customers_known).status, 503U);
  EXPECT_EQ(make_response(identity_refusal::not_identified).status, 421U);
}

}  // namespace
}  // namespace catkintack::serving
