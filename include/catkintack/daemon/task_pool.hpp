/// @file
/// A fixed set of threads for work that must not wait for its caller's thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace catkintack::daemon {

/// @brief Runs tasks on a fixed number of threads.
class task_pool {
 public:
  /// @brief Starts the threads.
  /// @param threads Their number, at least 1.
  explicit task_pool(std::size_t threads);
  task_pool(const task_pool&) = delete;
  task_pool& operator=(const task_pool&) = delete;
  task_pool(task_pool&&) = delete;
  task_pool& operator=(task_pool&&) = delete;
  /// @brief Finishes all tasks and ends the threads.
  ~task_pool();

  /// @brief Adds a task.
  /// @param task The task; it must not throw.
  void submit(std::function<void()> task);

 private:
  void work();

  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace catkintack::daemon
