#pragma once

#include <coroutine>
#include <exception>
#include <string_view>
#include <utility>

namespace walkpaddle {

/// A coroutine that the scheduler owns from its start to its end.
class Task {
 public:
  struct promise_type {  // NOLINT(readability-identifier-naming): name required by the language
    // The compiler calls this in the coroutine, so that the default arguments name the coroutine.
    Task get_return_object(const char* its_function = __builtin_FUNCTION(),
                           const char* its_file = __builtin_FILE()) {
      function = its_function;
      file = its_file;
      return Task(std::coroutine_handle<promise_type>::from_promise(*this));
    }
    std::suspend_always initial_suspend() noexcept { return {}; }
    std::suspend_always final_suspend() noexcept { return {}; }
    void return_void() {}
    void unhandled_exception() { failure = std::current_exception(); }
    std::exception_ptr failure;
    const char* function = "";
    const char* file = "";
    bool isolated = false;
  };

  /// Takes ownership of the coroutine.
  explicit Task(std::coroutine_handle<promise_type> handle) : handle_(handle) {}
  Task(Task&& other) noexcept : handle_(std::exchange(other.handle_, {})) {}
  Task& operator=(Task&& other) noexcept {
    std::swap(handle_, other.handle_);
    return *this;
  }
  ~Task() {
    if (handle_) handle_.destroy();
  }
  // GCC 12 leaves part of the coroutine frame uninitialised where a condition contains co_await, so tasks
  // assign the result of co_await to a variable first.
  std::coroutine_handle<> handle() const { return handle_; }
  /// The exception that ended the coroutine; null if there was none.
  std::exception_ptr failure() const { return handle_.promise().failure; }
  /// The name of the coroutine, for reports.
  std::string_view function() const { return handle_.promise().function; }
  /// The source file of the coroutine, as the compiler was given it.
  std::string_view file() const { return handle_.promise().file; }
  /// Makes the scheduler report a failure of this task to its failure handler instead of rethrowing it from
  /// Scheduler::run().
  void isolate() { handle_.promise().isolated = true; }
  bool isolated() const { return handle_.promise().isolated; }

 private:
  std::coroutine_handle<promise_type> handle_;
};

}  // namespace walkpaddle
