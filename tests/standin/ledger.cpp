#include "standin/ledger.h"

#include <cerrno>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace standin {

ledger::ledger(const std::string& path) {
    if (path.empty())
        return;
    file_ = ::open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (file_ < 0)
        throw std::system_error(errno, std::generic_category(), path);
}

ledger::~ledger() {
    if (file_ >= 0)
        ::close(file_);
}

void ledger::append(std::string_view line) {
    if (file_ < 0)
        return;
    std::string text(line);
    text += '\n';
    if (::write(file_, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        throw std::system_error(errno, std::generic_category(), "ledger");
}

} // namespace standin
