#include "consensus/files.h"

namespace clementine::consensus {

leaf::result<void> append_all(file& target, std::string_view bytes) {
    while (!bytes.empty()) {
        BOOST_LEAF_AUTO(written, target.append(bytes));
        bytes.remove_prefix(written);
    }
    return {};
}

leaf::result<std::string> read_all(file& source) {
    constexpr std::size_t block_bytes = 1024 * 1024;
    std::string out;
    for (;;) {
        BOOST_LEAF_AUTO(part, source.read(out.size(), block_bytes));
        if (part.empty())
            return out;
        out += part;
    }
}

} // namespace clementine::consensus
