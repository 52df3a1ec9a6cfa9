#include "catkintack/serving/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <memory>
#include <utility>

namespace catkintack::serving {
namespace {

std::string describe(const std::exception_ptr& error) {
  try {
    std::rethrow_exception(error);
  } catch (const std::exception& known) {
    return known.what();
  } catch (...) {
    return "unknown exception";
  }
}

void log_failure(logging::structured_log& log,
                 const std::string& name,
                 const std::exception_ptr& error) {
  log.write("task_failed", {{"task", name}, {"why", describe(error)}});
}

}  // namespace

void spawn_task(const asio::any_io_executor& executor,
                logging::structured_log& log,
                std::string name,
                asio::awaitable<void> task) {
  asio::co_spawn(executor, std::move(task),
                 [&log, name = std::move(name)](const std::exception_ptr& error) {
                   if (error) {
                     log_failure(log, name, error);
                   }
                 });
}

void spawn_service(const asio::any_io_executor& executor,
                   logging::structured_log& log,
                   std::string name,
                   std::function<asio::awaitable<void>()> start,
                   base::duration pause) {
  // The coroutine may refer to the hook that created it.
  const auto hook = std::make_shared<std::function<asio::awaitable<void>()>>(std::move(start));
  asio::co_spawn(
      executor, (*hook)(),
      [executor, &log, name = std::move(name), hook, pause](const std::exception_ptr& error) {
        if (!error) {
          return;
        }
        log_failure(log, name, error);
        const auto timer = std::make_shared<asio::steady_timer>(executor, pause);
        timer->async_wait([timer, executor, &log, name, hook, pause](const error_code& aborted) {
          if (!aborted) {
            spawn_service(executor, log, name, *hook, pause);
          }
        });
      });
}

}  // namespace catkintack::serving
