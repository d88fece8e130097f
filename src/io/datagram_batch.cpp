#include "io/datagram_batch.h"

#include <cerrno>

namespace walkpaddle {

DatagramBatch::DatagramBatch(std::size_t max_bytes) : max_bytes_(max_bytes), buffer_(kDatagrams * max_bytes) {
  for (std::size_t n = 0; n < kDatagrams; ++n) {
    places_[n] = {buffer_.data() + n * max_bytes, max_bytes};
    messages_[n].msg_hdr.msg_name = &sources_[n];
    messages_[n].msg_hdr.msg_iov = &places_[n];
    messages_[n].msg_hdr.msg_iovlen = 1;
  }
}

bool DatagramBatch::receive(int fd) {
  for (auto& message : messages_) message.msg_hdr.msg_namelen = sizeof(sockaddr_in);
  const int received = ::recvmmsg(fd, messages_.data(), kDatagrams, 0, nullptr);
  size_ = received > 0 ? static_cast<std::size_t>(received) : 0;
  return received > 0 || errno != EAGAIN;
}

DatagramBatch::Datagram DatagramBatch::operator[](std::size_t index) const {
  const auto& source = sources_[index];
  return {{ntohl(source.sin_addr.s_addr), ntohs(source.sin_port)},
          {buffer_.data() + index * max_bytes_, messages_[index].msg_len}};
}

}  // namespace walkpaddle
