/// @file
/// Starts coroutines whose failure must not go unnoticed.
#pragma once

#include <functional>
#include <string>

#include "catkintack/base/units.hpp"
#include "catkintack/logging/structured_log.hpp"
#include "catkintack/serving/io.hpp"

namespace catkintack::serving {

/// @brief Runs a coroutine. An exception that ends it is logged as "task_failed" and goes no
/// further.
/// @param log Must outlive the coroutine.
/// @param name Name of the task in the log.
void spawn_task(const asio::any_io_executor& executor,
                logging::structured_log& log,
                std::string name,
                asio::awaitable<void> task);

/// @brief Runs a coroutine that serves for the life of the process. After an exception, which is
/// logged like that of a task, it is started again.
/// @param start Creates the coroutine.
/// @param pause Time before it is started again.
void spawn_service(const asio::any_io_executor& executor,
                   logging::structured_log& log,
                   std::string name,
                   std::function<asio::awaitable<void>()> start,
                   base::duration pause = std::chrono::seconds(1));

}  // namespace catkintack::serving
