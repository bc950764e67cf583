#include "http/percentencoding.h"

namespace briarhinge::http
{

std::string percentEncoded(std::string_view text, std::string_view alsoPlain)
{
    static constexpr std::string_view plain = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.~";
    static constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned lowDigitMask = 15;
    std::string result;
    for (const char letter : text) {
        if (plain.find(letter) != std::string_view::npos || alsoPlain.find(letter) != std::string_view::npos) {
            result += letter;
            continue;
        }
        const auto byte = static_cast<unsigned char>(letter);
        result += '%';
        result += digits[byte >> 4U];
        result += digits[byte & lowDigitMask];
    }
    return result;
}

}
