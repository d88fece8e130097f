#include "io/output_buffer.h"

#include <algorithm>

namespace walkpaddle {

namespace {

// A chunk is freed as a whole: the first one of each stream takes so much, however little of it is unsent.
constexpr std::size_t kChunkBytes = std::size_t{16} * 1024;

}  // namespace

void OutputBuffer::append(std::string_view bytes) {
  size_ += bytes.size();
  while (!bytes.empty()) {
    if (chunks_.empty() || chunks_.back().size() >= kChunkBytes) chunks_.emplace_back();
    auto& chunk = chunks_.back();
    const auto part = bytes.substr(0, kChunkBytes - chunk.size());
    const auto size = chunk.size() + part.size();
    if (size > chunk.capacity() && size > kChunkBytes / 2) chunk.reserve(kChunkBytes);
    chunk.append(part);
    bytes.remove_prefix(part.size());
  }
}

std::string_view OutputBuffer::front() const {
  if (chunks_.empty()) return {};
  return std::string_view(chunks_.front()).substr(consumed_);
}

void OutputBuffer::consume(std::size_t bytes) {
  size_ -= bytes;
  while (bytes > 0) {
    const auto part = std::min(bytes, front().size());
    consumed_ += part;
    bytes -= part;
    if (!front().empty()) continue;
    chunks_.pop_front();
    consumed_ = 0;
  }
}

void OutputBuffer::erase(std::size_t from, std::size_t to) {
  size_ -= to - from;
  std::size_t chunk_begin = 0;
  std::size_t skipped = consumed_;
  for (auto& chunk : chunks_) {
    const auto chunk_end = chunk_begin + chunk.size() - skipped;
    const auto first = std::max(from, chunk_begin);
    const auto last = std::min(to, chunk_end);
    if (first < last) chunk.erase(skipped + first - chunk_begin, last - first);
    chunk_begin = chunk_end;
    skipped = 0;
  }
  if (!chunks_.empty() && front().empty()) {
    chunks_.pop_front();
    consumed_ = 0;
  }
  std::erase_if(chunks_, [](const std::string& chunk) { return chunk.empty(); });
}

}  // namespace walkpaddle
