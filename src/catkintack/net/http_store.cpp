#include "catkintack/net/http_store.hpp"

#include <charconv>

#include "catkintack/net/http_fetch.hpp"

namespace catkintack::net {
namespace {

namespace leaf = boost::leaf;
using config::config_error;
using config::config_error_kind;
using config::stored_value;
using config::swap_result;

constexpr const char* revision_header = "Store-Revision";
constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_unavailable = 503;

std::int64_t milliseconds_of(base::duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

class http_store final : public config::store {
 public:
  explicit http_store(const http_store_options& options) : options_(options) {}

  leaf::result<stored_value> read(const std::string& key) override {
    const fetch_result answer = call({.target = "/v1/kv/" + key});
    if (answer.status != http_exchange_status::complete) {
      return unavailable(to_text(answer.status));
    }
    if (answer.response.status == status_not_found) {
      return stored_value{};
    }
    return value_of(answer.response);
  }

  leaf::result<swap_result> compare_and_swap(const std::string& key,
                                             std::uint64_t expected_revision,
                                             const std::string& value) override {
    const fetch_result answer =
        call({.method = "PUT",
              .target = "/v1/kv/" + key + "?revision=" + std::to_string(expected_revision),
              .content_type = "application/json",
              .body = value});
    if (answer.status != http_exchange_status::complete) {
      return write_failed(key, answer.status);
    }
    if (answer.response.status == status_ok) {
      return swap_result::applied;
    }
    if (answer.response.status == status_conflict) {
      return swap_result::conflict;
    }
    if (answer.response.status == status_unavailable) {
      return unavailable("status 503");
    }
    return leaf::new_error(config_error{config_error_kind::write_unknown,
                                        "store answered the write of \"" + key + "\" with status " +
                                            std::to_string(answer.response.status)});
  }

  leaf::result<std::optional<stored_value>> watch(const std::string& key,
                                                  std::uint64_t after_revision,
                                                  base::duration wait) override {
    const fetch_result answer =
        call({.target = "/v1/watch/" + key + "?after=" + std::to_string(after_revision) +
                        "&wait_ms=" + std::to_string(milliseconds_of(wait))},
             wait);
    if (answer.status != http_exchange_status::complete) {
      return unavailable(to_text(answer.status));
    }
    if (answer.response.status == status_no_content) {
      return std::optional<stored_value>{};
    }
    BOOST_LEAF_AUTO(value, value_of(answer.response));
    return std::optional<stored_value>(std::move(value));
  }

  leaf::result<bool> hold_lease(const std::string& key,
                                const std::string& value,
                                base::duration time_to_live) override {
    const fetch_result answer = call(
        {.method = "PUT",
         .target = "/v1/lease/" + key + "?ttl_ms=" + std::to_string(milliseconds_of(time_to_live)),
         .content_type = "text/plain",
         .body = value});
    if (answer.status != http_exchange_status::complete) {
      return unavailable(to_text(answer.status));
    }
    const int status = answer.response.status;
    if (status == status_ok || status == status_conflict) {
      return status == status_ok;
    }
    return unavailable("status " + std::to_string(status));
  }

 private:
  /// @param wait How long the store may wait before it answers.
  fetch_result call(fetch_options request, base::duration wait = {}) const {
    request.where = options_.address;
    request.connect_timeout = options_.timeout;
    request.timeout = options_.timeout + wait;
    return fetch(request);
  }

  leaf::error_id unavailable(const std::string& cause) const {
    return leaf::new_error(
        config_error{config_error_kind::store_unavailable,
                     "store " + base::to_string(options_.address) + " is unavailable: " + cause});
  }

  leaf::error_id write_failed(const std::string& key, http_exchange_status status) const {
    const std::string cause = to_text(status);
    if (status == http_exchange_status::not_sent) {
      return unavailable(cause);
    }
    return leaf::new_error(config_error{config_error_kind::write_unknown,
                                        "store " + base::to_string(options_.address) +
                                            " did not answer the write of \"" + key +
                                            "\": " + cause});
  }

  leaf::result<stored_value> value_of(const http_response& answer) const {
    if (answer.status != status_ok) {
      return unavailable("status " + std::to_string(answer.status));
    }
    const std::string revision = find_header(answer.headers, revision_header).value_or("");
    stored_value value{answer.body, 0};
    const char* const end = revision.data() + revision.size();
    const auto [rest, error] = std::from_chars(revision.data(), end, value.revision);
    if (error != std::errc{} || rest != end) {
      return unavailable("missing or invalid Store-Revision header");
    }
    return value;
  }

  http_store_options options_;
};

}  // namespace

std::unique_ptr<config::store> make_http_store(const http_store_options& options) {
  return std::make_unique<http_store>(options);
}

}  // namespace catkintack::net
