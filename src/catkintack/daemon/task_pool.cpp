#include "catkintack/daemon/task_pool.hpp"

#include <utility>

namespace catkintack::daemon {

task_pool::task_pool(std::size_t threads) {
  for (std::size_t index = 0; index < threads; ++index) {
    threads_.emplace_back([this] { run_tasks(); });
  }
}

task_pool::~task_pool() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  tasks_changed_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
}

void task_pool::submit(std::function<void()> task) {
  {
    const std::lock_guard lock(mutex_);
    tasks_.push_back(std::move(task));
  }
  tasks_changed_.notify_one();
}

void task_pool::run_tasks() {
  while (true) {
    std::function<void()> task;
    {
      std::unique_lock lock(mutex_);
      tasks_changed_.wait(lock, [this] { return stopping_ || !tasks_.empty(); });
      if (tasks_.empty()) {
        return;
      }
      task = std::move(tasks_.front());
      tasks_.pop_front();
    }
    task();
  }
}

}  // namespace catkintack::daemon
