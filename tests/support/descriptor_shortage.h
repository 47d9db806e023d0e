// Leaves a process without descriptors, as too many sockets would.
#pragma once

#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>
#include <vector>

namespace clementine {

class descriptor_shortage {
  public:
    descriptor_shortage() {
        ::getrlimit(RLIMIT_NOFILE, &limit_);
        constexpr rlim_t few_descriptors = 512;
        auto lowered = limit_;
        lowered.rlim_cur = few_descriptors < limit_.rlim_cur ? few_descriptors : limit_.rlim_cur;
        ::setrlimit(RLIMIT_NOFILE, &lowered);
        for (int number = 0; number >= 0;) {
            number = ::open("/dev/null", O_RDONLY | O_CLOEXEC);
            if (number >= 0)
                taken_.push_back(number);
        }
    }
    descriptor_shortage(const descriptor_shortage&) = delete;
    descriptor_shortage& operator=(const descriptor_shortage&) = delete;
    ~descriptor_shortage() { end(); }

    void end() {
        for (const int number : taken_)
            ::close(number);
        taken_.clear();
        ::setrlimit(RLIMIT_NOFILE, &limit_);
    }

  private:
    rlimit limit_{};
    std::vector<int> taken_;
};

} // namespace clementine
