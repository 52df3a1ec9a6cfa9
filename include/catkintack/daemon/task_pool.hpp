/// @file
/// Fixed-size thread pool for work that must not block the submitting thread.
#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

namespace catkintack::daemon {

/// @brief Runs tasks on a fixed number of threads, started in the order of submission.
class task_pool {
 public:
  /// @brief Starts the threads.
  /// @param threads Number of threads, at least 1.
  explicit task_pool(std::size_t threads);
  task_pool(const task_pool&) = delete;
  task_pool& operator=(const task_pool&) = delete;
  task_pool(task_pool&&) = delete;
  task_pool& operator=(task_pool&&) = delete;
  /// @brief Runs all queued tasks to completion and joins the threads.
  ~task_pool();

  /// @brief Queues a task.
  /// @param task Must not throw.
  void submit(std::function<void()> task);

 private:
  void run_tasks();

  std::mutex mutex_;
  std::condition_variable tasks_changed_;
  std::deque<std::function<void()>> tasks_;
  bool stopping_ = false;
  std::vector<std::thread> threads_;
};

}  // namespace catkintack::daemon
