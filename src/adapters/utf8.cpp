#include "utf8.h"

#include <boost/locale/utf.hpp>

namespace fulmarledge {

std::size_t utf8CharacterBytes(std::string_view text)
{
    namespace Utf = boost::locale::utf;
    const char *position = text.data();
    const Utf::code_point character = Utf::utf_traits<char>::decode(position, text.data() + text.size());
    return character == Utf::illegal || character == Utf::incomplete ? 0
                                                                     : static_cast<std::size_t>(position - text.data());
}

bool isUtf8(std::string_view text)
{
    while (!text.empty()) {
        const std::size_t bytes = utf8CharacterBytes(text);
        if (bytes == 0) {
            return false;
        }
        text.remove_prefix(bytes);
    }
    return true;
}

} // namespace fulmarledge
