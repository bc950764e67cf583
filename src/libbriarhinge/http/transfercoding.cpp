#include "http/transfercoding.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>

namespace briarhinge::http
{

namespace beast = boost::beast;

TransferCoding transferCodingOf(const beast::http::fields &fields)
{
    const auto [first, last] = fields.equal_range(beast::http::field::transfer_encoding);
    if (first == last) {
        return TransferCoding::None;
    }
    // Several fields of a name are one list.
    std::vector<beast::string_view> codings;
    for (auto field = first; field != last; ++field) {
        const beast::http::ext_list list{field->value()};
        for (const auto &[coding, parameters] : list) {
            codings.push_back(coding);
        }
    }
    const auto isChunked = [](beast::string_view coding) {
        return beast::iequals(coding, "chunked");
    };
    if (codings.empty() || !isChunked(codings.back()) || std::count_if(codings.begin(), codings.end(), isChunked) > 1) {
        return TransferCoding::Endless;
    }
    return codings.size() == 1 ? TransferCoding::Chunked : TransferCoding::Unknown;
}

}
